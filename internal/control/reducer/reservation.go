package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// reservationTime is how long capacity stays reserved for an urgent task.
const reservationTime = 15 * time.Second

// reservation keeps capacity that is being freed on a worker for an urgent task.
type reservation struct {
	task   *task
	worker *worker
	want   describer.Resources
	until  time.Time
}

// preempt throttles or evicts batch tasks to free capacity for an urgent task, and
// reserves it. If that is not possible in time, it notes why the task is pending.
func (sh *shard) preempt(t *task) {
	if t.job.Priority != describer.Urgent || sh.reservationIndex(t) >= 0 {
		return
	}
	elapsed := sh.state.now.Sub(t.job.Accepted)
	if t.mayHaveRun {
		elapsed = 0 // the time limit applies only to the first start
	}
	r := placer.Preempt(sh.fleet, sh.placementRequest(t), placer.Costs{}, sh.evictionBudget.Available(sh.state.now), elapsed)
	w := sh.workers[r.Worker]
	if w == nil {
		t.pendingReason = r.Reason
		return
	}
	t.pendingReason = "freeing capacity on " + w.name
	for _, s := range r.Throttle {
		if victim := sh.view.task(s.Task); victim.startPhase == startConfirmed && victim.stop == nil {
			sh.shrink(victim, s.To)
		}
	}
	for _, id := range r.Evict {
		if sh.evictionBudget.Take(sh.state.now) {
			sh.stopRun(sh.view.task(id), stopRequest{reason: reasonEvicted, checkpoint: true})
		}
	}
	want := sh.wantedGrant(t)
	w.account.Reserved = w.account.Reserved.Add(want)
	sh.reservations = append(sh.reservations, reservation{task: t, worker: w, want: want, until: sh.state.now.Add(reservationTime)})
}

// reservationIndex returns the index of the task's reservation, or -1.
func (sh *shard) reservationIndex(t *task) int {
	return slices.IndexFunc(sh.reservations, func(r reservation) bool { return r.task == t })
}

// useReservations starts urgent tasks whose reserved capacity is free now, and drops
// reservations that expired or are no longer needed.
func (sh *shard) useReservations() {
	for i := len(sh.reservations) - 1; i >= 0; i-- {
		r := sh.reservations[i]
		waiting := r.task.state == describer.Pending && r.task.queued
		if waiting && !sh.isFreed(r) && sh.state.now.Before(r.until) && !r.worker.account.Closed {
			continue
		}
		sh.reservations = slices.Delete(sh.reservations, i, i+1)
		r.worker.account.Reserved = r.worker.account.Reserved.Sub(r.want)
		sh.placementIdle = false
		if waiting && !r.worker.account.Closed && r.want.Fits(freeFor(r.task, r.worker.account)) {
			sh.recordStart(r.task, r.worker, r.want)
		}
	}
}

// isFreed reports whether the reserved capacity is no longer granted to other tasks.
func (sh *shard) isFreed(r reservation) bool {
	return r.want.Fits(r.worker.account.Free().Add(r.want))
}
