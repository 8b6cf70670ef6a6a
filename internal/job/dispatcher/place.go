package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/fitter"
	"dotterelcart.dev/dotterelcart/internal/control/ranker"
)

// servingShare is the part of its reservation that a serving task is expected to use.
const servingShare = 0.5

// placement is one round of choosing workers.
type placement struct {
	s        *Shard
	settled  bool // see isSettled
	workers  []*worker
	rooms    []fitter.Candidate
	reserved int              // workers kept free for work that has waited for long
	largest  fitter.Candidate // the most that any worker has of each kind, when the round began
	lasting  int64            // CPU that lasting tasks reserve, millicores
	limit    int64            // the most of it while other tasks need room
	promised int64            // CPU of all lasting tasks of jobs that stay in the shard, millicores
}

// place starts waiting tasks, in their order, where there is room.
func (s *Shard) place() {
	s.steps = slices.DeleteFunc(s.steps, func(st *step) bool {
		st.listed = st.waiting > 0 && st.job.final == "" && s.jobs[st.job.spec.ID] == st.job
		return !st.listed
	})
	if len(s.steps) == 0 || !s.mayAct() || !s.listed {
		return
	}
	p := s.newPlacement()
	if len(p.workers) == 0 {
		return
	}
	p.rank()
	for _, st := range s.steps {
		p.seekAdvice(st)
		before := p.promiseOf(st)
		switch {
		case p.isYielding(st):
		case st.spec.Gang:
			p.placeGang(st)
		default:
			p.placeStep(st)
		}
		p.promised += p.promiseOf(st) - before
	}
}

// rank orders the waiting steps.
func (p *placement) rank() {
	s := p.s
	type ranked struct {
		step *step
		work ranker.Work
	}
	list := make([]ranked, len(s.steps))
	for i, st := range s.steps {
		st.mayExceed = p.mayExceedLimit(st)
		list[i] = ranked{st, st.work()}
	}
	slices.SortFunc(list, func(a, b ranked) int { return ranker.Compare(s.now, &a.work, &b.work) })
	for i := range list {
		s.steps[i] = list[i].step
	}
}

func (st *step) work() ranker.Work {
	j := st.job
	w := ranker.Work{
		Priority: j.queue.Priority, Objective: j.objective, GraceEnd: j.grace,
		Remaining: st.spec.Estimate, Accepted: j.spec.Accepted, ID: j.spec.ID,
	}
	if !st.due.IsZero() {
		shift := st.due.Sub(j.spec.Accepted)
		w.Objective = w.Objective.Add(shift)
		w.GraceEnd = w.GraceEnd.Add(shift)
	}
	if st.spec.Lasting {
		// A lasting task earns for as long as it runs, however late it begins.
		w.NoDeadline = true
		w.Objective = st.waitingSince().Add(lastingWait)
	}
	return w
}

// lastingWait is how long a lasting task may wait beside other work of its
// priority.
const lastingWait = time.Second

// waitingSince is when the first of the waiting tasks began to wait.
func (st *step) waitingSince() time.Time {
	if t := st.firstWaiting(); t != nil {
		return t.since
	}
	return time.Time{}
}

// firstWaiting is the task that has waited for longest, or nil.
func (st *step) firstWaiting() *task {
	var first *task
	for _, t := range st.tasks {
		if !t.done && t.worker == nil && (first == nil || t.since.Before(first.since)) {
			first = t
		}
	}
	return first
}

func (s *Shard) newPlacement() *placement {
	p := &placement{s: s, settled: s.isSettled(), workers: make([]*worker, 0, len(s.roster)), rooms: make([]fitter.Candidate, 0, len(s.roster))}
	capacity := int64(0)
	for _, w := range s.roster {
		if !w.isUsable(s.now) {
			continue
		}
		room := w.room()
		capacity += w.reg.Capacity.CPU
		p.lasting += w.used.lasting
		p.workers = append(p.workers, w)
		p.rooms = append(p.rooms, room)
		p.largest.Free.CPU = max(p.largest.Free.CPU, room.Free.CPU)
		p.largest.Free.Memory = max(p.largest.Free.Memory, room.Free.Memory)
		p.largest.Free.Accelerators = max(p.largest.Free.Accelerators, room.Free.Accelerators)
		p.largest.UnusedCPU = max(p.largest.UnusedCPU, room.UnusedCPU)
	}
	p.limit = s.lastingLimit(capacity)
	if s.options.Domain != "" {
		for _, j := range s.jobs {
			p.promised += j.promise()
		}
	}
	return p
}

