//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold     = 10000                  // ms, HoldMaximumMs
	stopTime    = 100 * time.Millisecond // of a run, at most StopTimeoutMs
	heartbeat   = 1500 * time.Millisecond
	endsPerPage = 500 // ends in a response
)

// resources are what a worker has or a task needs.
type resources struct {
	Cpu             int64 //nolint:revive // spelled as on the wire
	MemoryRequestMb int64
	Gpu             int64
}

// run is a run of a task, on a worker's record too after it has ended.
type run struct {
	task    string
	number  int64
	worker  string
	born    int64
	started time.Time
	ended   time.Time // zero while it is active
	how     string
	endNo   int64     // number of its end
	noted   time.Time // when its end was taken note of; zero if it wasn't
	lapsed  bool      // the worker's lease lapsed between its end and that
	work    work
	stop    *time.Timer
}

// worker is a stand-in for one lifetime of a worker.
type worker struct {
	id, address, service, zone string
	capacity                   resources
	labels                     []string
	born                       int64
	log                        *record
	store                      *store
	server                     *http.Server
	gone                       chan struct{}

	mu       sync.Mutex
	changed  *sync.Cond
	fence    int64
	deadline int64 // end of the lease on the worker's clock, ms
	began    time.Time
	active   map[string]*run // by task and number
	finished []*run          // ends that aren't acknowledged
	ends     int64           // number of the last end
	highest  map[string]int64
}

// newWorker starts a lifetime of a worker that listens at address.
func newWorker(id, address string, capacity resources, labels []string, zone string, st *store, log *record) *worker {
	w := &worker{
		id: id, service: service, zone: zone, capacity: capacity, labels: labels, born: time.Now().UnixMilli(),
		log: log, store: st, gone: make(chan struct{}), began: time.Now(), active: map[string]*run{}, highest: map[string]int64{},
	}
	w.changed = sync.NewCond(&w.mu)
	listener := must(net.Listen("tcp", address))
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.guard(w.start))
	mux.HandleFunc("POST /run-stop", w.guard(w.stopRun))
	mux.HandleFunc("POST /hold", w.guard(w.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /pace", w.guard(func(http.ResponseWriter, *order) (int, string) { return http.StatusOK, "" }))
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	w.register()
	go w.expire()
	log.printf("worker %s up at %s, born %d, %d millicores, labels %v", id, w.address, w.born, capacity.Cpu, labels)
	return w
}

// clock returns the worker's steady clock in ms.
func (w *worker) clock() int64 { return 1000 + time.Since(w.began).Milliseconds() }

// register writes the worker's entry. The later reports change no more than Sequence, so that
// the entry stays as it is.
func (w *worker) register() {
	w.store.put("servers/"+w.id, map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Capacity": w.capacity, "Labels": w.labels, "ClockMs": w.clock(), "Sequence": 1, "born": w.born,
	})
}

// isRegistered reports whether the worker's entry is that of this lifetime.
func (w *worker) isRegistered() bool {
	var entry struct {
		Born int64 `json:"born"`
	}
	return json.Unmarshal(w.store.get("servers/"+w.id), &entry) == nil && entry.Born == w.born
}

// crash ends the lifetime: channels are reset, and nothing is remembered. After three liveness
// reports the store removes the entry, unless the worker is back.
func (w *worker) crash() {
	close(w.gone)
	time.AfterFunc(3*heartbeat, func() {
		if w.isRegistered() {
			w.store.drop("servers/" + w.id)
		}
	})
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.active {
		r.stop.Stop()
		r.ended, r.how = time.Now(), "crash"
	}
	w.active = map[string]*run{}
	w.log.printf("worker %s crashed, born %d", w.id, w.born)
	w.changed.Broadcast()
}

// expire ends all runs when the lease expires.
func (w *worker) expire() {
	for {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-w.gone:
			return
		}
		w.mu.Lock()
		if w.deadline != 0 && w.clock() > w.deadline {
			for _, r := range w.finished {
				r.lapsed = true
			}
			for _, r := range w.active {
				w.end(r, "lapsed")
			}
		}
		w.changed.Broadcast()
		w.mu.Unlock()
	}
}

// order is the body of any call of a daemon.
type order struct {
	Task          string
	Run           int64
	Specification string
	DeadlineMs    int64
	FencingToken  int64
	Observed      *int64
	WaitMs        int64
}

