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

// TestRestoreAfterLateAttempt guards against an owner whose ownership is never confirmed again: an
// attempt to write its owner record was carried out after its time was over, so that the record
// exists already.
func TestRestoreAfterLateAttempt(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a := store.Client("a")
		f := claim(ctx, g, a, "a")
		time.Sleep(4 * time.Second) // the lease ends
		record := ownerWrite(ctx, g, a, "a")
		carryOutLate(ctx, g, a, func(ctx context.Context) error { return f.RestoreOwner(ctx, record) })
		g.Expect(store.Items(recorder.OwnerKey("menus"))).To(HaveLen(1), "the attempt was carried out")
		g.Expect(f.RestoreOwner(ctx, record)).To(Succeed())
		g.Expect(f.Write(ctx, recorder.WorkerList{}, put("1"), nil)).To(Succeed())
	})
}

// endedLeaseStore carries out the first transaction, but its response is lost, and the lease has
// ended when the transaction is sent again. It checks leases before conditions.
type endedLeaseStore struct {
	*faker.Client
	calls int
}

func (s *endedLeaseStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	s.calls++
	switch s.calls {
	case 1:
		_, err := s.Client.Commit(ctx, tx)
		if err == nil {
			err = context.DeadlineExceeded
		}
		return 0, err
	case 2:
		return 0, storer.ErrNoLease
	}
	return s.Client.Commit(ctx, tx)
}

// TestLeaseEndsBetweenAttempts guards against an owner that takes its own write for that of another
// owner and gives its shard up, since the write was sent again after its lease had ended.
func TestLeaseEndsBetweenAttempts(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a := store.Client("a")
		f := claim(ctx, g, a, "a")
		f.store = &endedLeaseStore{Client: a}
		g.Expect(f.RestoreOwner(ctx, ownerWrite(ctx, g, a, "a"))).To(MatchError(storer.ErrNoLease))
		g.Expect(f.RestoreOwner(ctx, ownerWrite(ctx, g, a, "a"))).To(Succeed())
	})
}

// TestReleaseIsFinal guards against a shard that its former owner, which doesn't run it any more,
// seems to own: the owner record is written again behind the release, since the lease has ended.
func TestReleaseIsFinal(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a, key := store.Client("a"), recorder.OwnerKey("menus")
		f := claim(ctx, g, a, "a")
		a.SetDelay(func(faker.Call) time.Duration { return time.Second })
		restored := make(chan error)
		record := ownerWrite(ctx, g, a, "a")
		time.AfterFunc(time.Millisecond, func() { restored <- f.RestoreOwner(ctx, record) })
		leases := []recorder.WorkerLease{{Worker: "w1", Remaining: time.Second}}
		g.Expect(f.Release(ctx, key, leases)).To(Succeed())
		g.Expect(<-restored).To(MatchError(ErrFenced))
		a.SetDelay(nil)
		g.Expect(store.Items(key)).To(BeEmpty())
		next := New("menus", "b", store.Client("b"))
		g.Expect(next.Claim(ctx, ownerWrite(ctx, g, a, "b"))).To(Succeed())
		g.Expect(next.WorkerLeases).To(Equal(leases))
	})
}
