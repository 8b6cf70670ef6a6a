// Package keeper is a stand-in for the platform's key-value store, for tests and
// the demo.
//
// # Model
//
// A [Keeper] holds all keys in memory under one lock. Every change takes the next
// revision. A deleted key leaves a tombstone with its revision, so that a watch can
// be answered from the current state however long its client was disconnected.
//
// Faults are injected by [Keeper.SetOutage], [Keeper.SetDelay] and
// [Keeper.DropResponses], or over HTTP, as docs/PLATFORM.md describes:
//
//	k, err := keeper.New("127.0.0.1:0")
//	defer k.Close()
//	k.DropResponses(1, 0, 0) // the next write takes effect but is not answered
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

// MaxWatchWait is the longest that a watch waits for a change.
const MaxWatchWait = time.Minute

// Keeper is an in-memory key-value store with leases and watches, served over
// HTTP. It is safe for concurrent use.
type Keeper struct {
	Address string        // ip:port
	Done    chan struct{} // closed once the server has ended

	// mu guards the fields below, apart from server. Unexported methods are called
	// with it held, except routes, and admit, watch and expireLease, which lock it.
	mu            sync.Mutex
	revision      int64                  // revision of the latest change
	items         map[string]storer.Item // items by key, including tombstones
	changed       chan struct{}          // closed and replaced at each change
	leases        map[int64]*lease       // leases in force by id
	lastLease     int64                  // id of the lease granted last
	faults        faults
	counts        Counts
	countedSecond time.Time // start of the second that callsInSecond covers
	callsInSecond int64
	server        *listener.Listener
}

// lease is a lease in force.
type lease struct {
	ttl   time.Duration
	end   time.Time
	timer *time.Timer // expires the lease at end
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

// Close ends the server and the timers of all leases.
func (k *Keeper) Close() error {
	k.mu.Lock()
	for _, l := range k.leases {
		l.timer.Stop()
	}
	k.mu.Unlock()
	return k.server.Close()
}

// get returns the item, unless the key is missing or deleted.
func (k *Keeper) get(key string) (storer.Item, error) {
	item, ok := k.items[key]
	if !ok || item.Deleted {
		return storer.Item{}, listener.NewRefusal(http.StatusNotFound, "not-found", "no key "+key)
	}
	return item, nil
}

// list returns the items whose key begins with prefix and that changed after the
// revision, sorted by key, with or without the tombstones of deleted ones.
func (k *Keeper) list(prefix string, after int64, tombstones bool) []storer.Item {
	var out []storer.Item
	for key, item := range k.items {
		if !strings.HasPrefix(key, prefix) || item.Revision <= after || item.Deleted && !tombstones {
			continue
		}
		out = append(out, item)
	}
	slices.SortFunc(out, func(a, b storer.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// swap writes item if the key is at the expected revision, 0 for a missing one, and
// returns the new revision.
func (k *Keeper) swap(item storer.Item, expected int64) (int64, error) {
	if len(item.Value) > storer.MaxValueSize {
		return 0, listener.NewRefusal(http.StatusRequestEntityTooLarge, "too-large", "value is over 1 MB")
	}
	if err := k.checkRevision(item.Key, expected); err != nil {
		return 0, err
	}
	if item.Lease != 0 && k.leases[item.Lease] == nil {
		return 0, listener.NewRefusal(http.StatusGone, "no-lease", "lease unknown or expired")
	}
	return k.put(item), nil
}

// remove deletes the key if it is at the expected revision.
func (k *Keeper) remove(key string, expected int64) error {
	if _, err := k.get(key); err != nil {
		return err
	}
	if err := k.checkRevision(key, expected); err != nil {
		return err
	}
	k.put(storer.Item{Key: key, Deleted: true})
	return nil
}

// checkRevision refuses a change unless the key is at the expected revision, which
// is 0 for a missing or deleted key.
func (k *Keeper) checkRevision(key string, expected int64) error {
	current := k.items[key]
	if current.Deleted {
		current.Revision = 0
	}
	if current.Revision != expected {
		return listener.NewRefusal(http.StatusConflict, "conflict", "revision differs for "+key)
	}
	return nil
}

// put stores item under the next revision and wakes the waiting watches.
func (k *Keeper) put(item storer.Item) int64 {
	k.revision++
	item.Revision = k.revision
	k.items[item.Key] = item
	close(k.changed)
	k.changed = make(chan struct{})
	return item.Revision
}

// grant makes a lease and returns its id.
func (k *Keeper) grant(ttl time.Duration) (int64, error) {
	if ttl <= 0 {
		return 0, listener.NewRefusal(http.StatusBadRequest, "malformed", "ttl must be positive")
	}
	k.lastLease++
	id := k.lastLease
	l := &lease{ttl: ttl, end: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { k.expireLease(id) })
	k.leases[id] = l
	return id, nil
}

// renew extends the lease by its whole duration from now.
func (k *Keeper) renew(id int64) error {
	l := k.leases[id]
	if l == nil {
		return listener.NewRefusal(http.StatusGone, "no-lease", "lease unknown or expired")
	}
	l.end = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// expireLease ends a lease, unless it was renewed while its timer fired.
func (k *Keeper) expireLease(id int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[id]
	if l == nil || time.Now().Before(l.end) {
		return
	}
	k.endLease(id)
}

// endLease ends a lease and deletes the keys that are attached to it.
func (k *Keeper) endLease(id int64) {
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
