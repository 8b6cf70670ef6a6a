package soaker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

const (
	storeDelay = 4 * time.Millisecond  // time that the store takes for a call
	leaseCheck = 20 * time.Millisecond // interval between checks for expired leases
	pageSize   = 500                   // items in one page of a list
	minTTL     = time.Second
)

// item is a key of the store, or a change of it, as it is sent.
type item struct {
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

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's key-value store. It keeps its whole history. Each
// daemon calls it at an address of its own, see view.
type store struct {
	closing chan struct{}

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	lastLease int64
}

func newStore() *store {
	s := &store{
		closing: make(chan struct{}), changed: make(chan struct{}),
		items: make(map[string]item), leases: make(map[int64]*lease), revision: 100, lastLease: 7000,
	}
	go func() {
		ticker := time.NewTicker(leaseCheck)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.expireLeases()
			case <-s.closing:
				return
			}
		}
	}()
	return s
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds the lock, as for record and
// remove.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created, Lease: lease}
	if it.Created == 0 {
		it.Created = s.revision
	}
	s.items[key] = it
	s.record(it)
}

// put writes a key for an operator or a worker.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only plain structs are written
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
}

// drop removes a key for a worker.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// owners returns the values of the records of shard owners.
func (s *store) owners() (out [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, it := range s.items {
		if strings.HasPrefix(key, "view/owner/") {
			out = append(out, it.Value)
		}
	}
	slices.SortFunc(out, bytes.Compare)
	return out
}

// refusal says how the store treats a daemon.
type refusal int32

const (
	served      refusal = iota
	unavailable         // calls get status 503
	silent              // calls get no response and have no effect
)

// view is the store as one daemon reaches it. In it the address of each worker is the one at
// which the daemon's region reaches that worker.
type view struct {
	address  string
	store    *store
	addr     *strings.Replacer
	refusal  atomic.Int32
	listener *listener.Listener
}

// newView serves the store on address.
func newView(address string, s *store, addresses *strings.Replacer) (*view, error) {
	v := &view{store: s, addr: addresses}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", v.get)
	mux.HandleFunc("GET /kv-range", v.list)
	mux.HandleFunc("GET /kv-watch", v.watch)
	mux.HandleFunc("POST /kv-txn", v.commit)
	mux.HandleFunc("POST /kv-lease", v.grant)
	mux.HandleFunc("POST /kv-keep/{id}", v.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", v.endLease)
	l, err := listener.New(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		if v.admits(w, r) {
			mux.ServeHTTP(w, r)
		}
	}))
	if err != nil {
		return nil, err
	}
	v.listener, v.address = l, l.Address
	return v, nil
}

// admits reports whether the daemon is served, and refuses the call if it isn't.
func (v *view) admits(w http.ResponseWriter, r *http.Request) bool {
	switch refusal(v.refusal.Load()) {
	case unavailable:
		respond(w, http.StatusServiceUnavailable, struct{}{})
		return false
	case silent:
		<-r.Context().Done()
		return false
	}
	return true
}

// translate returns an item as the daemon sees it.
func (v *view) translate(it item) item {
	if strings.HasPrefix(it.Key, "servers/") {
		it.Value = []byte(v.addr.Replace(string(it.Value)))
	}
	return it
}

func (v *view) get(w http.ResponseWriter, r *http.Request) {
	v.store.mu.Lock()
	it, ok := v.store.items[r.URL.Query().Get("Key")]
	at := v.store.revision
	v.store.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, map[string]int64{"At": at})
		return
	}
	respond(w, http.StatusOK, struct {
		item
		At int64
	}{v.translate(it), at})
}

func (v *view) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	found := []item{}
	v.store.mu.Lock()
	for key, it := range v.store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, v.translate(it))
		}
	}
	at := v.store.revision
	v.store.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(found) > pageSize
	respond(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageSize)], "HasMore": hasMore, "At": at})
}

func (v *view) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		found, at, changed := v.store.changesAfter(after, q.Get("Prefix"))
		if len(found) > 0 || isOver {
			for i := range found {
				found[i] = v.translate(found[i])
			}
			if v.admits(w, r) {
				respond(w, http.StatusOK, map[string]any{"events": found, "At": at})
			}
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

// changesAfter returns the changes below a prefix after a revision, the current revision, and
// a channel that is closed at the next change.
func (s *store) changesAfter(after int64, prefix string) ([]item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, it := range s.history[from:] {
		if strings.HasPrefix(it.Key, prefix) {
			found = append(found, it)
		}
	}
	return found, s.revision, s.changed
}

func (v *view) commit(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	status, body := v.store.apply(&tx)
	respond(w, status, body)
}

// apply carries out a transaction if its conditions hold, and returns the response.
func (s *store) apply(tx *transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.ExpectedRevision {
		if s.items[c.Key].Revision == c.Revision {
			continue
		}
		current := []item{}
		for _, c := range tx.ExpectedRevision {
			if it, ok := s.items[c.Key]; ok {
				current = append(current, it)
			}
		}
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range tx.Write {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, p := range tx.Write {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range tx.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]int64{"Revision": s.revision}
}

func (v *view) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 } //nolint:revive // spelled as on the wire
	_ = json.NewDecoder(r.Body).Decode(&in)
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := max(time.Duration(in.TtlMs)*time.Millisecond, minTTL)
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]int64{"Lease": s.lastLease, "TtlMs": ttl.Milliseconds()})
}

func (v *view) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
}

func (v *view) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	v.store.mu.Lock()
	v.store.endLease(id)
	v.store.mu.Unlock()
	respond(w, http.StatusOK, struct{}{})
}

// respond sends a response with a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the daemon may have left
}
