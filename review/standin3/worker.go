//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
)

// Properties of the workers.
const (
	serviceName        = "pool-1"
	heartbeat          = 1500 * time.Millisecond
	missedBeats        = 3 // after which the store removes a registration
	clockStart         = 1000
	endsPerPage        = 500
	maxPollWait        = 2 * time.Second
	maxLease           = 10 * time.Second // HoldMaximumMs
	stopTime           = 200 * time.Millisecond
	gangTimeout        = 3 * time.Second // GangTimeoutMs
	checkpointInterval = time.Second     // CheckpointIntervalS
	restoreTime        = 100 * time.Millisecond
	startupTime        = 300 * time.Millisecond // of a task that lasts
	drainTime          = 4 * time.Second        // from draining until the worker leaves; DrainMs is 3,000
	leaseInterval      = 10 * time.Millisecond
)

// worker is a stand-in for a worker, in all its lifetimes.
type worker struct {
	d                    *deployment
	id, zone, rack, host string
	cpu, memory          int64
	address              string // of its own server
	registered           string // at which the entry hosts reach it
	isFar                bool   // it is in the other region

	mu         sync.Mutex // guards the fields below
	server     *server
	life       *lifetime // nil while the worker is down
	isDraining bool
	sequence   int64
}

// lifetime is one lifetime of a worker. It is guarded by the worker's lock.
type lifetime struct {
	worker   *worker
	born     int64 // Unix milliseconds
	began    time.Time
	gone     chan struct{}
	changed  chan struct{} // closed and replaced at each end of a run
	token    int64
	leaseEnd int64 // ms by its clock; 0 before the first lease
	active   map[string]*run
	finished []*run
	lastEnd  int64
	highest  map[string]int64 // highest run stopped or ended, by task
}

// run is a run of a task.
type run struct {
	task    string
	number  int64
	life    *lifetime
	plan    plan
	step    *step
	token   int64     // of the order that started it
	noted   time.Time // when it was started
	beside  *run      // another run of the task that was at work at the same time
	saved   string    // checkpoint
	resumed time.Duration
	began   time.Time // when it began to work; zero while a member of a gang waits
	timer   *time.Timer
	gang    *gang
	end     int64
	outcome string
}

// order is the body of any call of the system.
type order struct {
	Task          string
	Run           int64
	Specification string
	DeadlineMs    int64
	FencingToken  int64
	Checkpoint    string
	Observed      *int64
	WaitMs        int64
}

// start begins a lifetime and registers the worker.
func (w *worker) start() error {
	w.mu.Lock()
	l := &lifetime{
		worker: w, born: time.Now().UnixMilli(), began: time.Now(), gone: make(chan struct{}), changed: make(chan struct{}),
		active: make(map[string]*run), highest: make(map[string]int64),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", l.serve(l.start))
	mux.HandleFunc("POST /run-stop", l.serve(l.stop))
	mux.HandleFunc("POST /pace", l.serve(func(*order) string { return "" }))
	mux.HandleFunc("POST /hold", l.serve(nil))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	if w.address == "" {
		w.address = freeLoopback()
	}
	var err error
	handshake := time.Duration(0)
	if w.isFar {
		handshake = farDelay // the relay has delayed the connection by the other half of a round trip
	}
	if w.server, err = serve(w.address, mux, handshake); err != nil {
		w.mu.Unlock()
		return err
	}
	w.address, w.life = w.server.address, l
	if w.registered == "" {
		w.registered = w.address
		if w.isFar {
			w.registered, err = w.d.relay(w.address, delayer.NewLink(farDelay, 0))
		}
	}
	w.mu.Unlock()
	if err != nil {
		return err
	}
	go l.expire()
	go l.beat()
	return nil
}

// register writes the worker's registration.
func (w *worker) register(l *lifetime) {
	w.mu.Lock()
	if w.life != l {
		w.mu.Unlock()
		return
	}
	w.sequence++
	value := map[string]any{
		"Service": serviceName, "Address": w.registered, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": map[string]int64{"Cpu": w.cpu, "MemoryRequestMb": w.memory, "Gpu": 0},
		"Labels":   []string{"a", w.rack}, "HostMachine": w.host, "ClockMs": l.clock(), "Sequence": w.sequence, "born": l.born,
	}
	if w.isDraining {
		value["State"], value["RemainingMs"] = "draining", drainTime.Milliseconds()
	}
	w.mu.Unlock()
	w.d.store.put("servers/"+w.id, value)
}

// beat registers the worker at intervals.
func (l *lifetime) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		l.worker.register(l)
		select {
		case <-ticker.C:
		case <-l.gone:
			return
		}
	}
}

