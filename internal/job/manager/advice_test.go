package manager_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// adviser allows all workers. It handles one request at a time, in turn, and goes on with a
// request whose caller has given it up.
type adviser struct {
	advice  specifier.Advice // times that it needs
	turn    chan struct{}    // of size 1; holds an entry while a request is handled
	waiting atomic.Int64     // requests that wait or are handled
	most    atomic.Int64     // maximum of waiting
}

func (a *adviser) Advise(ctx context.Context, e dispatcher.RequestAdvice) dispatcher.AdviceAnswered {
	done := make(chan struct{})
	a.most.Store(max(a.most.Load(), a.waiting.Add(1)))
	go func() {
		defer close(done)
		a.turn <- struct{}{}
		time.Sleep(a.advice.CallTime(len(e.Workers)))
		<-a.turn
		a.waiting.Add(-1)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return dispatcher.AdviceAnswered{Step: e.Step, Outcome: dispatcher.AdviceTimedOut}
	}
	answer := dispatcher.AdviceAnswered{Step: e.Step, Requested: e.Workers, Validity: a.advice.Validity}
	for _, w := range e.Workers {
		answer.Tickets = append(answer.Tickets, dispatcher.Ticket{Worker: w.ID, Text: e.Step.StepID() + "/" + w.ID})
	}
	return answer
}

// TestAdviceThatTakesLong hands in jobs of a queue that needs advice of any duration. It guards
// against jobs that stay queued because each request is given up before its answer and made
// again unchanged.
func TestAdviceThatTakesLong(t *testing.T) {
	const ms = time.Millisecond
	for _, one := range []struct {
		name               string
		configured, actual specifier.Advice
		bound              time.Duration // until all jobs have succeeded
	}{
		{
			"24 workers take longer than a call to a worker may",
			specifier.Advice{RequestTime: 300 * ms, PerWorkerTime: 60 * ms, Validity: 5 * time.Second},
			specifier.Advice{},
			10 * time.Second,
		},
		{
			"a single worker takes longer, and tickets expire soon",
			specifier.Advice{RequestTime: 4000 * ms, PerWorkerTime: 100 * ms, Validity: 300 * ms},
			specifier.Advice{},
			30 * time.Second,
		},
		{
			"much longer than configured",
			specifier.Advice{RequestTime: 300 * ms, PerWorkerTime: 15 * ms, Validity: 5 * time.Second},
			specifier.Advice{RequestTime: 6000 * ms, PerWorkerTime: 300 * ms, Validity: 5 * time.Second},
			time.Minute,
		},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testAdvice(NewWithT(t), one.configured, one.actual, one.bound) })
		})
	}
}

// testAdvice expects that three jobs with advice of the given times succeed within the bound. If
// actual is zero, the adviser needs the configured times.
func testAdvice(g Gomega, configured, actual specifier.Advice, bound time.Duration) {
	const workers, jobs = 30, 3
	if actual == (specifier.Advice{}) {
		actual = configured
	}
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	service := &adviser{advice: actual, turn: make(chan struct{}, 1)}
	f := newFleet(ids...)
	d := newDaemonOn(manager.Options{Daemon: "a", Domain: "bne", Adviser: service}, faker.New(), f)
	queue := catalog.Queues[0]
	queue.Completion = time.Minute
	queue.Advice = configured
	queue.Advice.Needed = true
	defer func() {
		d.Close()
		time.Sleep(time.Minute) // until the adviser is done
	}()
	d.SetCatalog(&specifier.Catalog{Version: 2, Queues: []specifier.Queue{queue}})
	time.Sleep(6 * time.Second) // until the layout is written and the shard claimed
	for n := range jobs {
		g.Expect(d.receiver.Submit(context.Background(), queue, oneStepJob(n))).To(Succeed())
	}
	time.Sleep(bound)
	for n := range jobs {
		g.Expect(d.state(g, n)).To(Equal(specifier.Succeeded))
	}
	g.Expect(service.most.Load()).To(BeNumerically("<=", 3), "requests at the adviser")
}

// oneStepJob returns job n with its first step only.
func oneStepJob(n int) specifier.Job {
	j := job(n)
	j.Steps = j.Steps[:1]
	return j
}
