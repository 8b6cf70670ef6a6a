package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// lateDelay is when a lateStore carries out a write that it gave no answer to. It is longer
// than any attempt waits.
const lateDelay = 5 * time.Second

// lateStore gives no answer to the first writes, and carries them out later if their conditions
// still hold.
type lateStore struct {
	*faker.Client
	late atomic.Int64 // number of writes that are still to be carried out late
}

func (s *lateStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if s.late.Add(-1) < 0 {
		return s.Client.Commit(ctx, tx)
	}
	time.AfterFunc(lateDelay, func() { _, _ = s.Client.Commit(context.Background(), tx) })
	<-ctx.Done()
	return 0, &classifier.Error{Verdict: classifier.MayHaveRun, Code: "store", Message: "no response from store", Err: ctx.Err()}
}

// allWrites is more than the writes that a receiver makes for one request.
const allWrites = 1000

// host is a receiver of one host, with its own connection to the store.
type host struct {
	*Receiver
	shards *fakeShards
	store  *lateStore
}

// newHost returns a host whose first late writes are carried out late.
func newHost(t *testing.T, store *faker.Store, name string, late int64) *host {
	h := &host{shards: &fakeShards{load: idleLoad(), lastContact: time.Now}, store: &lateStore{Client: store.Client(name)}}
	h.store.late.Store(late)
	h.Receiver = New(Options{Random: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope, Log: zerolog.Nop()}, h.shards, h.store)
	t.Cleanup(h.Close)
	return h
}

// isStored reports whether the job is in the store.
func isStored(store *faker.Store) bool {
	return len(store.Items(recorder.JobKey("desk", testJob().ID))) > 0
}

// TestCancelledJobIsNotAcceptedLater guards against a job that runs for good: its caller got no
// answer to the submission and cancelled it at another host, which knew no such job, before the
// store carried out the acceptance.
func TestCancelledJobIsNotAcceptedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := faker.New()
		a, b := newHost(t, store, "a", allWrites), newHost(t, store, "b", 0)
		g.Expect(asError(g, a.Submit(t.Context(), queue, testJob())).Verdict).To(Equal(classifier.MayHaveRun))
		g.Expect(asError(g, b.Cancel(t.Context(), testJob().ID)).Status).To(Equal(http.StatusGone))

		time.Sleep(2 * lateDelay)
		g.Expect(isStored(store)).To(BeFalse())
		_, err := b.State(t.Context(), testJob().ID)
		g.Expect(asError(g, err).Status).To(Equal(http.StatusGone))
	})
}

// TestAcceptanceDuringACancellation guards against a job that is accepted between the read and
// the write of its cancellation, and whose cancellation is lost.
func TestAcceptanceDuringACancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := faker.New()
		a, b := newHost(t, store, "a", 0), newHost(t, store, "b", 0)
		b.store.SetDelay(func(c faker.Call) time.Duration {
			if c.Operation == "commit" {
				return 100 * time.Millisecond
			}
			return 0
		})
		time.AfterFunc(50*time.Millisecond, func() { _ = a.Submit(context.Background(), queue, testJob()) })
		g.Expect(b.Cancel(t.Context(), testJob().ID)).To(Succeed())
		g.Expect(isStored(store)).To(BeTrue())
		g.Expect(store.Items(recorder.CancelKey("desk", testJob().ID))).To(HaveLen(1))
	})
}

// TestLateTombstoneLeavesAnAcceptedJob guards against a tombstone that has no answer, is carried
// out late and replaces the index entry of a job that was accepted in between.
func TestLateTombstoneLeavesAnAcceptedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := faker.New()
		a, b := newHost(t, store, "a", 0), newHost(t, store, "b", allWrites)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(asError(g, b.Cancel(ctx, testJob().ID)).Verdict).To(Equal(classifier.MayHaveRun))
		b.Close()
		g.Expect(a.Submit(t.Context(), queue, testJob())).To(Succeed())

		time.Sleep(2 * lateDelay)
		g.Expect(a.State(t.Context(), testJob().ID)).To(Equal(specifier.Queued))
	})
}

// TestSubmissionAfterItsCancellation guards against a submission that arrives again after its
// cancellation was acknowledged, and is run, or is called accepted though nothing is stored.
func TestSubmissionAfterItsCancellation(t *testing.T) {
	for name, load := range map[string]recorder.Load{"with room": idleLoad(), "at overload": fullLoad()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := faker.New()
				a, b := newHost(t, store, "a", 0), newHost(t, store, "b", 0)
				g.Expect(asError(g, b.Cancel(t.Context(), testJob().ID)).Status).To(Equal(http.StatusGone))
				a.shards.load = load
				e := asError(g, a.Submit(t.Context(), queue, testJob()))
				g.Expect(e.Verdict).To(Equal(classifier.NotRun))
				g.Expect(e.Status).To(Equal(http.StatusGone))
				g.Expect(e.RetryAfter).To(BeZero())
				g.Expect(isStored(store)).To(BeFalse())
			})
		})
	}
}

// TestSubmissionIsToldOfItsCancellation guards against a host that tries an acceptance again,
// finds the tombstone of a cancellation at another host and takes it for the accepted job.
func TestSubmissionIsToldOfItsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := faker.New()
		a, b := newHost(t, store, "a", 1), newHost(t, store, "b", 0)
		time.AfterFunc(attemptTimeout/2, func() { _ = b.Cancel(context.Background(), testJob().ID) })
		g.Expect(asError(g, a.Submit(t.Context(), queue, testJob())).Status).To(Equal(http.StatusGone))
		time.Sleep(2 * lateDelay)
		g.Expect(isStored(store)).To(BeFalse())
	})
}

// TestUnreadableIndexEntryIsNoRefusal guards against a repeated submission that is told that the
// job never runs, since its index entry, which exists, couldn't be read.
func TestUnreadableIndexEntryIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := faker.New()
		a := newHost(t, store, "a", 0)
		g.Expect(a.Submit(t.Context(), queue, testJob())).To(Succeed())
		a.store.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "get" {
				return faker.Drop
			}
			return faker.Succeed
		})
		e := asError(g, a.Submit(t.Context(), queue, testJob()))
		g.Expect(e.Verdict).To(Equal(classifier.MayHaveRun))
		g.Expect(e.Status).To(Equal(http.StatusGatewayTimeout))
	})
}

// TestRepeatedCancellationOfAnUnknownJob guards against callers who cancel an unknown job again
// and again, and cause a write each time.
func TestRepeatedCancellationOfAnUnknownJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHost(t, faker.New(), "b", 0)
		for range 5 {
			g.Expect(asError(g, b.Cancel(t.Context(), testJob().ID)).Status).To(Equal(http.StatusGone))
		}
		g.Expect(b.store.CallCount("commit")).To(Equal(int64(1)))
	})
}
