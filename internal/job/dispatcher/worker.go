package dispatcher

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// worker is one life of a registered worker.
type worker struct {
	reg     specifier.Worker
	rack    string
	runs    map[specifier.TaskID]*run
	used    need
	use     int64         // CPU of fillers at their pace, millicores; unknownUse after a change
	perStep map[*step]int // runs of each step

	missing time.Time // when it was first not listed; zero while it is
	synced  bool      // it has answered in this life
	named   bool      // the last commit names it, and is durable
	holding bool      // an inventory is on its way
	next    time.Time // when to ask for the next
	failing int       // unanswered inventories in a row

	answered time.Time     // when the last inventory came
	clock    time.Duration // its steady clock, read before answered
	lapsed   time.Time     // when every lease given here has lapsed

	seen     int64 // ends taken in up to this number
	ends     []pendingEnd
	observed int64 // ends up to this number are durable

	faults  int            // failed runs in a row
	avoided time.Time      // no starts before this time
	serving map[string]int // runs of each image with a target
	tail    float64        // worst tail as a share of its target; 0 without such tasks
	strange int            // runs whose needs are not known
	over    time.Time      // since when a tail is over its target; zero if none is
	paced   time.Time
}

const unknownUse = -1

// pendingEnd is an end whose change is not durable yet.
type pendingEnd struct {
	number  int64
	job     *job // nil: nothing has to be durable
	version int64
}

// runPhase is how far a run is.
type runPhase uint8

const (
	starting  runPhase = iota // ordered, not answered
	unsettled                 // the start had no answer
	active                    // on the worker
	stopping                  // a stop is ordered
)

// run is a run on a worker, or one that may be there.
type run struct {
	task    *task // nil: of a job that is not here
	id      specifier.TaskID
	worker  *worker
	number  int64
	phase   runPhase
	ordered time.Time // when the last order was given
	settled time.Time // when the last order was answered
	needs   need
	strange bool      // needs are not known
	percent int       // as listed: see specifier.Run
	figure  float64   // as listed: see specifier.Run
	pace    int       // percent of full speed, as ordered
	slowed  time.Time // when the pace became 0
	begun   time.Time
	moved   time.Time // when percent last changed
}

// listWorkers takes in the registered workers of the shard.
func (s *Shard) listWorkers(list []specifier.Worker) {
	s.listed = true
	listed := make(map[string]bool, len(list))
	for _, reg := range list {
		listed[reg.ID] = true
		s.register(reg)
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		if w.missing.IsZero() {
			w.missing = s.now
			s.emit(Log{Message: "worker no longer registered", Worker: id})
		}
	}
	s.changed = true
}

func (s *Shard) register(reg specifier.Worker) {
	w := s.workers[reg.ID]
	if w == nil {
		w = &worker{reg: reg, runs: make(map[specifier.TaskID]*run), perStep: make(map[*step]int), serving: make(map[string]int)}
		w.rack = reg.Rack()
		s.admit(w)
		s.emit(Log{Message: "worker registered", Worker: reg.ID})
		s.hold(w)
		return
	}
	if reg.Incarnation > w.reg.Incarnation {
		s.rebirth(w, reg.Incarnation)
	}
	if reg.Draining && !w.reg.Draining {
		s.emit(Log{Message: "worker drains", Worker: reg.ID})
	}
	born := w.reg.Incarnation
	w.reg = reg
	w.reg.Incarnation = max(born, reg.Incarnation)
	w.rack = reg.Rack()
	w.missing = time.Time{}
}

// admit adds a worker to the shard.
func (s *Shard) admit(w *worker) {
	s.workers[w.reg.ID] = w
	s.unnamed = true
	at, _ := slices.BinarySearchFunc(s.roster, w, compareWorkers)
	s.roster = slices.Insert(s.roster, at, w)
}

// dismiss removes a worker that is gone.
func (s *Shard) dismiss(w *worker) {
	delete(s.workers, w.reg.ID)
	if at, ok := slices.BinarySearchFunc(s.roster, w, compareWorkers); ok {
		s.roster = slices.Delete(s.roster, at, at+1)
	}
}

func compareWorkers(a, b *worker) int { return strings.Compare(a.reg.ID, b.reg.ID) }

// rebirth forgets what ran in an earlier life of the worker.
func (s *Shard) rebirth(w *worker, born int64) {
	s.emit(Log{Message: "worker born again", Worker: w.reg.ID})
	s.dropRuns(w)
	w.reg.Incarnation = born
	w.synced, w.answered, w.clock, w.lapsed = false, time.Time{}, 0, time.Time{}
	w.seen, w.observed, w.ends = 0, 0, nil
	w.faults, w.avoided, w.tail = 0, time.Time{}, 0
	w.next = s.now
	s.hold(w)
}

