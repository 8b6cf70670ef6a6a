package dispatcher

import (
	"math"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reserver"
)

// A task that reserves CPU and fits nowhere gets a reservation: room on a worker from the
// time on at which, by the expected ends of the runs there, it fits. Lower-ranked tasks may
// use that room before (backfill). See docs/design/placement.md.

// Limits of room reservations.
const (
	// reservationDelay is the waiting time after which room is reserved if no ends can be
	// predicted.
	reservationDelay = 700 * time.Millisecond
	// maxReservations is the number of workers with reservations, apart from those of
	// gangs. More of them make small tasks wait longer, and large ones no shorter.
	maxReservations = 4
	// maxPlannedSteps bounds the CPU time of a round: each step that is planned costs a
	// scan of all workers.
	maxPlannedSteps = 8
	// maxReservedTasks bounds the reservations of a step that isn't a gang.
	maxReservedTasks = 16
	// replanFactor is the multiple of the predicted wait after which a reservation is
	// planned again.
	replanFactor = 2
	// minReplanDelay is the minimum of that time. Answers of workers are up to PollWait late.
	minReplanDelay = 200 * time.Millisecond
	// reservationReportInterval is the minimum time between reports, and
	// maxReservationLines the number of log lines between them.
	reservationReportInterval = time.Second
	maxReservationLines       = 3
)

// reservation is room on a worker for one task of a step. Tasks of a step are alike.
type reservation struct {
	step     *step
	worker   *worker
	at       time.Time // when the task is expected to fit
	madeAt   time.Time
	replanAt time.Time
	renewed  bool // in this round
}

// reservations are the reservations of a shard. They are not durable: a new owner plans
// from the inventories.
type reservations struct {
	held       []*reservation
	report     ReportReservations // since reportedAt
	reportedAt time.Time
	lines      int // log lines since reportedAt
}

// ReportReservations reports the number of reservations by outcome since the last report.
type ReportReservations struct {
	Made          int
	Met           int // a task of the step was started, there or elsewhere
	Dropped       int // planned again, or not needed any more
	Backfilled    int // starts of other tasks on workers with reservations
	Unpredictable int // rounds in which a worker was kept free because no ends could be predicted
}

func (ReportReservations) effect() {}

// hasLargeWork reports whether a task that reserves CPU waits and fits on no worker.
func (p *placement) hasLargeWork() bool {
	if !p.shard.options.Reservations {
		return false
	}
	if len(p.shard.reservations.held) > 0 {
		return true
	}
	return slices.ContainsFunc(p.shard.waitingSteps, func(st *step) bool {
		request := st.request()
		return st.needs.reserved.CPU > 0 && !request.Fits(&p.largest)
	})
}

// isPacked reports whether the step's tasks go to the fullest workers, so that large pieces
// of room remain. Long-running tasks are always spread: packed ones are disturbed by more
// fillers.
func (p *placement) isPacked(st *step) bool {
	return p.largeWorkWaits && st.needs.reserved.CPU > 0 && !st.spec.LongRunning
}

// mayBackfill reports whether a task of the step leaves the room of the reservations on a
// worker.
func (p *placement) mayBackfill(st *step, i int) bool {
	return p.plan == nil || p.plan.MayStart(i, st.needs.reserved, p.shard.expectedEndOfStart(st))
}

// expectedEndOfStart returns when a task of the step that is started now is expected to
// end, zero for long-running ones.
func (s *Shard) expectedEndOfStart(st *step) time.Time {
	if st.spec.LongRunning {
		return time.Time{}
	}
	return s.now.Add(s.expectedRunTime(st))
}

// noteReservedStart updates the reservations after a start on the worker with an index.
func (p *placement) noteReservedStart(r *run, i int) {
	s, st := p.shard, r.task.step
	if p.plan != nil {
		if p.plan.IsReserved(i) {
			s.reservations.report.Backfilled++
		}
		p.plan.Started(i, st.needs.reserved, s.expectedEndOfStart(st))
	}
	held := s.reservations.held
	if len(held) == 0 {
		return
	}
	at := slices.IndexFunc(held, func(o *reservation) bool { return o.step == st && o.worker == r.worker })
	reason := "met"
	if at < 0 {
		at = slices.IndexFunc(held, func(o *reservation) bool { return o.step == st })
		reason = "met by another worker"
	}
	if at >= 0 {
		s.reservations.report.Met++
		s.logReservation(held[at], Log{Message: "reservation met", Reason: reason, Age: s.now.Sub(held[at].madeAt)})
		s.reservations.held = slices.Delete(held, at, at+1)
	}
}

// reserve reserves room for the waiting tasks of a step, of which t fits nowhere.
func (p *placement) reserve(st *step, t *task) {
	if t == nil || st.needs.reserved.CPU == 0 {
		return
	}
	if !p.shard.options.Reservations {
		p.reserveRoom(st, t)
		return
	}
	if n := p.countStartable(st); n == 0 || !p.planStep(st, min(n, maxReservedTasks), maxReservations-p.keptFree) {
		p.reserveRoom(st, t)
	}
}

