package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/fitter"
	"dotterelcart.dev/dotterelcart/internal/control/ranker"
	"dotterelcart.dev/dotterelcart/internal/control/reserver"
)

// longRunningUsage is the fraction of its reserved CPU that a long-running task is
// expected to use.
const longRunningUsage = 0.5

// placement is one round of choosing workers for the waiting tasks.
type placement struct {
	shard            *Shard
	workers          []*worker          // usable workers
	candidates       []fitter.Candidate // free resources of each of workers
	interference     imageInterference
	unplaced         []unplacedRequest // requests of fillers for which no worker was found
	growth           []float64         // growth of log tail latencies on each of workers if a task of the current step starts
	suspects         map[*worker]int   // number of runs of suspect tasks on each of workers
	keptFree         int               // number of workers kept free for tasks that have waited long
	isolating        int               // number of workers that isolate a task, or are kept closed for one
	plan             *reserver.Plan    // reservations by expected ends; nil if there is none
	plannedSteps     int               // steps for which reservations were planned in this round
	largeWorkWaits   bool              // a task that reserves CPU waits and fits nowhere
	largest          fitter.Candidate  // maximum of each resource over all workers at the start of the round
	longRunningCPU   int64             // CPU reserved by running long-running tasks, millicores
	longRunningLimit int64             // see Shard.longRunningLimit
	pinnedCPU        int64             // CPU for the long-running tasks of all jobs that can't be moved, millicores
	advice           adviceChoice      // request for advice of this round
}

// placeSteps starts waiting tasks, best-ranked steps first, where there is room.
func (s *Shard) placeSteps() {
	s.waitingSteps = slices.DeleteFunc(s.waitingSteps, func(st *step) bool {
		st.queued = st.waiting > 0 && st.job.final == "" && s.jobs[st.job.spec.ID] == st.job
		return !st.queued
	})
	if len(s.waitingSteps) == 0 {
		s.dropUnusedReservations()
	}
	if !s.mayStartRuns() {
		return
	}
	stragglers := s.findStragglers()
	if len(s.waitingSteps) == 0 && len(stragglers) == 0 && len(s.preparing) == 0 {
		return
	}
	s.fillersWait = slices.ContainsFunc(s.waitingSteps, func(st *step) bool { return st.spec.Filler })
	p := s.newPlacement()
	if len(p.workers) == 0 {
		return
	}
	p.considerPrepared()
	p.rankSteps()
	p.largeWorkWaits = p.hasLargeWork()
	for _, st := range s.waitingSteps {
		before := p.pinnedCPUOf(st)
		switch {
		case p.isDeferred(st):
		case st.spec.Gang:
			p.placeGang(st)
		default:
			p.placeStep(st)
		}
		p.pinnedCPU += p.pinnedCPUOf(st) - before
		p.considerAdvice(st)
	}
	p.requestAdvice()
	p.placeDuplicates(stragglers)
	s.dropUnusedReservations()
}

// rankSteps sorts the waiting steps by rank. It also decides for this round which
// of them may exceed the limit of long-running tasks.
func (p *placement) rankSteps() {
	s := p.shard
	type ranked struct {
		step *step
		work ranker.Work
	}
	list := make([]ranked, len(s.waitingSteps))
	for i, st := range s.waitingSteps {
		st.mayExceedLimit = p.mayExceedLimit(st)
		list[i] = ranked{st, st.work()}
	}
	slices.SortFunc(list, func(a, b ranked) int { return ranker.Compare(s.now, &a.work, &b.work) })
	for i := range list {
		s.waitingSteps[i] = list[i].step
	}
}

// work returns what the ranking of the step depends on.
func (st *step) work() ranker.Work {
	j := st.job
	w := ranker.Work{
		Priority: j.queue.Priority, Objective: j.objective, GraceEnd: j.graceEnd,
		Remaining: st.path, Accepted: j.spec.Accepted, ID: j.spec.ID, Begun: j.started,
	}
	if !st.due.IsZero() {
		shift := st.due.Sub(j.spec.Accepted)
		w.Objective = w.Objective.Add(shift)
		w.GraceEnd = w.GraceEnd.Add(shift)
	}
	if st.spec.LongRunning {
		// A long-running task has value for as long as it runs, however late it
		// starts.
		w.NoDeadline = true
		w.Objective = st.oldestWaitingSince().Add(longRunningWait)
	}
	return w
}

