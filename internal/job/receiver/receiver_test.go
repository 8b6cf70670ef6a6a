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

// fakeShards is a manager with one shard of a given load.
type fakeShards struct {
	load        recorder.Load
	unpublished []recorder.ShardLayout // of the service desk
	lastContact func() time.Time
	cancelled   []string
}

func (s *fakeShards) Catalog() *specifier.Catalog { return &specifier.Catalog{Version: 1} }

func (s *fakeShards) View() manager.View {
	return manager.View{
		Shards:      map[string]manager.ShardView{"desk": {Owner: "x", Load: s.load, LoadReceived: time.Now()}},
		Unpublished: map[string][]recorder.ShardLayout{"desk": s.unpublished},
	}
}

func (s *fakeShards) Cancelled(_, id string, _ time.Time)             { s.cancelled = append(s.cancelled, id) }
func (s *fakeShards) JobState(string, string) (specifier.State, bool) { return "", false }
func (s *fakeShards) LastContact() time.Time                          { return s.lastContact() }

var queue = specifier.Queue{Name: "menus", Service: "desk", Slack: 2, Completion: time.Second}

// testJob returns a job of 2 core-seconds in two tasks of 1 s.
func testJob() specifier.Job {
	return specifier.Job{ID: "5c0e7a21d94b36f8", Steps: []specifier.Step{
		{Count: 2, Needs: describer.Resources{CPU: 1000}, Estimate: time.Second},
	}}
}

// idleLoad is the load summary of a shard without work.
func idleLoad() recorder.Load {
	return recorder.Load{Service: "desk", Workers: 4, Free: describer.Resources{CPU: 64000, Memory: 9000}, UnusedCPU: 64000}
}

// fullLoad is the load summary of a shard with 1,000 core-seconds of waiting
// work.
func fullLoad() recorder.Load {
	return recorder.Load{Service: "desk", Workers: 4, FiniteCPU: 1000, Backlog: []recorder.Backlog{{ReservedWork: 1_000_000}}}
}

// inBubble runs a test in virtual time with a receiver, an idle shard and a
// store.
func inBubble(t *testing.T, spec func(g Gomega, r *Receiver, s *fakeShards, store *faker.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fakeShards{load: idleLoad(), lastContact: time.Now}
		store := faker.New().Client("a")
		r := New(Options{Random: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope, Log: zerolog.Nop()}, s, store)
		defer r.Close()
		spec(NewWithT(t), r, s, store)
	})
}

// asError returns err as a *classifier.Error.
func asError(g Gomega, err error) *classifier.Error {
	var e *classifier.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	return e
}

func TestRefusalAtOverload(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *fakeShards, store *faker.Client) {
		s.load = fullLoad()
		e := asError(g, r.Submit(context.Background(), queue, testJob()))
		g.Expect(e.Verdict).To(Equal(classifier.NotRun))
		g.Expect(e.Status).To(Equal(http.StatusTooManyRequests))
		g.Expect(e.RetryAfter).To(BeNumerically(">", 0))
		_, err := store.Get(context.Background(), recorder.IndexKey(testJob().ID))
		g.Expect(err).To(MatchError(storer.ErrNotFound), "nothing was written")
	})
}

func TestSizesThatNoWorkerHas(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *fakeShards, _ *faker.Client) {
		s.load.MaxCapacity = describer.Resources{CPU: 900, Memory: 100}
		e := asError(g, r.Submit(context.Background(), queue, testJob()))
		g.Expect(e.Status).To(Equal(http.StatusBadRequest))
		g.Expect(e.Field).To(Equal("steps[0].needs"))
	})
}

func TestRepeatAtOverloadIsAcceptedAgain(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *fakeShards, _ *faker.Client) {
		g.Expect(r.Submit(context.Background(), queue, testJob())).To(Succeed())
		s.load = fullLoad()
		g.Expect(r.Submit(context.Background(), queue, testJob())).To(Succeed())
	})
}

func TestWorkAcceptedSinceTheSummaryCounts(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *fakeShards, _ *faker.Client) {
		s.load.Free.CPU, s.load.FiniteCPU = 0, 2000
		accepted := 0
		for n := range 40 {
			job := testJob()
			job.ID = testJob().ID[:14] + string(rune('a'+n%6)) + string(rune('0'+n/6))
			if r.Submit(context.Background(), queue, job) == nil {
				accepted++
			}
		}
		// The shard does 2 core-seconds of work a second; the completion target
		// is 3 s.
		g.Expect(accepted).To(BeNumerically("<", 10))
	})
}