// crash ends the lifetime and all its runs. The registration stays for missedBeats intervals, unless
// the worker is back by then.
func (w *worker) crash() {
	w.d.record.printf("worker %s crashes", w.id)
	w.end()
	time.AfterFunc(missedBeats*heartbeat, func() {
		w.mu.Lock()
		isDown := w.life == nil
		w.mu.Unlock()
		if isDown {
			w.d.store.remove("servers/" + w.id)
		}
	})
}

// leave drains the worker and ends it.
func (w *worker) leave() {
	w.mu.Lock()
	w.isDraining = true
	l := w.life
	w.mu.Unlock()
	w.d.record.printf("worker %s drains", w.id)
	w.register(l)
	time.Sleep(drainTime)
	w.d.record.printf("worker %s leaves", w.id)
	w.end()
	w.d.store.remove("servers/" + w.id)
}

// end ends the lifetime and all its runs.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.life
	if l == nil {
		return
	}
	w.life = nil
	close(l.gone)
	_ = w.server.http.Close()
	for _, r := range l.active {
		r.timer.Stop()
		r.outcome = "lost"
		l.worker.d.noteEnd(r)
	}
	clear(l.active)
}

// free returns what the runs on the worker leave, and whether it is up and doesn't drain.
func (w *worker) free() (cpu, memory int64, isUp bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil || w.isDraining {
		return 0, 0, false
	}
	cpu, memory = w.cpu, w.memory
	for _, r := range w.life.active {
		cpu -= r.step.Cpu
		memory -= r.step.MemoryRequestMb
	}
	return cpu, memory, true
}

func (l *lifetime) clock() int64 { return clockStart + time.Since(l.began).Milliseconds() }

func (l *lifetime) hasEnded() bool {
	select {
	case <-l.gone:
		return true
	default:
		return false
	}
}

// expire ends all runs when the lease ends.
func (l *lifetime) expire() {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.gone:
			return
		}
		l.worker.mu.Lock()
		if l.leaseEnd != 0 && l.clock() > l.leaseEnd {
			for _, r := range l.active {
				l.endRun(r, "lapsed")
			}
		}
		l.worker.mu.Unlock()
	}
}