// longRunningWait is the target for the waiting time of a long-running task, by
// which it is ranked among other work of the same priority.
const longRunningWait = time.Second

// oldestWaitingSince returns when the step's longest waiting task began to wait.
func (st *step) oldestWaitingSince() time.Time {
	if t := st.oldestWaiting(); t != nil {
		return t.waitingSince
	}
	return time.Time{}
}

// oldestWaiting returns the task that has waited longest, or nil.
func (st *step) oldestWaiting() *task {
	var first *task
	for _, t := range st.tasks {
		if t.isWaiting() && (first == nil || t.waitingSince.Before(first.waitingSince)) {
			first = t
		}
	}
	return first
}

// newPlacement returns a placement round over the workers that are usable now.
func (s *Shard) newPlacement() *placement {
	p := &placement{shard: s, workers: make([]*worker, 0, len(s.sortedWorkers)), candidates: make([]fitter.Candidate, 0, len(s.sortedWorkers))}
	capacity := int64(0)
	for _, w := range s.sortedWorkers {
		if !w.isUsable(s.now) {
			continue
		}
		candidate := w.candidate()
		candidate.Slowness = s.slownessOf(w)
		w.markCold(&candidate, s.now)
		capacity += w.reg.Capacity.CPU
		p.longRunningCPU += w.allocated.longRunning
		p.workers = append(p.workers, w)
		p.candidates = append(p.candidates, candidate)
		p.largest.Free = p.largest.Free.Max(candidate.Free)
		p.largest.UnusedCPU = max(p.largest.UnusedCPU, candidate.UnusedCPU)
	}
	p.growth = make([]float64, len(p.workers))
	p.interference = imageInterference{byImage: make(map[string][]estimate)}
	p.longRunningLimit = s.longRunningLimit(capacity)
	p.findSuspects()
	if s.options.Divided {
		for _, j := range s.jobs {
			p.pinnedCPU += j.pinnedCPU()
		}
	}
	return p
}

// shareOfServing returns the fraction of the worker's serving runs that are of
// the image, 0 to 1.
func (w *worker) shareOfServing(image string) float64 {
	total := 0
	for _, n := range w.servingRuns {
		total += n
	}
	if total == 0 || image == "" {
		return 0
	}
	return float64(w.servingRuns[image]) / float64(total)
}

// candidate returns the worker's free and unused resources.
func (w *worker) candidate() fitter.Candidate {
	expected := w.allocated.reserved.CPU - w.allocated.longRunning + int64(longRunningUsage*float64(w.allocated.longRunning))
	return fitter.Candidate{
		Free:      w.reg.Capacity.Sub(w.allocated.reserved),
		Capacity:  w.reg.Capacity,
		UnusedCPU: w.reg.Capacity.CPU - expected - w.expectedFillerCPU(),
		Rack:      w.rack,
	}
}

// expectedFillerCPU returns the CPU that the worker's fillers use at their
// current pace, in millicores.
func (w *worker) expectedFillerCPU() int64 {
	if w.fillerCPU >= 0 {
		return w.fillerCPU
	}
	w.fillerCPU = 0
	for _, r := range w.runs {
		if r.isFiller() {
			w.fillerCPU += r.needs.filler * int64(max(r.pace, 0)) / full
		}
	}
	return w.fillerCPU
}

// request returns what placing one task of the step requires.
func (st *step) request() fitter.Request {
	return fitter.Request{Reserved: st.needs.reserved, FillerCPU: st.needs.filler, Rack: st.spec.PreferredRack}
}

// placeStep starts as many waiting tasks of a step as there is room for.
func (p *placement) placeStep(st *step) {
	request := st.request()
	request.BestFit = p.isPacked(st)
	if !request.Fits(&p.largest) {
		p.reserve(st, st.oldestWaiting())
		return
	}
	mayDisturb := p.mustProgress(st)
	if p.isUnplaceable(st) && !mayDisturb {
		return
	}
	p.setAffinity(st)
	for _, t := range st.tasks {
		if st.waiting == 0 {
			return
		}
		if !p.shard.mayStart(t) {
			continue
		}
		i := p.chooseWorker(st, t, request, mayDisturb)
		if i < 0 && p.isKeptApart(t) {
			p.emptyWorker(t)
			continue // other tasks of the step may find a worker
		}
		if i < 0 {
			p.markUnplaceable(st, t)
			p.reserve(st, t)
			return
		}
		if st.spec.TightlyCoupled && request.Rack == "" {
			request.Rack = p.workers[i].rack
		}
		p.startTask(t, i, &request)
		mayDisturb = mayDisturb && !st.spec.Filler
		if p.isDeferred(st) {
			return
		}
	}
}

