package dispatcher

import "dotterelcart.dev/dotterelcart/internal/job/specifier"

// An orphan is a run that a worker has, or may have, and that isn't the run of a task: the task has
// another one, as far as is known here, or is elsewhere, or isn't known. An orphan is stopped. Until it
// has ended, its task isn't started: its other run may have ended before it began, and the end of that one
// may arrive first.
//
// Shard.orphans counts them by task, as the task of an orphan may arrive later.

// addOrphan adds a run without a task to its worker and stops it.
func (s *Shard) addOrphan(r *run) {
	if s.orphans == nil {
		s.orphans = make(map[specifier.TaskID]int)
	}
	s.orphans[r.id]++
	r.worker.addRun(r)
	s.stopRun(r, "task needs no run")
}

// removeOrphan forgets an orphan that has ended.
func (s *Shard) removeOrphan(r *run) { decrement(s.orphans, r.id) }

// hasOrphan reports whether an orphan of the task may be active.
func (s *Shard) hasOrphan(t *task) bool { return len(s.orphans) > 0 && s.orphans[t.id()] > 0 }
