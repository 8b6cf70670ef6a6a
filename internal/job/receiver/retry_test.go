package receiver

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// scriptedStore fails the writes of cancellations as a function of their number says.
type scriptedStore struct {
	*distantStore
	writes atomic.Int64
	fail   func(ctx context.Context, write int64) error
}

func (s *scriptedStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if err := s.fail(ctx, s.writes.Add(1)); err != nil {
		return 0, err
	}
	return s.distantStore.Commit(ctx, tx)
}

// newScripted returns a receiver whose store fails writes, with an accepted job.
func newScripted(t *testing.T, g Gomega, fail func(ctx context.Context, write int64) error) (*Receiver, *scriptedStore) {
	r, _, distant := newDistant(t, g, time.Millisecond)
	store := &scriptedStore{distantStore: distant, fail: fail}
	r.store = store
	return r, store
}

// TestConflictsAreRetriedWithADelay guards against a cancellation that floods the store while
// the owner writes the job's index entry all the time.
func TestConflictsAreRetriedWithADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, store := newScripted(t, g, func(context.Context, int64) error { return storer.ErrConflict })
		defer r.Close()
		const observed = 10 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), observed)
		defer cancel()
		g.Expect(r.Cancel(ctx, testJob().ID)).NotTo(Succeed())
		g.Expect(store.writes.Load()).To(BeNumerically(">", 1))
		g.Expect(store.writes.Load()).To(BeNumerically("<=", int64(observed/initialRetryDelay)))
	})
}

// TestLostAnswerAfterRefusals guards against a cancellation that waits for long for a lost
// answer, because refusals before it have raised the delay that is meant for lost ones.
func TestLostAnswerAfterRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var lostAt atomic.Pointer[time.Time]
		r, _ := newScripted(t, g, func(ctx context.Context, write int64) error {
			switch {
			case write <= 5:
				return &classifier.Error{Verdict: classifier.NotRun, Code: "busy", Message: "store refused the write"}
			case write == 6:
				now := time.Now()
				lostAt.Store(&now)
				<-ctx.Done()
				return errors.New("no answer")
			}
			return nil
		})
		defer r.Close()
		g.Expect(r.Cancel(t.Context(), testJob().ID)).To(Succeed())
		g.Expect(time.Since(*lostAt.Load())).To(BeNumerically("~", initialAttemptDelay, 100*time.Millisecond))
	})
}
