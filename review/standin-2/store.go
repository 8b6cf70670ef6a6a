//go:build review2

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	valueBytes   = 1 << 20
	keyBytes     = 200
	txnEntries   = 32
	pageItems    = 500
	pageBytes    = 1 << 20
	storeDelay   = 4 * time.Millisecond
	storeHistory = 20 * time.Second
)

// item is an item of the store as it is sent.
type item struct {
	Key      string
	Value    string `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

type change struct {
	item
	at time.Time
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's key-value store.
type store struct {
	record *record

	mu        sync.Mutex
	revision  int64
	lastLease int64
	items     map[string]item
	leases    map[int64]*storeLease
	history   []change
	oldest    int64 // changes up to this revision aren't in the history any more
	changed   chan struct{}
	refused   int // writes that were refused because of their size
}

func newStore(r *record) *store {
	s := &store{record: r, revision: 100, oldest: 100, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire removes leases that have ended and old history. The caller holds the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > storeHistory {
		s.oldest = s.history[n].Revision
		n++
	}
	s.history = s.history[n:]
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

// write is an entry of a transaction.
type write struct {
	Key, Value string
	Lease      int64
}

// apply makes one change of the store. The caller holds the lock.
func (s *store) apply(writes []write, removes []string) {
	s.revision++
	now := time.Now()
	for _, w := range writes {
		created := s.revision
		if old, ok := s.items[w.Key]; ok {
			created = old.Created
		}
		it := item{Key: w.Key, Value: w.Value, Revision: s.revision, Created: created, Lease: w.Lease}
		s.items[w.Key] = it
		s.history = append(s.history, change{it, now})
	}
	for _, k := range removes {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, change{item{Key: k, Revision: s.revision, Deleted: true}, now})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a worker.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]write{{Key: key, Value: base64.StdEncoding.EncodeToString(data)}}, nil)
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

// values returns the decoded values of the keys that contain part.
func (s *store) values(part string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for k, it := range s.items {
		if strings.Contains(k, part) {
			data, _ := base64.StdEncoding.DecodeString(it.Value)
			out[k] = string(data)
		}
	}
	return out
}

// view is the store as one host reaches it.
type view struct {
	store    *store
	listener net.Listener
}

func newView(s *store) *view {
	v := &view{store: s, listener: listen("127.0.0.1:0")}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", v.serve(s.get))
	mux.HandleFunc("GET /kv-range", v.serve(s.list))
	mux.HandleFunc("GET /kv-watch", v.serve(s.watch))
	mux.HandleFunc("POST /kv-txn", v.serve(s.txn))
	mux.HandleFunc("POST /kv-lease", v.serve(s.grant))
	mux.HandleFunc("POST /kv-keep/{id}", v.serve(s.keep))
	mux.HandleFunc("DELETE /kv-lease-end/{id}", v.serve(s.revoke))
	go func() { _ = (&http.Server{Handler: mux}).Serve(v.listener) }()
	return v
}

func (v *view) address() string { return v.listener.Addr().String() }

func (v *view) serve(call func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		status, body := call(r)
		respond(w, status, body)
	}
}

func (s *store) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		return http.StatusNotFound, struct{ At int64 }{s.revision}
	}
	return http.StatusOK, struct {
		item
		At int64
	}{it, s.revision}
}

func (s *store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("Prefix")) && k > q.Get("After") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items   []item `json:"items"`
		HasMore bool
		At      int64
	}{Items: []item{}, At: s.revision}
	size := 0
	for _, k := range keys {
		it := s.items[k]
		if len(out.Items) > 0 && (len(out.Items) >= pageItems || size+len(it.Value) > pageBytes) {
			out.HasMore = true
			break
		}
		size += len(it.Value)
		out.Items = append(out.Items, it)
	}
	return http.StatusOK, out
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		events := []item{}
		at := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, c := range s.history[at:] {
			if strings.HasPrefix(c.Key, q.Get("Prefix")) {
				events = append(events, c.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			return http.StatusOK, map[string]any{"events": events, "At": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return http.StatusOK, struct{}{}
		}
	}
}

func (s *store) txn(r *http.Request) (int, any) {
	var in struct {
		ExpectedRevision []struct {
			Key      string
			Revision int64
		}
		Write  []write
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.ExpectedRevision)+len(in.Write)+len(in.Remove) > txnEntries {
		return http.StatusBadRequest, struct{}{}
	}
	for _, w := range in.Write {
		data, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil || len(w.Key) > keyBytes || len(data) > valueBytes {
			s.mu.Lock()
			s.refused++
			n := s.refused
			s.mu.Unlock()
			if n == 1 {
				s.record.printf("store: refused a write of %d bytes to %s, at most %d are taken", len(data), w.Key, valueBytes)
			}
			return http.StatusBadRequest, struct{}{}
		}
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range in.ExpectedRevision {
		if s.items[c.Key].Revision != c.Revision {
			current := []item{}
			for _, c := range in.ExpectedRevision {
				if it, ok := s.items[c.Key]; ok {
					current = append(current, it)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": current, "At": s.revision}
		}
	}
	for _, w := range in.Write {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.apply(in.Write, in.Remove)
	return http.StatusOK, map[string]int64{"Revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var in struct{ TtlMs int64 } //nolint:revive // spelled as on the wire
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"Lease": s.lastLease, "TtlMs": in.TtlMs}
}

func (s *store) keep(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, struct{}{}
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()}
}

func (s *store) revoke(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, struct{}{}
	}
	s.endLease(id)
	return http.StatusOK, struct{}{}
}

// respond sends a response with a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// refusals returns how many writes were refused because of their size.
func (s *store) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}