// servingOf is how much of its serving tasks are of the image, 0 to 1.
func (w *worker) servingOf(image string) float64 {
	total := 0
	for _, n := range w.serving {
		total += n
	}
	if total == 0 || image == "" {
		return 0
	}
	return float64(w.serving[image]) / float64(total)
}

// room is what the worker has left.
func (w *worker) room() fitter.Candidate {
	expected := w.used.counted.CPU - w.used.lasting + int64(servingShare*float64(w.used.lasting))
	return fitter.Candidate{
		Free:      w.reg.Capacity.Sub(w.used.counted),
		Capacity:  w.reg.Capacity,
		UnusedCPU: w.reg.Capacity.CPU - expected - w.fillerUse(),
		Rack:      w.rack,
	}
}

// fillerUse is the CPU that fillers may use at their present pace.
func (w *worker) fillerUse() int64 {
	if w.use >= 0 {
		return w.use
	}
	w.use = 0
	for _, r := range w.runs {
		if r.isFiller() {
			w.use += r.needs.filler * int64(max(r.pace, 0)) / full
		}
	}
	return w.use
}

func (st *step) fitterNeed() fitter.Request {
	return fitter.Request{Reserved: st.needs.counted, FillerCPU: st.needs.filler, Rack: st.spec.PreferredRack}
}

// placeStep starts as many waiting tasks of a step as there is room for.
func (p *placement) placeStep(st *step) {
	need := st.fitterNeed()
	if !need.Fits(&p.largest) {
		p.reserve(st, st.firstWaiting())
		return
	}
	p.relate(st)
	for _, t := range st.tasks {
		if st.waiting == 0 {
			return
		}
		if t.done || t.worker != nil || p.s.now.Before(t.later) || !p.settled && !t.located {
			continue
		}
		i := p.choose(st, t, need)
		if i < 0 {
			p.reserve(st, t)
			return
		}
		if st.spec.TightlyCoupled && need.Rack == "" {
			need.Rack = p.workers[i].rack
		}
		p.rooms[i].Reserve(&need)
		p.lasting += st.needs.lasting
		p.s.start(t, p.workers[i], t.nextRun(p.s.options.Epoch))
		if p.isYielding(st) {
			return
		}
	}
}

// Bounds of reservations.
const (
	reserveAfter = 700 * time.Millisecond // of waiting
	maxReserved  = 4                      // workers at once
)

// reserve keeps what becomes free on one worker for a task that has waited for
// long. Otherwise smaller tasks behind it would take the room each time.
func (p *placement) reserve(st *step, t *task) {
	if t == nil || st.spec.Filler || p.reserved >= maxReserved || p.s.now.Sub(t.since) < reserveAfter {
		return
	}
	best := -1
	for i, w := range p.workers {
		ends := w.reg.Capacity.CPU - w.used.lasting // once the tasks that end have ended
		fits := st.needs.counted.CPU <= ends && st.needs.counted.Memory <= w.reg.Capacity.Memory
		if !fits || !w.reg.HasLabel(st.spec.Label) || st.spec.MaxPerWorker > 0 && w.perStep[st] >= st.spec.MaxPerWorker {
			continue
		}
		if best < 0 || p.rooms[i].Free.CPU > p.rooms[best].Free.CPU {
			best = i
		}
	}
	if best >= 0 {
		p.reserved++
		p.rooms[best].Free.CPU = 0
	}
}

// relate fills in what the workers' tasks mean for those of the step.
func (p *placement) relate(st *step) {
	for i, w := range p.workers {
		p.rooms[i].SameImage, p.rooms[i].Interference = 0, 0
		switch {
		case st.spec.Filler:
			p.rooms[i].Interference = p.s.harmTo(w, st.spec.Image, st.spec.Needs.CPU)
		case st.spec.LatencyTarget > 0:
			p.rooms[i].SameImage = w.servingOf(st.spec.Image)
		}
	}
}

