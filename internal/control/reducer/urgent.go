package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// roomTime is how long room that is being made stays reserved.
const roomTime = 15 * time.Second

// reservation keeps what is being freed on a worker for an urgent task.
type reservation struct {
	task   *task
	worker *worker
	want   describer.Resources
	until  time.Time
}

// makeRoom throttles or evicts batch tasks for an urgent one, and says why if
// that can't be done in time.
func (h *shard) makeRoom(t *task) {
	if t.job.Priority != describer.Urgent || h.reserved(t) >= 0 {
		return
	}
	elapsed := h.state.now.Sub(t.job.Accepted)
	if t.ran {
		elapsed = 0 // the bound is on its first start
	}
	r := placer.Preempt(h.fleet, h.request(t), placer.Costs{}, h.budget.Available(h.state.now), elapsed)
	w := h.workers[r.Worker]
	if w == nil {
		t.policy = r.Reason
		return
	}
	t.policy = "room is being made on " + w.name
	for _, s := range r.Throttle {
		if victim := h.book.task(s.Task); victim.phase == confirmed && victim.stop == nil {
			h.shrink(victim, s.To)
		}
	}
	for _, id := range r.Evict {
		if h.budget.Take(h.state.now) {
			h.end(h.book.task(id), stopping{reason: reasonEvicted, checkpoint: true})
		}
	}
	want := h.want(t)
	w.account.Reserved = w.account.Reserved.Add(want)
	h.rooms = append(h.rooms, reservation{task: t, worker: w, want: want, until: h.state.now.Add(roomTime)})
}

func (h *shard) reserved(t *task) int {
	return slices.IndexFunc(h.rooms, func(r reservation) bool { return r.task == t })
}

// useRooms starts urgent tasks whose room is free now, and gives up
// reservations that are no longer needed.
func (h *shard) useRooms() {
	for i := len(h.rooms) - 1; i >= 0; i-- {
		r := h.rooms[i]
		waiting := r.task.state == describer.Pending && r.task.queued
		if waiting && !h.isRoomFree(r) && h.state.now.Before(r.until) && !r.worker.account.Closed {
			continue
		}
		h.rooms = slices.Delete(h.rooms, i, i+1)
		r.worker.account.Reserved = r.worker.account.Reserved.Sub(r.want)
		h.idle = false
		if waiting && !r.worker.account.Closed && r.want.Fits(room(r.task, r.worker.account)) {
			h.start(r.task, r.worker, r.want)
		}
	}
}

func (h *shard) isRoomFree(r reservation) bool {
	return r.want.Fits(r.worker.account.Free().Add(r.want))
}