// dropRuns releases every task of a worker whose runs are over.
func (s *Shard) dropRuns(w *worker) {
	for _, id := range sortedTasks(w.runs) {
		s.drop(w.runs[id])
	}
}

// drop forgets a run that is over.
func (s *Shard) drop(r *run) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.used = w.used.sub(r.needs)
	w.use = unknownUse
	s.changed = true
	if r.strange {
		w.strange--
	}
	if r.task == nil {
		return
	}
	decrement(w.perStep, r.task.step)
	if r.isServing() {
		decrement(w.serving, r.task.step.spec.Image)
	}
	if r.task.worker == w {
		s.release(r.task)
	}
}

func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// add books a run.
func (w *worker) add(r *run) {
	w.runs[r.id] = r
	w.used = w.used.add(r.needs)
	w.use = unknownUse
	if r.strange {
		w.strange++
	}
	if r.task != nil {
		w.perStep[r.task.step]++
		if r.isServing() {
			w.serving[r.task.step.spec.Image]++
		}
		r.task.worker = w
	}
}

// reviewWorker asks for the next inventory and gives up a worker that is gone.
func (s *Shard) reviewWorker(w *worker) {
	s.settleRuns(w)
	_, inherited := s.inherited[w.reg.ID]
	if !w.missing.IsZero() && !w.holding && !inherited && (len(w.runs) == 0 || s.hasLapsed(w)) {
		s.dropRuns(w)
		s.dismiss(w)
		s.emit(Log{Message: "worker is gone", Worker: w.reg.ID})
		return
	}
	if w.failing > 0 && len(w.runs) > 0 && s.hasLapsed(w) {
		s.emit(Log{Message: "leases on a silent worker lapsed", Worker: w.reg.ID})
		s.dropRuns(w)
	}
	s.evacuate(w)
	s.hold(w)
}

// hasLapsed reports whether every lease on the worker has lapsed for certain.
// An owner that the store has not confirmed may have a successor that reaches
// the worker and renews them.
func (s *Shard) hasLapsed(w *worker) bool {
	return s.isConfirmed() && !w.lapsed.IsZero() && s.now.After(w.lapsed)
}

func (s *Shard) isConfirmed() bool { return s.now.Sub(s.contact) < confirmTime }

// confirmTime is how long nobody else can own the shard after the store has
// confirmed the ownership; it is shorter than the lease of the owner's record.
const confirmTime = 1500 * time.Millisecond

// hold asks a worker for its inventory and renews its leases.
func (s *Shard) hold(w *worker) {
	if w.holding || s.now.Before(w.next) || !s.mayAct() {
		return
	}
	h := PollWorker{Worker: w.reg, Acknowledged: w.observed}
	if w.failing == 0 {
		// A silent worker is not renewed, so that its leases lapse at a known time.
		h.LeaseEnd = s.until(w)
	}
	if w.synced && len(w.ends) == 0 && w.failing == 0 {
		h.Wait = s.options.PollWait
		if w.tail > watchedTail && w.used.filler > 0 {
			h.Wait = paceInterval
		}
	}
	w.holding = true
	s.emit(h)
}

// until is the end of a lease given now, by the worker's clock, and notes when
// it has lapsed for certain.
func (s *Shard) until(w *worker) time.Duration {
	if w.answered.IsZero() {
		return 0
	}
	until := w.clock + s.now.Sub(w.answered) + s.options.Lease
	lapsed := w.answered.Add(stretch(until-w.clock) + lapseMargin)
	if lapsed.After(w.lapsed) {
		w.lapsed = lapsed
	}
	return until
}

func (s *Shard) holdFailed(e PollFailed) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.holding = false
	w.failing++
	w.next = s.now.Add(failedPause)
	switch e.Fault {
	case Fenced:
		s.resign(w)
	case WorkerRestarted:
		// The registration tells the time of birth; until then nothing is known.
		w.synced = false
	}
	if w.failing == 1 {
		s.emit(Log{Message: "worker does not answer", Worker: e.Worker, Reason: e.Fault.String()})
	}
}

func (s *Shard) resign(w *worker) {
	s.resigned = true
	s.emit(Resign{Worker: w.reg.ID})
}

// watchedTail is the share of its target from which a tail is looked at more often.
const watchedTail = 0.6

// isUsable reports whether runs may be started on the worker.
func (w *worker) isUsable(now time.Time) bool {
	return w.synced && w.named && w.failing == 0 && w.strange == 0 && w.missing.IsZero() && !w.reg.Draining && !now.Before(w.avoided)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedTasks(m map[specifier.TaskID]*run) []specifier.TaskID {
	return slices.SortedFunc(maps.Keys(m), compareTasks)
}

func compareTasks(a, b specifier.TaskID) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}
