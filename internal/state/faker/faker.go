// Package faker provides an in-memory store and network with injected faults,
// for the tests of other packages.
//
// # Model
//
// Several [Client] values share one [Store], one for each daemon of a test. The
// function set by SetFault decides the [Outcome] of each call of a client. The
// package takes the time from package time, so it is virtual in a
// testing/synctest bubble.
//
//	store := faker.New()
//	a, b := store.Client("a"), store.Client("b")
//	a.SetFault(func(c faker.Call) faker.Outcome { return faker.LoseResponse })
package faker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Outcome is what happens to a call.
type Outcome uint8

// Outcomes of calls.
const (
	// Succeed applies the call and returns its result.
	Succeed Outcome = iota
	// Drop has no effect. The client gets no response.
	Drop
	// LoseResponse applies the call, but the client gets no response.
	LoseResponse
	// StaleRead makes Get return the item as it was before its latest change. It
	// equals Succeed for other calls.
	StaleRead
)

// String returns the word for the outcome in failure messages. For all but Drop
// it differs from the name of the constant.
func (o Outcome) String() string {
	return [...]string{"answer", "drop", "lose-answer", "stale"}[o]
}

// Call describes a call for the functions that decide its outcome and delay.
type Call struct {
	Client    string // name of the client
	Operation string // commit, get, list, swap, delete, grant, renew, revoke, watch
	Key       string // key or prefix
	Value     []byte
	Number    int64 // number of the call among those of the client, from 1
}

// Store is a key-value store in memory. It is safe for concurrent use.
type Store struct {
	mu              sync.Mutex // guards the fields below
	revision        int64      // revision of the latest change
	lastLease       int64      // id of the lease granted last
	items           map[string]storer.Item
	previousItems   map[string]storer.Item // items before their latest changes by key, for stale reads
	deleteRevisions map[string]int64       // revisions of the deletions by key
	leases          map[int64]*lease
	changed         chan struct{} // closed and replaced with each change
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items:           map[string]storer.Item{},
		previousItems:   map[string]storer.Item{},
		deleteRevisions: map[string]int64{},
		leases:          map[int64]*lease{},
		changed:         make(chan struct{}),
	}
}

// Client returns a new client of the store.
func (s *Store) Client(name string) *Client {
	return &Client{Name: name, store: s, callCounts: map[string]int64{}}
}

// Items returns the items whose keys begin with prefix, sorted by key.
func (s *Store) Items(prefix string) []storer.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []storer.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b storer.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// expire deletes the expired leases and the items bound to them; s.mu is held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and the items bound to it; s.mu is held.
func (s *Store) deleteLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// remove deletes an item; s.mu is held.
func (s *Store) remove(key string) {
	s.revision++
	s.previousItems[key] = s.items[key]
	delete(s.items, key)
	s.deleteRevisions[key] = s.revision
	s.notifyChange()
}

// put sets an item and returns its revision; s.mu is held.
func (s *Store) put(key string, value []byte, lease int64) int64 {
	s.revision++
	if old, ok := s.items[key]; ok {
		s.previousItems[key] = old
	}
	s.items[key] = storer.Item{Key: key, Value: slices.Clone(value), Revision: s.revision, Lease: lease}
	delete(s.deleteRevisions, key)
	s.notifyChange()
	return s.revision
}

// notifyChange wakes the watches; s.mu is held.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Client is the access of one daemon to the store. It implements storer.Store
// and is safe for concurrent use.
type Client struct {
	Name  string
	store *Store

	mu         sync.Mutex // guards the fields below
	fault      func(Call) Outcome
	delay      func(Call) time.Duration
	down       bool
	callCounts map[string]int64 // number of calls by operation
	calls      int64
}

var _ storer.Store = (*Client)(nil)

// SetFault sets the function that decides the outcome of each call; with nil all
// calls succeed. It is called by one goroutine at a time.
func (c *Client) SetFault(f func(Call) Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// SetDelay sets the function that returns the time before each call takes
// effect; nil means no delay. It is called by one goroutine at a time.
func (c *Client) SetDelay(f func(Call) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = f
}

// SetDown begins or ends an outage of the store for this client, during which all
// calls are dropped.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// CallCount returns the number of calls of an operation so far.
func (c *Client) CallCount(operation string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callCounts[operation]
}

// noResponse is the error of a call whose outcome the client does not know.
func noResponse() error {
	return &classifier.Error{Verdict: classifier.MayHaveRun, Code: "store", Message: "no response from store"}
}

// rejected is the error of a call that the store did not apply.
func rejected(err error) error {
	return &classifier.Error{Verdict: classifier.NotRun, Code: "store", Message: "rejected by store", Err: err}
}

// outcome decides the outcome of a call.
func (c *Client) outcome(call Call) Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.down:
		return Drop
	case c.fault != nil:
		return c.fault(call)
	}
	return Succeed
}