// guard refuses calls for another worker or with an old fencing token.
func (w *worker) guard(serve func(http.ResponseWriter, *order) (int, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var in order
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			answer(out, http.StatusBadRequest, struct{}{})
			return
		}
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
			answer(out, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		w.mu.Lock()
		if in.FencingToken < w.fence {
			w.mu.Unlock()
			answer(out, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": "fence", "born": w.born})
			return
		}
		w.fence = in.FencingToken
		status, reason := serve(out, &in)
		w.mu.Unlock()
		if status == 0 {
			return // answered
		}
		body := map[string]any{"ClockMs": w.clock(), "born": w.born}
		if reason != "" {
			body["Reason"] = reason
		}
		answer(out, status, body)
	}
}

// extend prolongs the lease, which never gets shorter.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold))
}

// start begins a run. The worker doesn't guard its capacity.
func (w *worker) start(_ http.ResponseWriter, in *order) (int, string) {
	key := in.Task + "#" + strconv.FormatInt(in.Run, 10)
	if _, ok := w.active[key]; ok {
		return http.StatusOK, ""
	}
	if in.DeadlineMs <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(in.DeadlineMs)
	if in.Run <= w.highest[in.Task] {
		return http.StatusConflict, "old"
	}
	spec := parseWork(in.Specification)
	r := &run{task: in.Task, number: in.Run, worker: w.id, born: w.born, started: time.Now(), work: spec}
	w.active[key] = r
	w.log.started(w, r, in)
	r.stop = time.AfterFunc(spec.length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, spec.how)
	})
	return http.StatusOK, ""
}

// end lists the end of a run. The caller holds w.mu.
func (w *worker) end(r *run, how string) {
	key := r.task + "#" + strconv.FormatInt(r.number, 10)
	if w.active[key] != r {
		return
	}
	delete(w.active, key)
	r.stop.Stop()
	w.ends++
	r.ended, r.how, r.endNo = time.Now(), how, w.ends
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.finished = append(w.finished, r)
	w.changed.Broadcast()
}

func (w *worker) stopRun(_ http.ResponseWriter, in *order) (int, string) {
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	if r := w.active[in.Task+"#"+strconv.FormatInt(in.Run, 10)]; r != nil {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	return http.StatusOK, ""
}

// hold prolongs the lease, forgets acknowledged ends and returns both lists.
func (w *worker) hold(out http.ResponseWriter, in *order) (int, string) {
	if in.DeadlineMs != 0 {
		w.extend(in.DeadlineMs)
	}
	if in.Observed != nil {
		kept := w.finished[:0:0]
		for _, r := range w.finished {
			if r.endNo > *in.Observed {
				kept = append(kept, r)
			} else {
				r.noted = time.Now()
			}
		}
		w.finished = kept
	}
	until := time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond)
	for len(w.finished) == 0 && time.Now().Before(until) && !w.hasCrashed() {
		w.changed.Wait()
	}
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.active {
		active = append(active, []any{r.task, r.number, "", r.percent(), float64(r.work.cpu)})
	}
	for _, r := range w.finished[:min(len(w.finished), endsPerPage)] {
		finished = append(finished, []any{r.endNo, r.task, r.number, r.how, ""})
	}
	body := map[string]any{"ClockMs": w.clock(), "born": w.born, "Active": active, "Finished": finished}
	w.mu.Unlock()
	answer(out, http.StatusOK, body)
	w.mu.Lock()
	return 0, ""
}

func (w *worker) hasCrashed() bool {
	select {
	case <-w.gone:
		return true
	default:
		return false
	}
}

// startup is how long a task that lasts takes until it is at work.
const startup = 300 * time.Millisecond

// percent returns how much of the run is done; 100 for a task that lasts and is at work.
func (r *run) percent() int {
	whole := r.work.length
	if r.work.lasts {
		whole = startup
	}
	return int(min(100, 100*time.Since(r.started)/max(whole, time.Millisecond)))
}

// work is what the tasks of a job do, as its specification says.
type work struct {
	cpu    int64         // millicores
	length time.Duration // of a run, unless it is stopped before
	how    string        // outcome
	lasts  bool          // at work from startup on, without an end of its work
}

// specification returns the text that parseWork reads.
func (k work) specification() string {
	return fmt.Sprintf("cpu %d ms %d how %s lasts %t", k.cpu, k.length.Milliseconds(), k.how, k.lasts)
}

func parseWork(text string) work {
	f := strings.Fields(text)
	cpu, _ := strconv.ParseInt(f[1], 10, 64)
	ms, _ := strconv.ParseInt(f[3], 10, 64)
	return work{cpu: cpu, length: time.Duration(ms) * time.Millisecond, how: f[5], lasts: f[7] == "true"}
}
