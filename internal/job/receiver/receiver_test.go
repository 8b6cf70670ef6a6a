package receiver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// shards is a manager with one shard of a given load.
type shards struct {
	load      recorder.Load
	contact   func() time.Time
	cancelled []string
}

func (s *shards) Catalog() *specifier.Catalog { return &specifier.Catalog{Version: 1} }

func (s *shards) View() manager.View {
	return manager.View{Shards: map[string]manager.ShardView{"desk": {Owner: "x", Load: s.load, LoadReceived: time.Now()}}}
}

func (s *shards) Cancelled(_, id string)                          { s.cancelled = append(s.cancelled, id) }
func (s *shards) JobState(string, string) (specifier.State, bool) { return "", false }
func (s *shards) LastContact() time.Time                          { return s.contact() }

var queue = specifier.Queue{Name: "menus", Service: "desk", Slack: 2, Completion: time.Second}

func testJob() specifier.Job {
	return specifier.Job{ID: "5c0e7a21d94b36f8", Steps: []specifier.Step{
		{Count: 2, Needs: describer.Resources{CPU: 1000}, Estimate: time.Second},
	}}
}

func idle() recorder.Load {
	return recorder.Load{Service: "desk", Workers: 4, Free: describer.Resources{CPU: 64000, Memory: 9000}, UnusedCPU: 64000}
}

func full() recorder.Load {
	return recorder.Load{Service: "desk", Workers: 4, FiniteCPU: 1000, Backlog: []recorder.Backlog{{FiniteWork: 1_000_000}}}
}

func inBubble(t *testing.T, spec func(g Gomega, r *Receiver, s *shards, store *faker.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &shards{load: idle(), contact: time.Now}
		store := faker.New().Client("a")
		r := New(Options{Random: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope, Log: zerolog.Nop()}, s, store)
		spec(NewWithT(t), r, s, store)
	})
}

func failure(g Gomega, err error) *classifier.Error {
	var e *classifier.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	return e
}

func TestRefusalAtOverload(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *shards, store *faker.Client) {
		s.load = full()
		e := failure(g, r.Submit(context.Background(), queue, testJob()))
		g.Expect(e.Verdict).To(Equal(classifier.NotRun))
		g.Expect(e.Status).To(Equal(http.StatusTooManyRequests))
		g.Expect(e.RetryAfter).To(BeNumerically(">", 0))
		_, err := store.Get(context.Background(), recorder.IndexKey(testJob().ID))
		g.Expect(err).To(MatchError(storer.ErrNotFound), "nothing was written")
	})
}

func TestSizesThatNoWorkerHas(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *shards, _ *faker.Client) {
		s.load.MaxCapacity = describer.Resources{CPU: 900, Memory: 100}
		e := failure(g, r.Submit(context.Background(), queue, testJob()))
		g.Expect(e.Status).To(Equal(http.StatusBadRequest))
		g.Expect(e.Field).To(Equal("steps[0].needs"))
	})
}

func TestRepeatAtOverloadIsAcceptedAgain(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *shards, _ *faker.Client) {
		g.Expect(r.Submit(context.Background(), queue, testJob())).To(Succeed())
		s.load = full()
		g.Expect(r.Submit(context.Background(), queue, testJob())).To(Succeed())
	})
}

func TestWorkAcceptedSinceTheSummaryCounts(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *shards, _ *faker.Client) {
		s.load.Free.CPU, s.load.FiniteCPU = 0, 2000
		accepted := 0
		for n := range 40 {
			job := testJob()
			job.ID = testJob().ID[:14] + string(rune('a'+n%6)) + string(rune('0'+n/6))
			if r.Submit(context.Background(), queue, job) == nil {
				accepted++
			}
		}
		// Two millicore-seconds of work a second, and an objective of 3 s.
		g.Expect(accepted).To(BeNumerically("<", 10))
	})
}

func TestUnknownOutcomeIsSaid(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, _ *shards, store *faker.Client) {
		store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "commit" {
				return faker.Drop
			}
			return faker.Succeed
		})
		began := time.Now()
		e := failure(g, r.Submit(context.Background(), queue, testJob()))
		g.Expect(e.Verdict).To(Equal(classifier.MayHaveRun))
		g.Expect(e.Status).To(Equal(http.StatusGatewayTimeout))
		g.Expect(time.Since(began)).To(BeNumerically("<=", acceptTime+attemptTime))
	})
}

func TestLostAnswerIsNoSecondJob(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, _ *shards, store *faker.Client) {
		lost := false
		store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "commit" && !lost {
				lost = true
				return faker.LoseResponse
			}
			return faker.Succeed
		})
		g.Expect(r.Submit(context.Background(), queue, testJob())).To(Succeed())
		g.Expect(store.CallCount("commit")).To(Equal(int64(2)))
	})
}

func TestStoreAwayIsRefusedWithoutATry(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *shards, store *faker.Client) {
		long := time.Now().Add(-time.Minute)
		s.contact = func() time.Time { return long }
		e := failure(g, r.Submit(context.Background(), queue, testJob()))
		g.Expect(e.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(e.Verdict).To(Equal(classifier.NotRun))
		g.Expect(store.CallCount("commit")).To(BeZero())
	})
}

func TestCancellation(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *shards, store *faker.Client) {
		ctx := context.Background()
		g.Expect(failure(g, r.Cancel(ctx, testJob().ID)).Status).To(Equal(http.StatusGone))
		g.Expect(r.Submit(ctx, queue, testJob())).To(Succeed())
		g.Expect(r.Cancel(ctx, testJob().ID)).To(Succeed())
		g.Expect(s.cancelled).To(Equal([]string{testJob().ID}))
		_, err := store.Get(ctx, recorder.CancelKey("desk", testJob().ID))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

func TestCancellationOfAnEndedJobChangesNothing(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *shards, store *faker.Client) {
		ctx := context.Background()
		entry := recorder.IndexEntry{Shard: "desk", Queue: "menus", State: specifier.Succeeded}
		_, err := store.Commit(ctx, storer.Transaction{
			Put: []storer.Write{{Key: recorder.IndexKey(testJob().ID), Value: recorder.Encode(entry)}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Cancel(ctx, testJob().ID)).To(Succeed())
		g.Expect(s.cancelled).To(BeEmpty())
		g.Expect(r.State(ctx, testJob().ID)).To(Equal(specifier.Succeeded))
	})
}