// do runs f on the store according to the outcome of the call; stale says
// whether it is StaleRead.
func (c *Client) do(ctx context.Context, operation, key string, value []byte, f func(s *Store, stale bool) error) error {
	c.mu.Lock()
	c.calls++
	c.callCounts[operation]++
	call := Call{Client: c.Name, Operation: operation, Key: key, Value: value, Number: c.calls}
	var delay time.Duration
	if c.delay != nil {
		delay = c.delay(call)
	}
	c.mu.Unlock()
	// The call takes effect after the delay even if ctx has ended by then.
	time.Sleep(delay)
	outcome := c.outcome(call)
	if outcome == Drop {
		return noResponse()
	}
	c.store.mu.Lock()
	c.store.expire()
	err := f(c.store, outcome == StaleRead)
	c.store.mu.Unlock()
	if outcome == LoseResponse {
		return noResponse()
	}
	if ctx.Err() != nil {
		return noResponse()
	}
	return err
}

// Get implements storer.Store.
func (c *Client) Get(ctx context.Context, key string) (item storer.Item, err error) {
	err = c.do(ctx, "get", key, nil, func(s *Store, stale bool) error {
		var ok bool
		item, ok = s.items[key]
		if stale {
			item, ok = s.previousItems[key]
		}
		if !ok {
			return rejected(storer.ErrNotFound)
		}
		return nil
	})
	return item, err
}

// List implements storer.Store.
func (c *Client) List(ctx context.Context, prefix string) (items []storer.Item, revision int64, err error) {
	err = c.do(ctx, "list", prefix, nil, func(s *Store, _ bool) error {
		for key, item := range s.items {
			if strings.HasPrefix(key, prefix) {
				items = append(items, item)
			}
		}
		slices.SortFunc(items, func(a, b storer.Item) int { return strings.Compare(a.Key, b.Key) })
		revision = s.revision
		return nil
	})
	return items, revision, err
}

// Swap implements storer.Store.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected, lease int64) (revision int64, err error) {
	if len(value) > storer.MaxValueSize {
		return 0, rejected(fmt.Errorf("faker: value of %d bytes exceeds limit", len(value)))
	}
	err = c.do(ctx, "swap", key, value, func(s *Store, _ bool) error {
		if s.items[key].Revision != expected {
			return rejected(storer.ErrConflict)
		}
		if lease != 0 && s.leases[lease] == nil {
			return rejected(storer.ErrNoLease)
		}
		revision = s.put(key, value, lease)
		return nil
	})
	return revision, err
}

// Delete implements storer.Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	return c.do(ctx, "delete", key, nil, func(s *Store, _ bool) error {
		item, ok := s.items[key]
		switch {
		case !ok:
			return rejected(storer.ErrNotFound)
		case item.Revision != expected:
			return rejected(storer.ErrConflict)
		}
		s.remove(key)
		return nil
	})
}

// Grant implements storer.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id int64, err error) {
	err = c.do(ctx, "grant", "", nil, func(s *Store, _ bool) error {
		s.lastLease++
		id = s.lastLease
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return nil
	})
	return id, err
}

// Renew implements storer.Store.
func (c *Client) Renew(ctx context.Context, id int64) error {
	return c.do(ctx, "renew", "", nil, func(s *Store, _ bool) error {
		l := s.leases[id]
		if l == nil {
			return rejected(storer.ErrNoLease)
		}
		l.expires = time.Now().Add(l.ttl)
		return nil
	})
}

// Revoke implements storer.Store.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	return c.do(ctx, "revoke", "", nil, func(s *Store, _ bool) error {
		if s.leases[id] == nil {
			return rejected(storer.ErrNoLease)
		}
		s.deleteLease(id)
		return nil
	})
}

// Watch implements storer.Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]storer.Item, int64, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		var items []storer.Item
		var next int64
		var changed chan struct{}
		err := c.do(ctx, "watch", prefix, nil, func(s *Store, _ bool) error {
			items, next, changed = s.changesSince(prefix, revision), s.revision, s.changed
			return nil
		})
		if err != nil || len(items) > 0 {
			return items, next, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, 0, noResponse()
		}
	}
}

// changesSince returns the items below prefix that changed after revision,
// deleted ones included, in order of revision; s.mu is held.
func (s *Store) changesSince(prefix string, revision int64) []storer.Item {
	var out []storer.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && item.Revision > revision {
			out = append(out, item)
		}
	}
	for key, r := range s.deleteRevisions {
		if strings.HasPrefix(key, prefix) && r > revision {
			out = append(out, storer.Item{Key: key, Revision: r, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b storer.Item) int { return int(a.Revision - b.Revision) })
	return out
}