// choose finds a worker for a task, preferably not the one where it failed last.
func (p *placement) choose(st *step, t *task, need fitter.Request) int {
	allowed := func(i int) bool {
		w := p.workers[i]
		if !w.reg.HasLabel(st.spec.Label) || w.runs[t.id()] != nil {
			return false
		}
		if st.spec.Filler && w.wouldHarm(p.rooms[i].Interference) || !p.isAdvised(st, w) {
			return false
		}
		return st.spec.MaxPerWorker == 0 || w.perStep[st] < st.spec.MaxPerWorker
	}
	if t.last == "" {
		return fitter.Choose(p.rooms, need, allowed)
	}
	i := fitter.Choose(p.rooms, need, func(i int) bool { return p.workers[i].reg.ID != t.last && allowed(i) })
	if i < 0 && p.s.now.Sub(t.since) >= elsewhereWait {
		return fitter.Choose(p.rooms, need, allowed)
	}
	return i
}

// elsewhereWait is how long a task that failed waits for another worker than
// that where it failed; its room there may be the only one.
const elsewhereWait = 300 * time.Millisecond

// isAdvised reports whether the step may start on the worker now.
func (p *placement) isAdvised(st *step, w *worker) bool {
	if !st.job.queue.Advice.Needed {
		return true
	}
	_, ok := st.ticketFor(w, p.s.now)
	return ok
}

// placeGang starts all tasks of a step together, or none.
func (p *placement) placeGang(st *step) {
	unknown := func(t *task) bool { return !p.settled && !t.located }
	if st.waiting < len(st.tasks) || slices.ContainsFunc(st.tasks, unknown) {
		return
	}
	rooms := slices.Clone(p.rooms)
	need := st.fitterNeed()
	chosen := make([]int, 0, len(st.tasks))
	count := make(map[int]int)
	for _, t := range st.tasks {
		i := fitter.Choose(rooms, need, func(i int) bool {
			w := p.workers[i]
			free := st.spec.MaxPerWorker == 0 || w.perStep[st]+count[i] < st.spec.MaxPerWorker
			return free && w.reg.HasLabel(st.spec.Label) && w.runs[t.id()] == nil && p.isAdvised(st, w)
		})
		if i < 0 {
			return
		}
		if st.spec.TightlyCoupled && need.Rack == "" {
			need.Rack = p.workers[i].rack
		}
		rooms[i].Reserve(&need)
		count[i]++
		chosen = append(chosen, i)
	}
	p.rooms = rooms
	var number int64
	for _, t := range st.tasks {
		number = max(number, t.nextRun(p.s.options.Epoch))
	}
	for k, t := range st.tasks {
		p.s.start(t, p.workers[chosen[k]], number)
	}
}

// nextRun is the number of the task's next run, higher than any before it.
func (t *task) nextRun(epoch int64) int64 { return max(t.number, epoch*runsOfEpoch) + 1 }

// start orders a run on a worker.
func (s *Shard) start(t *task, w *worker, number int64) {
	t.number = number
	t.located, t.watched = true, true
	t.step.waiting--
	if !t.step.spec.Lasting && t.step.needs.counted.CPU > 0 {
		s.ending = s.now
	}
	w.add(&run{task: t, id: t.id(), worker: w, number: number, phase: starting, ordered: s.now, needs: t.step.needs, pace: full})
	order := StartRun{
		Worker: w.reg, Task: t.id(), Run: number, Payload: t.step.job.spec.Payload, LeaseEnd: s.until(w),
	}
	if t.step.spec.Checkpoint {
		order.Checkpoint = t.checkpoint
	}
	order.Ticket, _ = t.step.ticketFor(w, s.now)
	s.emit(order)
	s.emit(Log{
		Message: "start ordered", Task: order.Task.String(), Job: order.Task.Job, Worker: w.reg.ID, Run: number,
		Age: s.now.Sub(w.answered),
	})
}

// hasRoom reports whether another worker that is allowed could take the run's task.
func (s *Shard) hasRoom(r *run, allowed func(*worker) bool) bool {
	st := r.task.step
	need := st.fitterNeed()
	for _, w := range s.roster {
		if w == r.worker || !w.isUsable(s.now) || !w.reg.HasLabel(st.spec.Label) {
			continue
		}
		room := w.room()
		if need.Fits(&room) && (st.spec.MaxPerWorker == 0 || w.perStep[st] < st.spec.MaxPerWorker) && allowed(w) {
			return true
		}
	}
	return false
}

func anyWorker(*worker) bool { return true }
