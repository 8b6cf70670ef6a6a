// Package keeper is a stand-in for the platform's key-value store, for tests
// and the demo.
//
// # Model
//
// A [Keeper] holds all keys in memory under one lock. Every change takes the
// next revision. A deleted key leaves a mark with its revision, so a watch can
// be answered from the present state however long its client was away.
//
// Faults are switched by [Keeper.Outage], [Keeper.Slow] and
// [Keeper.LoseAnswers], or over HTTP, as docs/PLATFORM.md describes:
//
//	k, err := keeper.New("127.0.0.1:0")
//	defer k.Close()
//	k.LoseAnswers(1, 0, 0) // the next write takes effect and has no answer
package keeper

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// MaxWait is the longest a watch waits.
const MaxWait = time.Minute

// Keeper is the store.
type Keeper struct {
	Address string        // ip:port
	Done    chan struct{} // closed when it has ended

	mu       sync.Mutex
	revision int64
	items    map[string]storer.Item // deleted ones included
	changed  chan struct{}          // closed at the next change
	leases   map[int64]*lease
	next     int64 // lease id
	faults   faults
	counts   Counts
	second   time.Time // start of the second that calls are counted for
	calls    int64     // in that second
	server   *listener.Listener
}

type lease struct {
	ttl   time.Duration
	ends  time.Time
	timer *time.Timer
}

// New serves an empty store on address, such as 127.0.0.1:0.
func New(address string) (*Keeper, error) {
	k := &Keeper{
		items:   make(map[string]storer.Item),
		changed: make(chan struct{}),
		leases:  make(map[int64]*lease),
		counts:  Counts{Calls: make(map[string]int64)},
	}
	server, err := listener.New(address, k.routes())
	if err != nil {
		return nil, err
	}
	k.server, k.Address, k.Done = server, server.Address, server.Done
	return k, nil
}

// Close ends the store; its content is gone.
func (k *Keeper) Close() error {
	k.mu.Lock()
	for _, l := range k.leases {
		l.timer.Stop()
	}
	k.mu.Unlock()
	return k.server.Close()
}

func (k *Keeper) get(key string) (storer.Item, error) {
	item, ok := k.items[key]
	if !ok || item.Deleted {
		return storer.Item{}, listener.Refuse(http.StatusNotFound, "not-found", "no key "+key)
	}
	return item, nil
}

// list returns the items below prefix that changed after the revision.
func (k *Keeper) list(prefix string, after int64, deleted bool) []storer.Item {
	var out []storer.Item
	for key, item := range k.items {
		if !strings.HasPrefix(key, prefix) || item.Revision <= after || item.Deleted && !deleted {
			continue
		}
		out = append(out, item)
	}
	slices.SortFunc(out, func(a, b storer.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (k *Keeper) swap(item storer.Item, expected int64) (int64, error) {
	if len(item.Value) > storer.MaxValueSize {
		return 0, listener.Refuse(http.StatusRequestEntityTooLarge, "too-large", "value is over 1 MB")
	}
	if err := k.expect(item.Key, expected); err != nil {
		return 0, err
	}
	if item.Lease != 0 && k.leases[item.Lease] == nil {
		return 0, listener.Refuse(http.StatusGone, "no-lease", "lease unknown or expired")
	}
	return k.put(item), nil
}

func (k *Keeper) remove(key string, expected int64) error {
	if _, err := k.get(key); err != nil {
		return err
	}
	if err := k.expect(key, expected); err != nil {
		return err
	}
	k.put(storer.Item{Key: key, Deleted: true})
	return nil
}

func (k *Keeper) expect(key string, expected int64) error {
	present := k.items[key]
	if present.Deleted {
		present.Revision = 0
	}
	if present.Revision != expected {
		return listener.Refuse(http.StatusConflict, "conflict", "revision differs for "+key)
	}
	return nil
}

// put stores item under the next revision and wakes the watches.
func (k *Keeper) put(item storer.Item) int64 {
	k.revision++
	item.Revision = k.revision
	k.items[item.Key] = item
	close(k.changed)
	k.changed = make(chan struct{})
	return item.Revision
}

func (k *Keeper) grant(ttl time.Duration) (int64, error) {
	if ttl <= 0 {
		return 0, listener.Refuse(http.StatusBadRequest, "malformed", "ttl must be positive")
	}
	k.next++
	id := k.next
	l := &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { k.lapse(id) })
	k.leases[id] = l
	return id, nil
}

func (k *Keeper) renew(id int64) error {
	l := k.leases[id]
	if l == nil {
		return listener.Refuse(http.StatusGone, "no-lease", "lease unknown or expired")
	}
	l.ends = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// lapse ends a lease unless it was renewed while the timer fired.
func (k *Keeper) lapse(id int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[id]
	if l == nil || time.Now().Before(l.ends) {
		return
	}
	k.end(id)
}

func (k *Keeper) end(id int64) {
	l := k.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(k.leases, id)
	for key, item := range k.items {
		if item.Lease == id && !item.Deleted {
			k.put(storer.Item{Key: key, Deleted: true})
		}
	}
}