// serve returns the handler of one kind of order; without a function it is /hold.
func (l *lifetime) serve(execute func(*order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in order
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			respond(w, http.StatusBadRequest, struct{}{})
			return
		}
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != l.worker.id {
			respond(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		l.worker.mu.Lock()
		if l.hasEnded() {
			l.worker.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		var reason string
		switch {
		case in.FencingToken < l.token:
			reason = "fence"
		case execute != nil:
			l.token = in.FencingToken
			reason = execute(&in)
		default:
			l.token = in.FencingToken
			l.extend(in.DeadlineMs)
			l.acknowledge(in.Observed)
			l.worker.mu.Unlock()
			l.poll(w, r, &in)
			return
		}
		l.worker.mu.Unlock()
		body, status := map[string]any{"ClockMs": l.clock(), "born": l.born}, http.StatusOK
		if reason != "" {
			body["Reason"], status = reason, http.StatusConflict
		}
		respond(w, status, body)
	}
}

// extend prolongs the lease, which never gets shorter. The caller holds the lock, as for all below
// but the poll.
func (l *lifetime) extend(leaseEnd int64) {
	l.leaseEnd = max(l.leaseEnd, min(leaseEnd, l.clock()+maxLease.Milliseconds()))
}

// start starts a run, and returns why if it doesn't.
func (l *lifetime) start(in *order) string {
	key := runKey(in.Task, in.Run)
	if l.active[key] != nil {
		return ""
	}
	if in.DeadlineMs <= l.clock() {
		return "late"
	}
	l.extend(in.DeadlineMs)
	if in.Run <= l.highest[in.Task] {
		l.worker.d.noteRefusal(l.worker, in, "old")
		return "old"
	}
	r := &run{task: in.Task, number: in.Run, life: l, saved: in.Checkpoint}
	l.active[key] = r
	l.worker.d.noteStart(r, in)
	return ""
}

// work makes the run work for a time, until it ends.
func (r *run) work(length time.Duration) {
	r.began = time.Now()
	r.timer = time.AfterFunc(length, func() { r.life.endLater(r, r.plan.outcome) })
}

func (l *lifetime) stop(in *order) string {
	l.highest[in.Task] = max(l.highest[in.Task], in.Run)
	if r := l.active[runKey(in.Task, in.Run)]; r != nil {
		time.AfterFunc(stopTime, func() { l.endLater(r, "stopped") })
	}
	return ""
}

func (l *lifetime) endLater(r *run, outcome string) {
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	l.endRun(r, outcome)
}

// endRun lists the end of a run, if it is active.
func (l *lifetime) endRun(r *run, outcome string) {
	if l.active[runKey(r.task, r.number)] != r {
		return
	}
	r.checkpoint()
	delete(l.active, runKey(r.task, r.number))
	r.timer.Stop()
	l.lastEnd++
	r.end, r.outcome = l.lastEnd, outcome
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.finished = append(l.finished, r)
	l.worker.d.noteEnd(r)
	close(l.changed)
	l.changed = make(chan struct{})
}

// acknowledge forgets the ends up to a number.
func (l *lifetime) acknowledge(number *int64) {
	for number != nil && len(l.finished) > 0 && l.finished[0].end <= *number {
		l.worker.d.noteObserved(l.finished[0])
		l.finished = l.finished[1:]
	}
}

// poll responds with both lists, at once if there are ends.
func (l *lifetime) poll(w http.ResponseWriter, r *http.Request, in *order) {
	timeout := time.After(min(time.Duration(in.WaitMs)*time.Millisecond, maxPollWait))
	for isOver := in.WaitMs == 0; ; {
		l.worker.mu.Lock()
		changed := l.changed
		if isOver || len(l.finished) > 0 {
			body := l.lists()
			l.worker.mu.Unlock()
			respond(w, http.StatusOK, body)
			return
		}
		l.worker.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-l.gone:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (l *lifetime) lists() map[string]any {
	active, finished := [][]any{}, [][]any{}
	for _, r := range l.active {
		r.checkpoint()
		active = append(active, []any{r.task, r.number, r.saved, r.progress(), 0})
	}
	for _, r := range l.finished[:min(len(l.finished), endsPerPage)] {
		finished = append(finished, []any{r.end, r.task, r.number, r.outcome, r.saved})
	}
	return map[string]any{"ClockMs": l.clock(), "born": l.born, "Active": active, "Finished": finished}
}

// checkpoint updates the run's checkpoint: the milliseconds of work that are done, in full intervals.
func (r *run) checkpoint() {
	if !r.plan.saves || r.began.IsZero() {
		return
	}
	done := (r.resumed + time.Since(r.began)).Truncate(checkpointInterval)
	if done > r.resumed {
		r.saved = fmt.Sprintf("%08x%s", done.Milliseconds(), r.task[:8])
	}
}

// progress returns how much of the run is done, in percent.
func (r *run) progress() int {
	if r.began.IsZero() {
		return 0
	}
	whole := r.plan.length
	if r.plan.lasts {
		whole = startupTime
	}
	return int(min(100, 100*(r.resumed+time.Since(r.began))/max(whole, time.Millisecond)))
}

func runKey(task string, number int64) string { return fmt.Sprintf("%s#%d", task, number) }
