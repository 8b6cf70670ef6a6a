//go:build review2

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

// Bounds of the deployment, as in the small site files.
const (
	holdMaximum  = 10 * time.Second
	stopTimeout  = 400 * time.Millisecond
	stopTime     = 150 * time.Millisecond
	gangTimeout  = 3 * time.Second
	saveInterval = time.Second
	restoreTime  = 100 * time.Millisecond
	startupTime  = 300 * time.Millisecond
	beat         = 1100 * time.Millisecond
	endsPerPage  = 500
	workersPool  = "desk"
)

// taskID is the parsed name of a task.
type taskID struct {
	job                     string
	occurrence, step, index int
}

func parseTask(text string) (taskID, error) {
	p := strings.Split(text, ".")
	if len(p) != 4 {
		return taskID{}, fmt.Errorf("task %q", text)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil {
			return taskID{}, err
		}
		n[i] = v
	}
	return taskID{p[0], n[0], n[1], n[2]}, nil
}

// run is a run of a task on a worker. The fleet's lock guards it.
type run struct {
	name       string
	id         taskID
	number     int64
	worker     *life
	token      int64
	step       *step
	checkpoint string
	resumed    time.Duration // work that the checkpoint had
	started    time.Time     // when it was started
	working    time.Time     // since when it works; zero while a gang waits
	ended      time.Time
	how        string
	endNumber  int64
	noted      time.Time // when its end was taken note of
	lapsed     bool      // the lease ended between its end and that
	timers     []*time.Timer
}

// life is one lifetime of a worker.
type life struct {
	fleet    *fleet
	slot     *slot
	born     int64
	began    time.Time
	token    int64
	leaseEnd int64
	active   map[string]*run // by task
	finished []*run
	lastEnd  int64
	highest  map[string]int64
	over     bool
	changed  chan struct{}
	server   *http.Server
	listener net.Listener
}

// slot is a worker's place: its id, address and rack.
type slot struct {
	id, address, zone, rack string
	life                    *life
	draining                bool
	sequence                int
}

// fleet is all workers and the record of what ran.
type fleet struct {
	record *record
	store  *store
	jobs   *book

	mu    sync.Mutex
	slots []*slot
	runs  map[string][]*run // by task
	gangs map[string][]*run // by step id and run number
	given map[string]bool   // checkpoints, by step id of gangs or task, and value

	starts, ends int
	lateUntil    time.Time            // until then some orders are carried out late
	tickets      map[string]time.Time // until when a ticket is valid, by step, worker, life and text
	onStart      func(*run)
}

func newFleet(r *record, s *store, b *book, workers int, zones []string) *fleet {
	f := &fleet{record: r, store: s, jobs: b, runs: map[string][]*run{}, gangs: map[string][]*run{}, given: map[string]bool{}, tickets: map[string]time.Time{}}
	for i := range workers {
		l := listen("127.0.0.1:0")
		sl := &slot{id: fmt.Sprintf("i-%08x", 0x562690d2+i*7919), address: l.Addr().String(), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones), i/len(zones)/4)}
		_ = l.Close()
		f.slots = append(f.slots, sl)
		f.start(sl)
	}
	go func() {
		for range time.Tick(beat) {
			f.mu.Lock()
			for _, sl := range f.slots {
				if sl.life != nil {
					f.register(sl)
				}
			}
			f.mu.Unlock()
		}
	}()
	return f
}

const (
	workerCPU    = 64000
	workerMemory = 256000
)

// register writes the worker's entry. The caller holds the lock.
func (f *fleet) register(sl *slot) {
	state := "ready"
	if sl.draining {
		state = "draining"
	}
	sl.sequence++
	f.store.put("servers/"+sl.id, map[string]any{
		"Service": workersPool, "Address": sl.address, "Zone": sl.zone, "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Sequence": sl.sequence, "HostMachine": "m-" + sl.id,
		"Capacity": map[string]int{"Cpu": workerCPU, "MemoryRequestMb": workerMemory, "Gpu": 0},
		"Labels":   []string{"a", sl.rack}, "ClockMs": sl.life.clock(), "born": sl.life.born,
	})
}

