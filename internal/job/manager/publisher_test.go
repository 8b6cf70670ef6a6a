package manager_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// loadHistory records all load summaries of a shard that a store has held.
type loadHistory struct {
	done chan struct{}

	mu    sync.Mutex
	loads []recorder.Load
}

// followLoads records the load summaries of the shard "desk" until ctx ends.
func followLoads(ctx context.Context, store *faker.Store) *loadHistory {
	h := &loadHistory{done: make(chan struct{})}
	client := store.Client("history")
	go func() {
		defer close(h.done)
		var revision int64
		for ctx.Err() == nil {
			items, next, err := client.Watch(ctx, recorder.LoadKey("desk"), revision, time.Minute)
			if err != nil {
				return
			}
			revision = next
			h.add(items)
		}
	}()
	return h
}

func (h *loadHistory) add(items []storer.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range items {
		var load recorder.Load
		if err := recorder.Decode(item.Value, &load); err != nil {
			panic(err)
		}
		h.loads = append(h.loads, load)
	}
}

// latest returns the last summary.
func (h *loadHistory) latest() recorder.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loads[len(h.loads)-1]
}

// isInOrder reports whether each summary was made by the same owner as the one before and later, or by a
// later owner.
func (h *loadHistory) isInOrder() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.IsSortedFunc(h.loads, func(a, b recorder.Load) int {
		if a.Epoch != b.Epoch {
			return int(a.Epoch - b.Epoch)
		}
		return a.MadeAt.Compare(b.MadeAt)
	})
}

// isLoadCommit reports whether a call writes the load summary of the shard "desk".
func isLoadCommit(c faker.Call) bool {
	return c.Operation == "commit" && c.Key == recorder.LoadKey("desk")
}

// impatientStore is a store whose transactions return when their contexts end, although they are carried
// out later.
type impatientStore struct{ *faker.Client }

func (s impatientStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	type answer struct {
		revision int64
		err      error
	}
	answered := make(chan answer, 1)
	go func() {
		revision, err := s.Client.Commit(context.WithoutCancel(ctx), tx)
		answered <- answer{revision, err}
	}()
	select {
	case a := <-answered:
		return a.revision, a.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// maxDelay is the longest delay of a publication in the tests.
const maxDelay = 8 * time.Second

// publicationTest runs a test with the owner of a shard, another daemon and what the store held.
func publicationTest(t *testing.T, spec func(g Gomega, owner, other *daemon, f *fleet, h *loadHistory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store, workers := faker.New(), newFleet("w1", "w2", "w3")
		ctx, cancel := context.WithCancel(context.Background())
		history := followLoads(ctx, store)
		defer func() { <-history.done }()
		defer cancel()
		defer time.Sleep(maxDelay) // until all transactions have been carried out
		workers.register(ctx, store.Client("registrar"))
		start := func(name string) *daemon {
			client := store.Client(name)
			return newDaemonVia(impatientStore{client}, manager.Options{Daemon: name, Domain: "bne"}, client, workers)
		}
		a, b := start("a"), start("b")
		defer a.Close()
		defer b.Close()
		time.Sleep(6 * time.Second) // until the layout is written and the shard claimed
		owner, other := ownerOf(NewWithT(t), a, b)
		spec(NewWithT(t), owner, other, workers, history)
	})
}

// TestReplacedOwnerPublishesNoLoad guards against an owner that doesn't know yet that it was replaced, as
// after a suspension, and hides the jobs that the present owner has counted: all hosts then answer that
// none is pending.
func TestReplacedOwnerPublishesNoLoad(t *testing.T) {
	publicationTest(t, func(g Gomega, owner, other *daemon, f *fleet, h *loadHistory) {
		f.cutOffSuccessors() // the owner learns nothing from its workers
		owner.store.SetDown(true)
		time.Sleep(5 * time.Second) // its lease expires
		g.Expect(other.View().Shards["desk"].Owner).To(Equal(other.store.Name))
		for n := range 6 {
			accepted := job(n)
			accepted.Queue = "menus"
			acceptJob(g, other.store, "desk", accepted)
		}
		time.Sleep(3 * time.Second)
		g.Expect(other.receiver.Pending("menus")).To(Equal(6))
		owner.store.SetFault(func(c faker.Call) faker.Outcome {
			if isLoadCommit(c) {
				return faker.Succeed
			}
			return faker.Drop
		})
		owner.store.SetDown(false)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(other.receiver.Pending("menus")).To(Equal(6))
		}
		g.Expect(h.isInOrder()).To(BeTrue())
		g.Expect(h.latest().Epoch).To(BeEquivalentTo(1))
	})
}

