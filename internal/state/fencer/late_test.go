package fencer

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// TestClaimAfterLateClaim guards against an owner that waits too briefly for the leases of the
// owner before it: a claim was carried out after its time was over, which tells less of them, and
// then the same daemon claims again.
func TestClaimAfterLateClaim(t *testing.T) {
	list := recorder.WorkerList{
		Workers: []string{"w1", "w2", "w3"}, Leaving: []string{"w3"},
		Inherited: []recorder.WorkerLease{{Worker: "w2", Remaining: time.Second}}, InheritedKnown: true,
	}
	leases := []recorder.WorkerLease{{Worker: "w1", Remaining: time.Second}, {Worker: "w2"}, {Worker: "w3"}}
	for name, end := range map[string]func(ctx context.Context, f *Fence) error{
		"crash":   func(ctx context.Context, f *Fence) error { return f.Write(ctx, list, nil, nil) },
		"release": func(ctx context.Context, f *Fence) error { return f.Release(ctx, recorder.OwnerKey("menus"), leases) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
				ctx := t.Context()
				a, b := store.Client("a"), store.Client("b")
				first := claim(ctx, g, a, "a")
				g.Expect(end(ctx, first)).To(Succeed())
				time.Sleep(4 * time.Second) // the first owner's lease expires

				late := New("menus", "b", b)
				record := ownerWrite(ctx, g, b, "b")
				carryOutLate(ctx, g, b, func(ctx context.Context) error { return late.Claim(ctx, record) })
				second := claim(ctx, g, b, "b")
				g.Expect(second.Epoch).To(BeEquivalentTo(2), "the late claim has taken effect")
				g.Expect(second.Previous).To(Equal(recorder.WorkerList{Workers: list.Workers}), "the longest wait for each worker")
				g.Expect(second.OwnerEnded).To(BeFalse())
				g.Expect(second.Released).To(BeFalse())
			})
		})
	}
}

// carryOutLate makes a call that writes to the store. Its time is over before the store carries it out.
func carryOutLate(ctx context.Context, g Gomega, client *faker.Client, call func(context.Context) error) {
	client.SetDelay(func(c faker.Call) time.Duration {
		if c.Operation == "commit" {
			return 2 * time.Second
		}
		return 0
	})
	defer client.SetDelay(nil)
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	g.Expect(call(limited)).NotTo(Succeed())
}

// lateStore keeps the first transaction without an answer, until it is carried out.
type lateStore struct {
	*faker.Client
	late *storer.Transaction
}

func (s *lateStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	if s.late == nil {
		s.late = &tx
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return s.Client.Commit(ctx, tx)
}

// TestRefusedCommitStaysRefused guards against a job that two shards have: an attempt to move it had
// no answer, the next one was refused since the job is being cancelled, and the store carries out the
// first one later.
func TestRefusedCommitStaysRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a, operator := store.Client("a"), store.Client("operator")
		f := claim(ctx, g, a, "a")
		late := &lateStore{Client: a}
		f.store = late
		time.AfterFunc(attemptTimeout/2, func() {
			_, err := operator.Commit(ctx, storer.Transaction{Put: []storer.Write{{Key: "cancel"}}})
			g.Expect(err).NotTo(HaveOccurred())
		})
		move := storer.Transaction{If: []storer.Condition{{Key: "cancel"}}, Put: put("moved")}
		_, err := f.Commit(ctx, move)
		g.Expect(err).To(MatchError(ErrConditionFailed))
		_, err = a.Commit(ctx, *late.late)
		g.Expect(err).To(MatchError(storer.ErrConflict), "while the job is being cancelled")
		g.Expect(f.Write(ctx, recorder.WorkerList{}, nil, []string{"cancel"})).To(Succeed())
		_, err = a.Commit(ctx, *late.late)
		g.Expect(err).To(MatchError(storer.ErrConflict), "after the cancellation")
		_, err = a.Get(ctx, "k")
		g.Expect(err).To(MatchError(storer.ErrNotFound))
	})
}