// start begins a lifetime of a worker.
func (f *fleet) start(sl *slot) {
	l := &life{fleet: f, slot: sl, born: time.Now().UnixMilli(), began: time.Now(), active: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", l.serve(l.startRun))
	mux.HandleFunc("POST /run-stop", l.serve(l.stopRun))
	mux.HandleFunc("POST /pace", l.serve(func(*order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", l.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	l.listener = listen(sl.address)
	l.server = &http.Server{Handler: mux}
	go func() { _ = l.server.Serve(l.listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	sl.life, sl.draining = l, false
	f.register(sl)
	go l.expire()
}

// crash ends a lifetime, with all that runs.
func (f *fleet) crash(sl *slot) {
	f.mu.Lock()
	l := sl.life
	if l == nil {
		f.mu.Unlock()
		return
	}
	sl.life, l.over = nil, true
	f.record.printf("worker %s crashes", sl.id)
	for _, r := range l.active {
		r.end("crash")
	}
	l.notify()
	f.mu.Unlock()
	_ = l.server.Close()
	time.AfterFunc(3*beat, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if sl.life == nil {
			f.store.drop("servers/" + sl.id)
		}
	})
}

func (l *life) clock() int64 { return 1000 + time.Since(l.began).Milliseconds() }

// notify wakes polls. The caller holds the lock.
func (l *life) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// expire ends all runs when the lease has ended.
func (l *life) expire() {
	for range time.Tick(10 * time.Millisecond) {
		l.fleet.mu.Lock()
		if l.over {
			l.fleet.mu.Unlock()
			return
		}
		if l.leaseEnd != 0 && l.clock() > l.leaseEnd {
			for _, r := range l.finished {
				r.lapsed = true
			}
			for _, r := range l.active {
				r.end("lapsed")
			}
		}
		l.fleet.mu.Unlock()
	}
}

// order is the body of a call.
type order struct {
	Task          string
	Run           int64
	Specification string
	DeadlineMs    int64
	FencingToken  int64
	Checkpoint    string
	Ticket        string
	Observed      *int64
	WaitMs        int64
}

// admit decodes a call and checks its addressee and fencing token. On success it holds the lock.
func (l *life) admit(w http.ResponseWriter, r *http.Request) (*order, bool) {
	var in order
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return nil, false
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != l.slot.id {
		respond(w, http.StatusMisdirectedRequest, struct{}{})
		return nil, false
	}
	l.fleet.mu.Lock()
	if l.over {
		l.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if in.FencingToken < l.token {
		l.fleet.mu.Unlock()
		respond(w, http.StatusConflict, map[string]any{"ClockMs": l.clock(), "Reason": "fence", "born": l.born})
		return nil, false
	}
	l.token = in.FencingToken
	return &in, true
}

func (l *life) extend(deadline int64) {
	l.leaseEnd = max(l.leaseEnd, min(deadline, l.clock()+holdMaximum.Milliseconds()))
}

func (l *life) serve(call func(*order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in, ok := l.admit(w, r)
		if !ok {
			return
		}
		status, reason := call(in)
		body := map[string]any{"ClockMs": l.clock(), "born": l.born}
		l.fleet.mu.Unlock()
		if reason != "" {
			body["Reason"] = reason
		}
		respond(w, status, body)
	}
}

func (l *life) startRun(in *order) (int, string) {
	f := l.fleet
	if r := l.active[in.Task]; r != nil && r.number == in.Run {
		return http.StatusOK, ""
	}
	id, err := parseTask(in.Task)
	if err != nil || in.Run < 1 {
		return http.StatusBadRequest, ""
	}
	if in.DeadlineMs <= l.clock() {
		return http.StatusConflict, "late"
	}
	l.extend(in.DeadlineMs)
	if in.Run <= l.highest[in.Task] || l.active[in.Task] != nil {
		return http.StatusConflict, "old"
	}
	if !f.ticketIsValid(in, id, l) {
		f.record.printf("worker %s refuses %s#%d: ticket", l.slot.id, in.Task, in.Run)
		return http.StatusConflict, "ticket"
	}
	f.begin(l, in, id)
	return http.StatusOK, ""
}

// begin starts a run and checks the rules. The caller holds the lock, as for what follows.
func (f *fleet) begin(l *life, in *order, id taskID) {
	r := &run{name: in.Task, id: id, number: in.Run, worker: l, token: in.FencingToken, checkpoint: in.Checkpoint, started: time.Now()}
	r.step = f.jobs.check(f, r, in)
	l.active[in.Task] = r
	f.runs[in.Task] = append(f.runs[in.Task], r)
	f.starts++
	if r.step == nil {
		return
	}
	r.resumed = savedWork(in.Checkpoint)
	if r.step.Gang {
		f.joinGang(r)
	} else {
		r.work()
	}
	if f.onStart != nil {
		f.onStart(r)
	}
}

// joinGang makes a run wait for the others of its gang, which work together from the moment when
// all of one run are present that carry the same checkpoint.
func (f *fleet) joinGang(r *run) {
	key := fmt.Sprintf("%s.%d.%d#%d", r.id.job, r.id.occurrence, r.id.step, r.number)
	f.gangs[key] = append(f.gangs[key], r)
	present := 0
	for _, m := range f.gangs[key] {
		if m.ended.IsZero() && m.checkpoint == r.checkpoint {
			present++
		}
	}
	if present == r.step.Count {
		for _, m := range f.gangs[key] {
			m.work()
		}
		return
	}
	r.after(gangTimeout, func() {
		if r.working.IsZero() {
			r.end("alone")
		}
	})
}

// members returns the runs of the run's gang that haven't ended, itself included.
func (r *run) members() []*run {
	if !r.step.Gang {
		return []*run{r}
	}
	var out []*run
	for _, m := range r.worker.fleet.gangs[fmt.Sprintf("%s.%d.%d#%d", r.id.job, r.id.occurrence, r.id.step, r.number)] {
		if m.ended.IsZero() && !m.working.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// after calls do later unless the run has ended by then.
func (r *run) after(d time.Duration, do func()) {
	f := r.worker.fleet
	r.timers = append(r.timers, time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.ended.IsZero() {
			do()
		}
	}))
}

// work makes the run work until its end.
func (r *run) work() {
	r.working = time.Now()
	if r.step.Persistent {
		return
	}
	length := r.step.length - r.resumed
	if r.checkpoint != "" {
		length += restoreTime
	}
	if r.fails() {
		r.after(min(length, r.step.failAfter), func() { r.end("failed") })
		return
	}
	r.after(max(length, 0), func() { r.end("done") })
}

// fails reports whether the run fails by its own fault.
func (r *run) fails() bool {
	if r.id.index >= r.step.failing {
		return false
	}
	n := 0
	for _, other := range r.worker.fleet.runs[r.name] {
		if other.how == "failed" {
			n++
		}
	}
	return n < r.step.failures
}

// done returns how much of its work the run has done.
func (r *run) done() time.Duration {
	if r.working.IsZero() {
		return r.resumed
	}
	at := r.ended
	if at.IsZero() {
		at = time.Now()
	}
	d := at.Sub(r.working)
	if r.checkpoint != "" {
		d = max(d-restoreTime, 0)
	}
	return r.resumed + d
}

// saved returns the run's last checkpoint. A new one is made with each saveInterval of work, and at a stop.
func (r *run) saved() string {
	if r.step == nil || !r.step.Checkpointing {
		return ""
	}
	done := r.done()
	if r.how != "stopped" {
		done = done / saveInterval * saveInterval
	}
	if done <= r.resumed {
		return r.checkpoint
	}
	value := fmt.Sprintf("%08x%08x", done.Milliseconds(), r.id.step)
	r.worker.fleet.given[r.owner()+value] = true
	return value
}

// owner returns what a checkpoint belongs to.
func (r *run) owner() string {
	if r.step.Gang {
		return fmt.Sprintf("%s.%d.%d/", r.id.job, r.id.occurrence, r.id.step)
	}
	return r.name + "/"
}

func savedWork(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	n, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
	return time.Duration(n) * time.Millisecond
}

// end ends the run. If it isn't done, the others of its gang are broken.
func (r *run) end(how string) {
	if !r.ended.IsZero() {
		return
	}
	var others []*run
	if r.step != nil && r.step.Gang && !r.working.IsZero() {
		others = r.members()
	}
	r.ended, r.how = time.Now(), how
	for _, t := range r.timers {
		t.Stop()
	}
	l, f := r.worker, r.worker.fleet
	delete(l.active, r.name)
	l.highest[r.name] = max(l.highest[r.name], r.number)
	f.ends++
	if how != "crash" {
		l.lastEnd++
		r.endNumber = l.lastEnd
		l.finished = append(l.finished, r)
		l.notify()
	}
	f.record.printf("worker %s: end of %s#%d, %s, saved %q", l.slot.id, r.name, r.number, how, r.saved())
	if how == "alone" {
		f.jobs.alone(f, r)
	}
	for _, m := range others {
		if how == "done" {
			m.end("done")
		} else if m != r {
			m.end("broken")
		}
	}
}

func (l *life) stopRun(in *order) (int, string) {
	l.highest[in.Task] = max(l.highest[in.Task], in.Run)
	if r := l.active[in.Task]; r != nil && r.number <= in.Run {
		l.fleet.record.printf("worker %s: stop of %s#%d by token %d", l.slot.id, in.Task, in.Run, in.FencingToken)
		r.after(stopTime, func() { r.end("stopped") })
	}
	return http.StatusOK, ""
}

// hold renews the lease, forgets ends and returns both lists, at once if there are ends.
func (l *life) hold(w http.ResponseWriter, r *http.Request) {
	in, ok := l.admit(w, r)
	if !ok {
		return
	}
	f := l.fleet
	l.extend(in.DeadlineMs)
	for in.Observed != nil && len(l.finished) > 0 && l.finished[0].endNumber <= *in.Observed {
		l.finished[0].noted = time.Now()
		l.finished = l.finished[1:]
	}
	timeout := time.After(min(time.Duration(in.WaitMs)*time.Millisecond, 2*time.Second))
	for over := in.WaitMs == 0; ; {
		if l.over {
			f.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if over || len(l.finished) > 0 {
			body := l.inventory()
			f.mu.Unlock()
			respond(w, http.StatusOK, body)
			return
		}
		changed := l.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
	}
}

// inventory returns both lists.
func (l *life) inventory() map[string]any {
	active, finished := [][]any{}, [][]any{}
	for _, r := range l.active {
		percent := 0
		if r.step != nil {
			percent = int(min(100, 100*r.done()/max(r.step.length, time.Millisecond)))
			if r.step.Persistent {
				percent = int(min(100, 100*time.Since(r.started)/startupTime))
			}
		}
		active = append(active, []any{r.name, r.number, r.saved(), percent, 0})
	}
	for _, r := range l.finished[:min(len(l.finished), endsPerPage)] {
		finished = append(finished, []any{r.endNumber, r.name, r.number, r.how, r.saved()})
	}
	return map[string]any{"ClockMs": l.clock(), "born": l.born, "Active": active, "Finished": finished}
}

func (t taskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}