// reserveGang reserves room for all tasks of a gang.
func (p *placement) reserveGang(st *step) {
	if n := len(st.tasks); p.shard.options.Reservations && st.needs.reserved.CPU > 0 && p.countStartable(st) == n {
		p.planStep(st, n, math.MaxInt)
	}
}

// countStartable returns how many tasks of the step wait for nothing but room.
func (p *placement) countStartable(st *step) int {
	n := 0
	for _, t := range st.tasks {
		if p.shard.mayStart(t) && !p.mustIsolate(t) {
			n++
		}
	}
	return n
}

// planStep renews the reservations of a step and plans those that are missing for count
// tasks. It returns false if the tasks need them and no time can be predicted.
func (p *placement) planStep(st *step, count, maxWorkers int) bool {
	s := p.shard
	if p.plan == nil {
		p.plan = reserver.New(s.now, len(p.workers), p.forecast)
	}
	kept := p.renew(st, count, maxWorkers)
	missing := count - kept
	if missing == 0 || p.plannedSteps >= maxPlannedSteps || p.plan.ReservedWorkers() >= maxWorkers {
		return true
	}
	p.plannedSteps++
	limit := func(i int) int {
		if at, ok := p.plan.Earliest(i, st.needs.reserved); ok && !at.After(s.now) && !st.spec.Gang {
			return 0 // what the task waits for isn't room
		}
		return p.reservableTasks(st, i)
	}
	var list []reserver.Reservation
	if st.spec.Gang {
		list = p.plan.Gang(st.needs.reserved, count, limit)
		if len(list) > 0 && !list[0].At.After(s.now) {
			for _, r := range list {
				p.plan.Release(r, st.needs.reserved)
			}
			return true // it waits for something else than room
		}
	} else {
		list = p.plan.Spread(st.needs.reserved, missing, maxWorkers, limit)
	}
	for _, planned := range list {
		p.hold(st, planned)
	}
	return kept+len(list) > 0 || p.isPredictable(st)
}

// hold keeps a planned reservation for a task of the step beyond this round.
func (p *placement) hold(st *step, planned reserver.Reservation) {
	s := p.shard
	wait := planned.At.Sub(s.now)
	r := &reservation{
		step: st, worker: p.workers[planned.Worker], at: planned.At, madeAt: s.now,
		replanAt: s.now.Add(max(replanFactor*wait, minReplanDelay)), renewed: true,
	}
	s.reservations.held = append(s.reservations.held, r)
	s.reservations.report.Made++
	s.logReservation(r, Log{Message: "reservation made", Reason: "fits nowhere", Age: wait})
}

// isPredictable reports whether a worker would have room for a task of the step some time
// by the expected ends.
func (p *placement) isPredictable(st *step) bool {
	for i := range p.workers {
		if p.reservableTasks(st, i) > 0 && p.plan.IsPredictable(i, st.needs.reserved) {
			return true
		}
	}
	return false
}

// forecast returns a worker's free resources and the expected ends of its runs.
func (p *placement) forecast(i int) reserver.Worker {
	w := p.workers[i]
	out := reserver.Worker{Free: w.reg.Capacity.Sub(w.allocated.reserved), Ends: make([]reserver.End, 0, len(w.runs))}
	for _, r := range w.runs {
		if r.needs.reserved == (describer.Resources{}) {
			continue
		}
		if at, ok := p.shard.expectedEnd(r); ok {
			out.Ends = append(out.Ends, reserver.End{At: at, Freed: r.needs.reserved})
		}
	}
	return out
}

// reservableTasks returns how many tasks of the step may get reservations on a worker in
// addition to those that it runs.
func (p *placement) reservableTasks(st *step, i int) int {
	w := p.workers[i]
	if p.candidates[i].Closed || !w.fitsBesideLongRunning(st) {
		return 0
	}
	if st.spec.MaxPerWorker == 0 {
		return math.MaxInt
	}
	n := st.spec.MaxPerWorker - w.perStep[st]
	for _, r := range p.shard.reservations.held {
		if r.renewed && r.step == st && r.worker == w {
			n--
		}
	}
	return n
}

// renew adds the step's reservations to the plan of this round, and drops those that can't
// be kept. It returns how many it has kept; of a gang's it keeps all or none.
func (p *placement) renew(st *step, count, maxWorkers int) int {
	s := p.shard
	if !slices.ContainsFunc(s.reservations.held, func(r *reservation) bool { return r.step == st }) {
		return 0
	}
	kept, planned, lost := p.renewEach(st, count, maxWorkers)
	if st.spec.Gang && len(kept) > 0 && len(kept) < count {
		for k, r := range kept {
			p.plan.Release(planned[k], st.needs.reserved)
			r.renewed = false
			s.dropReservation(r, lost)
		}
		kept = nil
	}
	s.reservations.held = slices.DeleteFunc(s.reservations.held, func(r *reservation) bool { return r.step == st && !r.renewed })
	return len(kept)
}

