package reducer

import (
	"encoding/json"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// jobStatus describes a job as its book has it.
func (h *shard) jobStatus(j *job) *JobStatus {
	out := &JobStatus{
		Job:     j.ID,
		Shard:   h.id,
		State:   j.stateName(),
		Pending: j.counts[describer.Pending],
		Started: j.counts[describer.Started],
		Done:    j.counts[describer.Done],
		Failed:  j.counts[describer.Failed],
		MayHaveRun:     j.mayHaveRun(),
		Reason:  j.reasonText(),
	}
	if out.State == "done" {
		out.Results = make([]json.RawMessage, len(j.tasks))
		for i := range j.tasks {
			out.Results[i] = j.tasks[i].result
		}
	}
	return out
}

func (j *job) stateName() string {
	switch {
	case j.cancelled:
		return "cancelled"
	case j.isOver() && j.counts[describer.Failed] > 0:
		return "failed"
	case j.isOver():
		return "done"
	case j.counts[describer.Started] > 0 || j.counts[describer.Done] > 0:
		return "running"
	}
	return "accepted"
}

// reasonText returns the first reason that a task gives for not being done.
func (j *job) reasonText() string {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == describer.Done || t.state == describer.Started {
			continue
		}
		if t.policy != "" {
			return t.policy
		}
		if t.reason != "" && t.reason != reasonNotBegun {
			return t.reason
		}
	}
	return ""
}

func (s *State) status(e StatusRequested) {
	out := &Status{
		Daemon:   s.options.Daemon,
		Revision: s.config.Revision,
		Ready:    s.isReady(),
		StoreReachable:    s.reached,
	}
	for _, h := range s.order {
		if h.book == nil {
			continue
		}
		out.Shards = append(out.Shards, h.status())
		for _, w := range h.order {
			if e.Worker == "" || e.Worker == w.name {
				out.Workers = append(out.Workers, h.workerStatus(w, e.Worker != ""))
			}
		}
	}
	s.reply(Reply{Request: e.Request, Status: out})
}

func (h *shard) status() ShardStatus {
	out := ShardStatus{
		Shard:   h.id,
		Epoch:   h.epoch,
		Phase:   h.phase.String(),
		Workers: len(h.order),
		Done:    h.book.done,
		Evictions: h.book.evicted,
	}
	if h.phase == owning && h.isRecovering() {
		out.Phase = "recovering"
	}
	for _, w := range h.order {
		out.Started += len(w.runs)
	}
	for _, t := range h.teams {
		out.Pending += t.pending.Len()
	}
	return out
}

func (h *shard) workerStatus(w *worker, explain bool) WorkerStatus {
	out := WorkerStatus{
		Worker:   w.name,
		Capacity: w.account.Host.Capacity,
		Granted:  w.account.Granted,
		Tasks:    len(w.runs),
		ClosedReason:    h.closedBy(w),
		RestoreHold:     w.held,
	}
	if d, ok := h.state.drains[w.name]; ok {
		out.Drain = d.id + " " + string(d.state)
	}
	if explain {
		out.Interference = h.explain(w)
	}
	return out
}

// explain returns the interference estimates that concern the worker.
func (h *shard) explain(w *worker) []string {
	var out []string
	for _, service := range w.account.Host.Services {
		for _, class := range h.state.policies.Learner.Classes(service) {
			out = append(out, h.state.policies.Learner.Explain(service, class)...)
		}
	}
	return out
}
