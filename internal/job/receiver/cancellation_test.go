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
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// distantStore is a store whose calls take a while, over a connection that ends with
// the context of the call.
type distantStore struct {
	*faker.Client
	latency atomic.Int64 // duration of a call
}

func (s *distantStore) wait(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(s.latency.Load())):
		return nil
	case <-ctx.Done():
		return &classifier.Error{Verdict: classifier.MayHaveRun, Code: "store", Message: "no response from store", Err: ctx.Err()}
	}
}

func (s *distantStore) Get(ctx context.Context, key string) (storer.Item, error) {
	if err := s.wait(ctx); err != nil {
		return storer.Item{}, err
	}
	return s.Client.Get(ctx, key)
}

func (s *distantStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	return s.Client.Commit(ctx, tx)
}

// newDistant returns a receiver whose store takes latency for each call, with an accepted job.
func newDistant(t *testing.T, g Gomega, latency time.Duration) (*Receiver, *fakeShards, *distantStore) {
	s := &fakeShards{load: idleLoad(), lastContact: time.Now}
	store := &distantStore{Client: faker.New().Client("a")}
	r := New(Options{Random: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope, Log: zerolog.Nop()}, s, store)
	g.Expect(r.Submit(t.Context(), queue, testJob())).To(Succeed())
	store.latency.Store(int64(latency))
	return r, s, store
}

// isCancelled reports whether the cancellation of the job is in the store.
func (s *distantStore) isCancelled(ctx context.Context) bool {
	_, err := s.Client.Get(ctx, recorder.CancelKey("desk", testJob().ID))
	return err == nil
}

// TestCancellationOutlivesItsRequest guards against a job whose cancellation a host has
// received, but drops when the caller's time is over before the store has answered.
func TestCancellationOutlivesItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, s, store := newDistant(t, g, 2*time.Second)
		defer r.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		e := asError(g, r.Cancel(ctx, testJob().ID))
		g.Expect(time.Since(began)).To(Equal(3 * time.Second))
		g.Expect(e.Verdict).To(Equal(classifier.MayHaveRun))
		g.Expect(e.Status).To(Equal(http.StatusGatewayTimeout))

		time.Sleep(2 * time.Second)
		synctest.Wait()
		g.Expect(store.isCancelled(t.Context())).To(BeTrue())
		g.Expect(s.cancelled).To(Equal([]string{testJob().ID}))
	})
}

// TestShutdownCompletesCancellations guards against a planned shutdown that drops a cancellation
// that the host has received.
func TestShutdownCompletesCancellations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, _, store := newDistant(t, g, 2*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(r.Cancel(ctx, testJob().ID)).NotTo(Succeed())
		r.Shutdown(t.Context())
		g.Expect(store.isCancelled(t.Context())).To(BeTrue())
		e := asError(g, r.Cancel(t.Context(), testJob().ID))
		g.Expect(e.Verdict).To(Equal(classifier.NotRun))
	})
}

// TestRepeatedCancellationJoinsTheFirst guards against callers who repeat a cancellation and
// multiply the calls to a store that is slow already.
func TestRepeatedCancellationJoinsTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, _, store := newDistant(t, g, 400*time.Millisecond)
		defer r.Close()
		for range 20 {
			go func() { _ = r.Cancel(t.Context(), testJob().ID) }()
		}
		g.Expect(r.Cancel(t.Context(), testJob().ID)).To(Succeed())
		synctest.Wait()
		g.Expect(store.CallCount("get")).To(Equal(int64(1)))
	})
}

// TestLostAnswerDelaysACancellationLittle guards against a cancellation that waits for an answer
// that never comes.
func TestLostAnswerDelaysACancellationLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, _, store := newDistant(t, g, time.Hour)
		defer r.Close()
		time.AfterFunc(500*time.Millisecond, func() { store.latency.Store(int64(10 * time.Millisecond)) })
		began := time.Now()
		g.Expect(r.Cancel(t.Context(), testJob().ID)).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("~", initialAttemptDelay, 100*time.Millisecond))
	})
}