func TestUnknownOutcomeIsSaid(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, _ *fakeShards, store *faker.Client) {
		store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "commit" {
				return faker.Drop
			}
			return faker.Succeed
		})
		began := time.Now()
		e := asError(g, r.Submit(context.Background(), queue, testJob()))
		g.Expect(e.Verdict).To(Equal(classifier.MayHaveRun))
		g.Expect(e.Status).To(Equal(http.StatusGatewayTimeout))
		g.Expect(time.Since(began)).To(BeNumerically("<=", acceptTimeout+attemptTimeout))
	})
}

func TestLostAnswerIsNoSecondJob(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, _ *fakeShards, store *faker.Client) {
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
	inBubble(t, func(g Gomega, r *Receiver, s *fakeShards, store *faker.Client) {
		aMinuteAgo := time.Now().Add(-time.Minute)
		s.lastContact = func() time.Time { return aMinuteAgo }
		e := asError(g, r.Submit(context.Background(), queue, testJob()))
		g.Expect(e.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(e.Verdict).To(Equal(classifier.NotRun))
		g.Expect(store.CallCount("commit")).To(BeZero())
	})
}

func TestCancellation(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *fakeShards, store *faker.Client) {
		ctx := context.Background()
		g.Expect(asError(g, r.Cancel(ctx, "0000000000000000")).Status).To(Equal(http.StatusGone))
		g.Expect(r.Submit(ctx, queue, testJob())).To(Succeed())
		g.Expect(r.Cancel(ctx, testJob().ID)).To(Succeed())
		g.Expect(s.cancelled).To(Equal([]string{testJob().ID}))
		_, err := store.Get(ctx, recorder.CancelKey("desk", testJob().ID))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

func TestCancellationOfAnEndedJobChangesNothing(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *fakeShards, store *faker.Client) {
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

// TestCancellationReachesAllParts cancels a job with tasks in other shards, whose
// owners must not wait for the owner of the job's shard.
func TestCancellationReachesAllParts(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, _ *fakeShards, store *faker.Client) {
		id := testJob().ID
		entry := recorder.IndexEntry{Shard: "desk", State: specifier.Running, Parts: []string{"desk@bne", "desk@gc"}}
		_, err := store.Commit(context.Background(), storer.Transaction{
			Put: []storer.Write{{Key: recorder.IndexKey(id), Value: recorder.Encode(entry)}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Cancel(context.Background(), id)).To(Succeed())
		for _, shard := range []string{"desk", "desk@bne", "desk@gc"} {
			_, err := store.Get(context.Background(), recorder.CancelKey(shard, id))
			g.Expect(err).NotTo(HaveOccurred(), shard)
		}
	})
}

// TestShardWithoutSummaryGetsItsShare guards against a start of the system at which the
// first shard to publish its load gets all long-running jobs.
func TestShardWithoutSummaryGetsItsShare(t *testing.T) {
	inBubble(t, func(g Gomega, r *Receiver, s *fakeShards, store *faker.Client) {
		s.load.Capacity, s.load.LongRunningLimit = s.load.Free, 57600
		s.unpublished = []recorder.ShardLayout{{Name: "desk-2", Workers: 4}}
		count := make(map[string]int)
		for n := range 40 {
			job := testJob()
			job.ID = testJob().ID[:14] + string(rune('a'+n%6)) + string(rune('0'+n/6))
			job.Steps[0].LongRunning = true
			g.Expect(r.Submit(context.Background(), queue, job)).To(Succeed())
			item, err := store.Get(context.Background(), recorder.IndexKey(job.ID))
			g.Expect(err).NotTo(HaveOccurred())
			var entry recorder.IndexEntry
			g.Expect(recorder.Decode(item.Value, &entry)).To(Succeed())
			count[entry.Shard]++
		}
		g.Expect(count["desk"]).To(BeNumerically(">=", 10))
		g.Expect(count["desk-2"]).To(BeNumerically(">=", 10))
	})
}
