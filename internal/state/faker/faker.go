// Package faker is an in-memory store with faults for the tests of its
// neighbours.
//
// # Model
//
// One [Store] is shared by several [Client] values, one for each daemon of a
// test. The function set by SetFault decides the fate of each of its calls: refused,
// carried out with the answer lost, or answered from the past. Time is that of
// the time package, so a testing/synctest bubble makes it virtual.
//
//	store := faker.New()
//	a, b := store.Client("a"), store.Client("b")
//	a.SetFault(func(c faker.Call) faker.Fate { return faker.LoseAnswer })
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

// Outcome is what becomes of a call.
type Outcome uint8

// Fates of calls.
const (
	Succeed      Outcome = iota
	Drop                 // no effect, and the client cannot tell
	LoseResponse         // carried out, and the client cannot tell
	StaleRead            // a read answers with the value before the latest change
)

func (f Outcome) String() string {
	return [...]string{"answer", "drop", "lose-answer", "stale"}[f]
}

// Call is one call of a client.
type Call struct {
	Client    string
	Operation string // get, list, swap, delete, grant, renew, revoke, watch
	Key       string
	Value     []byte
	Number    int64 // of the client's calls, from 1
}

// Store is the shared state.
type Store struct {
	mu       sync.Mutex
	revision int64
	lease    int64
	items    map[string]storer.Item
	past     map[string]storer.Item // before the latest change, for stale reads
	gone     map[string]int64       // revision of the delete
	leases   map[int64]*lease
	changed  chan struct{} // closed and replaced with each change
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items:   map[string]storer.Item{},
		past:    map[string]storer.Item{},
		gone:    map[string]int64{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
	}
}

// Client returns a client of the store.
func (s *Store) Client(name string) *Client {
	return &Client{Name: name, store: s, count: map[string]int64{}}
}

// Items returns the items below prefix, sorted by key.
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

// expire deletes what was bound to lapsed leases; s.mu is held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	s.revision++
	s.past[key] = s.items[key]
	delete(s.items, key)
	s.gone[key] = s.revision
	s.tell()
}

func (s *Store) put(key string, value []byte, lease int64) int64 {
	s.revision++
	if old, ok := s.items[key]; ok {
		s.past[key] = old
	}
	s.items[key] = storer.Item{Key: key, Value: slices.Clone(value), Revision: s.revision, Lease: lease}
	delete(s.gone, key)
	s.tell()
	return s.revision
}

func (s *Store) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Client is one daemon's access. It implements storer.Store.
type Client struct {
	Name  string
	store *Store

	mu    sync.Mutex
	fault func(Call) Outcome
	delay func(Call) time.Duration
	down  bool
	count map[string]int64
	calls int64
}

var _ storer.Store = (*Client)(nil)

// SetFault sets what decides the fate of each call; nil answers every call.
// The function is called by one goroutine at a time.
func (c *Client) SetFault(f func(Call) Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// SetDelay sets the time before each call has its effect; nil is none. The
// function is called by one goroutine at a time.
func (c *Client) SetDelay(f func(Call) time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = f
}

// SetDown begins or ends an outage for this client.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// CallCount returns the calls made, by operation.
func (c *Client) CallCount(operation string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[operation]
}

func lost() error {
	return &classifier.Error{Verdict: classifier.MayHaveRun, Code: "store", Message: "no answer"}
}

func refused(err error) error {
	return &classifier.Error{Verdict: classifier.NotRun, Code: "store", Message: "refused", Err: err}
}

func (c *Client) fate(call Call) Outcome {
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

// do runs f on the store according to the call's fate.
func (c *Client) do(ctx context.Context, operation, key string, value []byte, f func(s *Store, stale bool) error) error {
	c.mu.Lock()
	c.calls++
	c.count[operation]++
	call := Call{Client: c.Name, Operation: operation, Key: key, Value: value, Number: c.calls}
	var delay time.Duration
	if c.delay != nil {
		delay = c.delay(call)
	}
	c.mu.Unlock()
	// The call has its effect late, whether or not anybody still waits.
	time.Sleep(delay)
	fate := c.fate(call)
	if fate == Drop {
		return lost()
	}
	c.store.mu.Lock()
	c.store.expire()
	err := f(c.store, fate == StaleRead)
	c.store.mu.Unlock()
	if fate == LoseResponse {
		return lost()
	}
	if ctx.Err() != nil {
		return lost()
	}
	return err
}

// Get implements storer.Store.
func (c *Client) Get(ctx context.Context, key string) (item storer.Item, err error) {
	err = c.do(ctx, "get", key, nil, func(s *Store, stale bool) error {
		var ok bool
		item, ok = s.items[key]
		if stale {
			item, ok = s.past[key]
		}
		if !ok {
			return refused(storer.ErrNotFound)
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
	if len(value) > storer.MaxValue {
		return 0, refused(fmt.Errorf("faker: value of %d bytes", len(value)))
	}
	err = c.do(ctx, "swap", key, value, func(s *Store, _ bool) error {
		if s.items[key].Revision != expected {
			return refused(storer.ErrConflict)
		}
		if lease != 0 && s.leases[lease] == nil {
			return refused(storer.ErrNoLease)
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
			return refused(storer.ErrNotFound)
		case item.Revision != expected:
			return refused(storer.ErrConflict)
		}
		s.remove(key)
		return nil
	})
}

// Grant implements storer.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id int64, err error) {
	err = c.do(ctx, "grant", "", nil, func(s *Store, _ bool) error {
		s.lease++
		id = s.lease
		s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
		return nil
	})
	return id, err
}

// Renew implements storer.Store.
func (c *Client) Renew(ctx context.Context, id int64) error {
	return c.do(ctx, "renew", "", nil, func(s *Store, _ bool) error {
		l := s.leases[id]
		if l == nil {
			return refused(storer.ErrNoLease)
		}
		l.until = time.Now().Add(l.ttl)
		return nil
	})
}

// Revoke implements storer.Store.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	return c.do(ctx, "revoke", "", nil, func(s *Store, _ bool) error {
		if s.leases[id] == nil {
			return refused(storer.ErrNoLease)
		}
		s.end(id)
		return nil
	})
}

// Watch implements storer.Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]storer.Item, int64, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		var items []storer.Item
		var next int64
		var changed chan struct{}
		err := c.do(ctx, "watch", prefix, nil, func(s *Store, _ bool) error {
			items, next, changed = s.since(prefix, revision), s.revision, s.changed
			return nil
		})
		if err != nil || len(items) > 0 {
			return items, next, err
		}
		select {
		case <-changed:
		case <-end.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, 0, lost()
		}
	}
}

func (s *Store) since(prefix string, revision int64) []storer.Item {
	var out []storer.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && item.Revision > revision {
			out = append(out, item)
		}
	}
	for key, r := range s.gone {
		if strings.HasPrefix(key, prefix) && r > revision {
			out = append(out, storer.Item{Key: key, Revision: r, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b storer.Item) int { return int(a.Revision - b.Revision) })
	return out
}
