package manager_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// pagedStore reads a shard in two pages, of which the first ends with the claim. The history that
// its owner follows is discarded once, after isDiscarded was set.
type pagedStore struct {
	*faker.Client
	prefix      string
	isDiscarded atomic.Bool
	between     atomic.Pointer[func()] // called once between the pages
}

func (s *pagedStore) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]storer.Item, int64, error) {
	if prefix != s.prefix {
		return s.Client.Watch(ctx, prefix, revision, wait)
	}
	time.Sleep(wait)
	if s.isDiscarded.CompareAndSwap(true, false) {
		return nil, 0, storer.ErrCompacted
	}
	return s.Client.Watch(ctx, prefix, revision, wait)
}

func (s *pagedStore) List(ctx context.Context, prefix string) ([]storer.Item, int64, error) {
	items, revision, err := s.Client.List(ctx, prefix)
	if prefix != s.prefix || err != nil {
		return items, revision, err
	}
	last := recorder.ClaimKey("desk")
	items = slices.DeleteFunc(items, func(item storer.Item) bool { return item.Key > last })
	if between := s.between.Swap(nil); between != nil {
		(*between)()
	}
	second, _, err := s.Client.List(ctx, prefix)
	second = slices.DeleteFunc(second, func(item storer.Item) bool { return item.Key <= last })
	return append(items, second...), revision, err
}

// TestClaimBetweenPages guards against two runs of a task: an owner reads its shard in pages that
// aren't a snapshot, when it begins or when the history is lost, and takes a job that was accepted
// after the claim of its successor.
func TestClaimBetweenPages(t *testing.T) {
	for name, isNew := range map[string]bool{"first list": true, "later list": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store, workers := faker.New(), newFleet("w1")
				operator := store.Client("operator")
				workers.register(t.Context(), operator)
				paged := &pagedStore{Client: store.Client("a"), prefix: recorder.ShardPrefix("desk")}
				var wasClaimed atomic.Bool
				claim := func() {
					wasClaimed.Store(true)
					commit(g, operator,
						storer.Write{Key: recorder.OwnerKey("desk"), Value: recorder.Encode(recorder.Owner{Daemon: "b"})},
						storer.Write{Key: recorder.FenceKey("desk"), Value: recorder.Encode(recorder.Fence{Owner: "b", Epoch: 1, WriteID: "foreign"})},
						storer.Write{Key: recorder.ClaimKey("desk"), Value: recorder.Encode(recorder.Claim{Daemon: "b", Epoch: 1})})
					acceptJob(g, operator, "desk", job(1))
				}
				if isNew {
					paged.between.Store(&claim)
				}
				a := manager.New(manager.Options{
					Daemon: "a", Domain: "bne", TTL: 3 * time.Second, MaxLease: 10 * time.Second,
					Random: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope, Log: zerolog.Nop(),
				}, paged, workers, workers)
				defer a.Close()
				a.SetCatalog(catalog)
				time.Sleep(6 * time.Second) // until the shard is claimed
				g.Expect(store.Items(recorder.ClaimKey("desk"))).To(HaveLen(1))
				g.Expect(wasClaimed.Load()).To(Equal(isNew))
				if !isNew {
					paged.between.Store(&claim)
					paged.isDiscarded.Store(true)
				}
				time.Sleep(5 * time.Second)
				g.Expect(wasClaimed.Load()).To(BeTrue())
				workers.mu.Lock()
				defer workers.mu.Unlock()
				g.Expect(workers.starts).To(BeEmpty())
			})
		})
	}
}
