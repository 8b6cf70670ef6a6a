package receiver

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// advisedQueue returns the queue of the tests with placement advice.
func advisedQueue(request, each time.Duration) specifier.Queue {
	q := queue
	q.Advice = specifier.Advice{Needed: true, RequestTime: request, PerWorkerTime: each, Validity: time.Second}
	return q
}

// submitAdvised submits jobs to an advised queue and returns the outcomes.
func submitAdvised(o Options, q specifier.Queue, jobs int) []error {
	o.Random, o.Scope, o.Log = rand.New(rand.NewPCG(1, 2)), tally.NoopScope, zerolog.Nop()
	shards := &fakeShards{load: idleLoad(), lastContact: time.Now}
	r := New(o, shards, faker.New().Client("a"))
	defer r.Close()
	var out []error
	for i := range jobs {
		job := testJob()
		job.ID = job.ID[:15] + string(rune('0'+i))
		out = append(out, r.Submit(context.Background(), q, job))
	}
	return out
}

// TestAdviceCountsInThePrediction guards against objectives and predictions that leave out the
// time of placement advice, which is part of a step's time.
func TestAdviceCountsInThePrediction(t *testing.T) {
	g := NewWithT(t)
	job := testJob()
	q := advisedQueue(2*time.Second, 100*time.Millisecond)
	work := estimateWork(q, &job, job.Estimates())
	g.Expect(work.AdviceTime).To(Equal(q.Advice.CallTime(specifier.TypicalAdviceWorkers)))
	g.Expect(work.CriticalPath).To(Equal(time.Second + work.AdviceTime))
	g.Expect(work.Objective).To(Equal(2*(time.Second+5*time.Second) + time.Second))
	g.Expect(work.ReservedWork).To(Equal(int64(2000)), "advice takes no CPU")
}

// TestMoreAdviceThanCanBeGiven guards against accepting jobs whose requests for advice would wait
// for those of the jobs before until long after their objective.
func TestMoreAdviceThanCanBeGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		outcomes := submitAdvised(Options{}, advisedQueue(4*time.Second, 0), 9)
		g.Expect(outcomes[0]).To(Succeed())
		g.Expect(outcomes[8]).To(HaveOccurred())
		var refusal *classifier.Error
		g.Expect(errors.As(outcomes[8], &refusal)).To(BeTrue())
		g.Expect(refusal.Verdict).To(Equal(classifier.NotRun))
		g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})
}

// TestNoAdviserRefusesAdvisedQueues guards against accepted jobs that can never start.
func TestNoAdviserRefusesAdvisedQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(submitAdvised(Options{NoAdviser: true}, advisedQueue(time.Second, 0), 1)[0]).To(MatchError(ContainSubstring("no adviser")))
		g.Expect(submitAdvised(Options{NoAdviser: true}, queue, 1)[0]).To(Succeed())
	})
}
