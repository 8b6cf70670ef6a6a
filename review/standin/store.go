//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it is sent.
type item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	Lease    int64
}

// change is an event of a watch.
type change struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64 `json:",omitempty"`
	Deleted  bool  `json:",omitempty"`
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

// store is a stand-in for the platform's key-value store. It keeps all of its history.
type store struct {
	address string
	server  *http.Server

	// lose says what becomes of a write that a daemon sends: lost is true if it isn't
	// answered, and it is carried out after delay. nil: nothing is lost.
	lose func(tx *transaction) (lost bool, delay time.Duration)

	mu       sync.Mutex
	changed  *sync.Cond
	down     bool // the store doesn't answer daemons
	revision int64
	items    map[string]item
	history  []change
	leases   map[int64]time.Time // end of each lease
	ttls     map[int64]time.Duration
	last     int64 // id of the last lease
}

func newStore(ip string) *store {
	s := &store{items: map[string]item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, revision: 100, last: 70000}
	s.changed = sync.NewCond(&s.mu)
	listener := must(net.Listen("tcp", ip+":0"))
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond) // as the platform's store
		if s.isDown() {
			<-r.Context().Done() // no answer, and nothing is done
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	go s.tick()
	return s
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes the store silent for daemons, or ends that. Leases pause meanwhile.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		for id, ttl := range s.ttls {
			if _, ok := s.leases[id]; ok {
				s.leases[id] = time.Now().Add(ttl)
			}
		}
	}
	s.changed.Broadcast()
}

// tick ends leases, and wakes waiting watches so that they see the end of their time.
func (s *store) tick() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, end := range s.leases {
			if !s.down && time.Now().After(end) {
				s.dropLease(id)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, change{Key: key, Revision: s.revision, Deleted: true})
	s.changed.Broadcast()
}

func (s *store) set(key string, value []byte, lease int64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, change{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease})
	s.changed.Broadcast()
}

// put writes a key for the operator or a worker.
func (s *store) put(key string, value any) {
	data := must(json.Marshal(value))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
}

// drop removes a key for a worker.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// get returns the value of a key, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"At": at})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At int64
	}{it, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	var found []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	answer(w, http.StatusOK, map[string]any{"items": nonNil(found), "HasMore": more, "At": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	var found []change
	for {
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, c := range s.history[from:] {
			if strings.HasPrefix(c.Key, q.Get("Prefix")) {
				found = append(found, c)
			}
		}
		if len(found) > 0 && !s.down || r.Context().Err() != nil || !s.down && time.Now().After(end) {
			break
		}
		found = nil
		s.changed.Wait()
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"events": nonNil(found), "At": at})
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	if s.lose != nil {
		if lost, delay := s.lose(&tx); lost {
			time.AfterFunc(delay, func() { s.apply(&tx) })
			<-r.Context().Done() // the connection carries nothing any more
			return
		}
	}
	status, body := s.apply(&tx)
	answer(w, status, body)
}

// apply carries out a transaction if its conditions hold.
func (s *store) apply(tx *transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.ExpectedRevision {
		if s.items[c.Key].Revision != c.Revision {
			var now []item
			for _, c := range tx.ExpectedRevision {
				if it, ok := s.items[c.Key]; ok {
					now = append(now, it)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": nonNil(now)}
		}
	}
	for _, p := range tx.Write {
		if len(p.Value) > 1<<20 || len(p.Key) > 200 {
			return http.StatusBadRequest, struct{}{}
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	revision := s.revision
	for _, p := range tx.Write {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range tx.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"Revision": revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 } //nolint:revive // spelled as on the wire
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	s.last++
	id, ttl := s.last, time.Duration(max(in.TtlMs, 1000))*time.Millisecond
	s.leases[id], s.ttls[id] = time.Now().Add(ttl), ttl
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.leases[id] = time.Now().Add(s.ttls[id])
	}
	ttl := s.ttls[id]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"TtlMs": ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.dropLease(id)
	s.mu.Unlock()
	answer(w, http.StatusOK, struct{}{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// nonNil makes an empty list be sent as [].
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