// renewEach renews the step's reservations one by one. It returns those that it has kept,
// also as they are in the plan, and why the last of the others was dropped.
func (p *placement) renewEach(st *step, count, maxWorkers int) (kept []*reservation, planned []reserver.Reservation, lost string) {
	s := p.shard
	bound := st.backfillEnd()
	for _, r := range s.reservations.held {
		if r.step != st {
			continue
		}
		if reason := p.dropReason(r, count-len(kept), maxWorkers); reason != "" {
			lost = reason
			s.dropReservation(r, reason)
			continue
		}
		i, _ := p.indexOf(r.worker)
		at := r.at
		if at.After(s.now) && !s.now.Before(bound) {
			at = s.now
		}
		r.renewed = true
		kept, planned = append(kept, r), append(planned, reserver.Reservation{Worker: i, At: at})
		p.plan.Reserve(planned[len(planned)-1], st.needs.reserved)
	}
	return kept, planned, lost
}

// dropReason returns why a reservation can't be kept in this round, or "". missing is the
// number of tasks that still need one.
func (p *placement) dropReason(r *reservation, missing, maxWorkers int) string {
	i, ok := p.indexOf(r.worker)
	if !ok || p.reservableTasks(r.step, i) <= 0 {
		return "worker can't be used"
	}
	if missing <= 0 {
		return "not needed any more"
	}
	if !p.shard.now.Before(r.replanAt) {
		return "not met in time"
	}
	if !p.plan.IsReserved(i) && p.plan.ReservedWorkers() >= maxWorkers {
		return "other tasks rank higher"
	}
	if _, ok := p.plan.Earliest(i, r.step.needs.reserved); !ok {
		return "room lost"
	}
	return ""
}

// backfillEnd returns the time after which nothing may start in the room of the step's
// reservations unless it fits beside: when half the time is over until the latest start that
// meets the objective. Each wrong prediction after it would make the job late.
func (st *step) backfillEnd() time.Time {
	since, work := st.oldestWaitingSince(), st.work()
	latest := work.Objective
	if !work.NoDeadline {
		latest = latest.Add(-st.path)
	}
	return since.Add(latest.Sub(since) / 2)
}

// indexOf returns the index of a worker in the round, or false if it isn't usable.
func (p *placement) indexOf(w *worker) (int, bool) {
	i, ok := slices.BinarySearchFunc(p.workers, w, compareWorkers)
	return i, ok && p.workers[i] == w
}

// dropUnusedReservations ends a round: it drops the reservations that weren't renewed in
// it, and reports.
func (s *Shard) dropUnusedReservations() {
	o := &s.reservations
	o.held = slices.DeleteFunc(o.held, func(r *reservation) bool {
		if !r.renewed {
			s.dropReservation(r, "not needed any more")
		}
		return !r.renewed
	})
	for _, r := range o.held {
		r.renewed = false
	}
	if s.now.Sub(o.reportedAt) < reservationReportInterval {
		return
	}
	o.reportedAt, o.lines = s.now, 0
	if o.report != (ReportReservations{}) {
		s.emit(o.report)
		o.report = ReportReservations{}
	}
}

// dropReservation counts and logs a dropped reservation.
func (s *Shard) dropReservation(r *reservation, reason string) {
	s.reservations.report.Dropped++
	s.logReservation(r, Log{Message: "reservation dropped", Reason: reason, Age: s.now.Sub(r.madeAt)})
}

// logReservation logs what happened to a reservation, unless there were too many lines.
func (s *Shard) logReservation(r *reservation, line Log) {
	if s.reservations.lines >= maxReservationLines {
		return
	}
	s.reservations.lines++
	line.Job, line.Worker = r.step.job.spec.ID, r.worker.reg.ID
	s.emit(line)
}

// reserveRoom keeps the free CPU of one worker for a task that has waited long, if no
// ends can be predicted. Otherwise smaller tasks that rank lower would take any room that
// becomes free.
func (p *placement) reserveRoom(st *step, t *task) {
	if t == nil || st.spec.Filler || p.keptFree >= maxReservations || p.shard.now.Sub(t.waitingSince) < reservationDelay {
		return
	}
	best := -1
	for i, w := range p.workers {
		if !w.fitsBesideLongRunning(st) {
			continue
		}
		if best < 0 || p.candidates[i].Free.CPU > p.candidates[best].Free.CPU {
			best = i
		}
	}
	if best >= 0 {
		p.keptFree++
		p.shard.reservations.report.Unpredictable++
		p.candidates[best].Free.CPU = 0
	}
}
