package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
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
	latency time.Duration
}

func (s *distantStore) wait(ctx context.Context) error {
	select {
	case <-time.After(s.latency):
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

// TestCancellationOutlivesItsRequest guards against a job whose cancellation a host has
// received, but drops when the caller's time is over before the store has answered.
func TestCancellationOutlivesItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeShards{load: idleLoad(), lastContact: time.Now}
		store := &distantStore{Client: faker.New().Client("a")}
		r := New(Options{Random: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope, Log: zerolog.Nop()}, s, store)
		defer r.Close()
		g.Expect(r.Submit(t.Context(), queue, testJob())).To(Succeed())

		store.latency = 2 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		e := asError(g, r.Cancel(ctx, testJob().ID))
		g.Expect(time.Since(began)).To(Equal(3 * time.Second))
		g.Expect(e.Verdict).To(Equal(classifier.MayHaveRun))
		g.Expect(e.Status).To(Equal(http.StatusGatewayTimeout))

		time.Sleep(2 * time.Second)
		synctest.Wait()
		_, err := store.Client.Get(t.Context(), recorder.CancelKey("desk", testJob().ID))
		g.Expect(err).NotTo(HaveOccurred(), "the cancellation is durable")
		g.Expect(s.cancelled).To(Equal([]string{testJob().ID}))
	})
}
