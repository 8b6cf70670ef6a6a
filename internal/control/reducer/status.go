package reducer

import (
	"encoding/json"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// jobStatus returns the status of a job according to the shard's view.
func (sh *shard) jobStatus(j *job) *JobStatus {
	out := &JobStatus{
		Job:        j.ID,
		Shard:      sh.id,
		State:      j.stateName(),
		Pending:    j.counts[describer.Pending],
		Started:    j.counts[describer.Started],
		Done:       j.counts[describer.Done],
		Failed:     j.counts[describer.Failed],
		MayHaveRun: j.mayHaveRun(),
		Reason:     j.reasonText(),
	}
	if out.State == "done" {
		out.Results = make([]json.RawMessage, len(j.tasks))
		for i := range j.tasks {
			out.Results[i] = j.tasks[i].result
		}
	}
	return out
}

// stateName returns the job's state as callers see it. Finished tasks of a job that is
// not over count as running.
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

// reasonText returns the first reason why one of the job's tasks is pending, failed or
// cancelled, or an empty string.
func (j *job) reasonText() string {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == describer.Done || t.state == describer.Started {
			continue
		}
		if t.pendingReason != "" {
			return t.pendingReason
		}
		if t.reason != "" && t.reason != reasonNotStarted {
			return t.reason
		}
	}
	return ""
}

// replyStatus answers with a report on all owned shards, and on one or all workers.
func (s *State) replyStatus(e StatusRequested) {
	out := &Status{
		Daemon:         s.options.Daemon,
		Revision:       s.config.Revision,
		Ready:          s.isReady(),
		StoreReachable: s.storeReachable,
		Evacuations:    s.config.Evacuations,
	}
	for _, sh := range s.sortedShards {
		if sh.view == nil {
			continue
		}
		out.Shards = append(out.Shards, sh.status())
		for _, w := range sh.sortedWorkers {
			if e.Worker == "" || e.Worker == w.name {
				out.Workers = append(out.Workers, sh.workerStatus(w, e.Worker != ""))
			}
		}
	}
	s.reply(Reply{Request: e.Request, Status: out})
}

// status returns the summary of an owned shard.
func (sh *shard) status() ShardStatus {
	out := ShardStatus{
		Shard:     sh.id,
		Epoch:     sh.epoch,
		Phase:     sh.ownership.String(),
		Workers:   len(sh.sortedWorkers),
		Done:      sh.view.finished,
		Evictions: sh.view.evictions,
	}
	if sh.ownership == owning && sh.hasUnsyncedRuns() {
		out.Phase = "recovering"
	}
	for _, w := range sh.sortedWorkers {
		out.Started += len(w.runs)
	}
	for _, t := range sh.teams {
		out.Pending += t.pending.Len()
	}
	return out
}

// workerStatus describes one worker, with its interference estimates if explain is set.
func (sh *shard) workerStatus(w *worker, explain bool) WorkerStatus {
	out := WorkerStatus{
		Worker:           w.name,
		Capacity:         w.account.Host.Capacity,
		Granted:          w.account.Granted,
		Tasks:            len(w.runs),
		ClosedReason:     sh.closedReason(w),
		RestoreBlockedBy: w.restoreBlockedBy,
	}
	if d, ok := sh.state.drains[w.name]; ok {
		out.Drain = d.id + " " + string(d.state)
	}
	if explain {
		out.Interference = sh.explain(w)
	}
	return out
}

// explain returns the learned interference estimates for each service of the worker
// and each class of batch tasks, as text.
func (sh *shard) explain(w *worker) []string {
	var out []string
	for _, service := range w.account.Host.Services {
		for _, class := range sh.state.policies.Learner.Classes(service) {
			out = append(out, sh.state.policies.Learner.Explain(service, class)...)
		}
	}
	return out
}