// startTask starts a task on the worker with an index and takes its room in this round.
func (p *placement) startTask(t *task, i int, request *fitter.Request) {
	st, w := t.step, p.workers[i]
	p.candidates[i].Reserve(request)
	p.longRunningCPU += st.needs.longRunning
	r := p.shard.startRun(t, w, t.nextRun(p.shard.options.Epoch))
	p.noteStart(r, i)
	if !st.spec.Filler {
		return
	}
	r.startsSlowly = w.wouldNearTarget(p.growth[i])
	growth := p.interference.on(p, i, st.spec.Image).scale(w.share(request.FillerCPU)).upper
	p.growth[i] += growth
	p.interference.unseen[i] += growth
}

// noteStart updates the round after the start of a run on the worker with an index.
func (p *placement) noteStart(r *run, i int) {
	p.noteSuspectStart(r, i)
	p.noteColdStart(i)
	p.noteReservedStart(r, i)
}

// fitsBesideLongRunning reports whether the worker has room for a task of the step once all
// finite tasks there have ended.
func (w *worker) fitsBesideLongRunning(st *step) bool {
	finiteRoom := w.reg.Capacity.CPU - w.allocated.longRunning
	fits := st.needs.reserved.CPU <= finiteRoom && st.needs.reserved.Memory <= w.reg.Capacity.Memory
	return fits && w.reg.HasLabel(st.spec.Label) && (st.spec.MaxPerWorker == 0 || w.perStep[st] < st.spec.MaxPerWorker)
}

// chooseWorker returns the index of the best worker for a task, or -1. If mayDisturb is set,
// the task may bring latencies near their targets.
func (p *placement) chooseWorker(st *step, t *task, request fitter.Request, mayDisturb bool) int {
	if i := p.openFor(t, p.candidates); i >= 0 {
		defer func() { p.candidates[i].Closed = true }()
	}
	if !t.isSuspect() {
		return p.chooseAmong(st, t, request, mayDisturb, anyWorker)
	}
	i := p.chooseAmong(st, t, request, mayDisturb, func(w *worker) bool { return p.maySuspectStart(t, w) })
	if i < 0 && t.needsIsolation() && !p.mustIsolate(t) {
		return p.chooseAmong(st, t, request, mayDisturb, anyWorker)
	}
	return i
}

// chooseAmong is chooseWorker among some workers. For a while it avoids the one where the task
// last failed.
func (p *placement) chooseAmong(st *step, t *task, request fitter.Request, mayDisturb bool, among func(*worker) bool) int {
	allowed := func(i int) bool {
		w := p.workers[i]
		return among(w) && st.hasTicket(w, p.shard.now) && p.mayStartOn(t, i, mayDisturb)
	}
	if t.lastFailedOn == "" {
		return fitter.Choose(p.candidates, request, allowed)
	}
	i := fitter.Choose(p.candidates, request, func(i int) bool { return p.workers[i].reg.ID != t.lastFailedOn && allowed(i) })
	if i < 0 && p.shard.now.Sub(t.waitingSince) >= otherWorkerWait {
		return fitter.Choose(p.candidates, request, allowed)
	}
	return i
}

// otherWorkerWait is how long a failed task waits for a different worker. After
// that it may return to the same one, which may have the only room.
const otherWorkerWait = 300 * time.Millisecond

// mayStartOn reports whether the task may start on the worker with an index, apart from the
// room and the ticket that it needs.
func (p *placement) mayStartOn(t *task, i int, mayDisturb bool) bool {
	st, w := t.step, p.workers[i]
	if !w.reg.HasLabel(st.spec.Label) || w.runs[t.id()] != nil {
		return false
	}
	if st.spec.Filler && w.wouldNearTarget(p.growth[i]) && !mayDisturb {
		return false
	}
	return p.mayBackfill(st, i) && (st.spec.MaxPerWorker == 0 || w.perStep[st] < st.spec.MaxPerWorker)
}

// hasRoom reports whether another allowed worker has room for the run's task.
func (s *Shard) hasRoom(r *run, allowed func(*worker) bool) bool {
	return slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool {
		return w != r.worker && w.isUsable(s.now) && w.hasRoomFor(r.task.step) && allowed(w)
	})
}

func anyWorker(*worker) bool { return true }
