//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store.
const (
	storeDelay   = 4 * time.Millisecond // time for an answer
	valueBytes   = 1048576              // of one value
	keyBytes     = 200
	maxEntries   = 32 // of one transaction
	pageItems    = 500
	pageBytes    = 1 << 20
	storeHistory = 20 * time.Second
	maxWatch     = 30 * time.Second
	leaseCheck   = 50 * time.Millisecond
)

// item is an item of the store, or an event if Deleted is set.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64 `json:",omitempty"`
	Deleted  bool  `json:",omitempty"`

	at time.Time
}

// storeLease is a lease and when it ends.
type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's key-value store.
type store struct {
	record  *record
	address string
	stop    chan struct{}

	mu        sync.Mutex // guards the fields below
	revision  int64
	items     map[string]item
	events    []item
	dropped   int64 // revision up to which the history was dropped
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{} // closed and replaced with each change
	refused   map[string]int
}

func newStore(r *record) (*store, error) {
	s := &store{
		record: r, stop: make(chan struct{}), revision: 100, items: make(map[string]item),
		leases: make(map[int64]*storeLease), changed: make(chan struct{}), refused: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	server, err := serve(freeLoopback(), mux, 0)
	if err != nil {
		return nil, err
	}
	s.address = server.address
	go s.expire()
	return s, nil
}

// expire ends leases until the store is stopped.
func (s *store) expire() {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// dropLease ends a lease and removes its keys. The caller holds the lock, as for all below that
// are no handlers.
func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.removeItem(key)
		}
	}
	s.notify()
}

func (s *store) removeItem(key string) {
	delete(s.items, key)
	s.addEvent(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) putItem(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.addEvent(i)
}

func (s *store) addEvent(i item) {
	i.at = time.Now()
	s.events = append(s.events, i)
	for len(s.events) > 0 && time.Since(s.events[0].at) > storeHistory {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a worker.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("standin3: %v", err)) // all values are plain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putItem(key, data, 0)
	s.notify()
}

// remove removes a key for a worker.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.removeItem(key)
		s.notify()
	}
}

// value returns the value of a key, nil without one.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, struct{ At int64 }{at})
		return
	}
	respond(w, http.StatusOK, struct {
		item
		At int64
	}{i, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("After") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size := []item{}, 0
	for _, key := range keys {
		if len(page) >= pageItems || size >= pageBytes {
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	body := map[string]any{"items": page, "HasMore": len(page) < len(keys), "At": s.revision}
	s.mu.Unlock()
	respond(w, http.StatusOK, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWatch))
	for isOver := false; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			respond(w, http.StatusGone, struct{}{})
			return
		}
		events := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("Prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			respond(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a conditional write.
type transaction struct {
	ExpectedRevision []struct {
		Key      string
		Revision int64
	}
	Write []struct {
		Key   string
		Value []byte
		Lease int64
	}
	Remove []string
}

// fault returns the status with which the store refuses a transaction as it stands, or 0.
func (t *transaction) fault() (status int, reason string) {
	if len(t.ExpectedRevision)+len(t.Write)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, "too many entries"
	}
	for _, w := range t.Write {
		switch {
		case len(w.Key) > keyBytes:
			return http.StatusBadRequest, "key too long"
		case len(w.Value) > valueBytes:
			return http.StatusBadRequest, fmt.Sprintf("value of %s has %d bytes", w.Key, len(w.Value))
		case strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/"):
			return http.StatusForbidden, "not the system's key"
		}
	}
	return 0, ""
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if status, reason := t.fault(); status != 0 {
		s.refused[reason]++
		if s.refused[reason] == 1 {
			s.record.printf("store refuses a write with %d: %s, at most %d", status, reason, valueBytes)
		}
		respond(w, status, struct{}{})
		return
	}
	for _, c := range t.ExpectedRevision {
		if s.items[c.Key].Revision == c.Revision {
			continue
		}
		current := []item{}
		for _, c := range t.ExpectedRevision {
			if i, ok := s.items[c.Key]; ok {
				current = append(current, i)
			}
		}
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Write {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			respond(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range t.Write {
		s.putItem(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.removeItem(key)
		}
	}
	s.notify()
	respond(w, http.StatusOK, struct{ Revision int64 }{s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var in struct{ TtlMs int64 } //nolint:revive // spelled as on the wire
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]int64{"Lease": s.lastLease, "TtlMs": in.TtlMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	s.dropLease(id)
	respond(w, http.StatusOK, struct{}{})
}