// TestLateLoadOfReplacedOwner guards against a load summary that an owner has sent while it still owned
// the shard, and that the store carries out after it was replaced, and after the call was given up.
func TestLateLoadOfReplacedOwner(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"before the successor's first summary": 3500 * time.Millisecond, "after it": maxDelay,
	} {
		t.Run(name, func(t *testing.T) {
			publicationTest(t, func(g Gomega, owner, other *daemon, _ *fleet, h *loadHistory) {
				owner.store.SetDelay(func(c faker.Call) time.Duration {
					if isLoadCommit(c) {
						return delay
					}
					return 0
				})
				owner.store.SetFault(func(c faker.Call) faker.Outcome {
					if isLoadCommit(c) {
						return faker.Succeed
					}
					return faker.Drop
				})
				time.Sleep(delay + 6*time.Second)
				g.Expect(other.View().Shards["desk"].Owner).To(Equal(other.store.Name))
				g.Expect(h.isInOrder()).To(BeTrue())
				g.Expect(h.latest().Epoch).To(BeEquivalentTo(1))
			})
		})
	}
}

// TestLateLoadOfSameOwner guards against a load summary that the store carries out late and that replaces
// a later one of the same owner.
func TestLateLoadOfSameOwner(t *testing.T) {
	publicationTest(t, func(g Gomega, owner, other *daemon, _ *fleet, h *loadHistory) {
		isFirst := true
		owner.store.SetDelay(func(c faker.Call) time.Duration {
			if isLoadCommit(c) && isFirst {
				isFirst = false
				return 4 * time.Second
			}
			return 0
		})
		for n := range 10 { // the load changes all the time
			other.submit(g, n)
			time.Sleep(800 * time.Millisecond)
		}
		g.Expect(h.isInOrder()).To(BeTrue())
		g.Expect(h.latest().MadeAt).To(BeTemporally("~", time.Now(), 3*time.Second))
	})
}

// TestLoadsStayInOrder checks, for any delays and losses of the publications of an owner and of its
// successor, that load summaries replace only earlier ones, and that the successor's is the last.
func TestLoadsStayInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draws := make(chan time.Duration, 1000)
		for range cap(draws) {
			draws <- time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 700, 1400, 1600, 3000, 6000}).Draw(rt, "delay")) * time.Millisecond
		}
		downFor := time.Duration(rapid.IntRange(0, 8).Draw(rt, "outage")) * time.Second
		publicationTest(t, func(g Gomega, owner, other *daemon, _ *fleet, h *loadHistory) {
			delayLoads := func(c faker.Call) time.Duration {
				if isLoadCommit(c) {
					return <-draws
				}
				return 0
			}
			owner.store.SetDelay(delayLoads)
			other.store.SetDelay(delayLoads)
			for n := range 6 {
				other.submit(g, n)
				time.Sleep(600 * time.Millisecond)
			}
			owner.store.SetFault(func(c faker.Call) faker.Outcome {
				if isLoadCommit(c) {
					return faker.Succeed
				}
				return faker.Drop
			})
			time.Sleep(downFor)
			owner.store.SetFault(nil)
			for n := range 6 {
				other.submit(g, 6+n)
				time.Sleep(600 * time.Millisecond)
			}
			owner.store.SetDelay(nil)
			other.store.SetDelay(nil)
			time.Sleep(12 * time.Second)
			g.Expect(h.isInOrder()).To(BeTrue())
			g.Expect(h.latest().MadeAt).To(BeTemporally("~", time.Now(), 3*time.Second))
			for _, d := range []*daemon{owner, other} {
				g.Expect(d.View().Shards["desk"].Load.MadeAt).To(BeTemporally("~", time.Now(), 3*time.Second))
			}
		})
	})
}
