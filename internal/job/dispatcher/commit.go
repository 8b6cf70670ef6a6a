package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// commit sends what has changed, one batch at a time.
func (s *Shard) commit() {
	if s.pending || len(s.dirty) == 0 && !s.unnamed || s.now.Sub(s.committed) < commitInterval {
		return
	}
	n := min(len(s.dirty), commitChanges)
	changes := make([]Change, 0, n)
	s.sent = s.sent[:0]
	for _, j := range s.dirty[:n] {
		j.dirty = false
		j.sent = j.version
		change := Change{ID: j.spec.ID, Queue: j.spec.Queue, State: j.shown()}
		if j.final != "" {
			change.State = j.final
		} else {
			change.Progress = j.progress()
		}
		changes = append(changes, change)
		s.sent = append(s.sent, j)
	}
	s.dirty = slices.Delete(s.dirty, 0, n)
	s.batch++
	s.pending = true
	s.committed = s.now
	s.name()
	s.emit(Commit{Batch: s.batch, Changes: changes, Workers: s.naming})
}

// committedBatch takes in that a batch is durable, and lets the ends that
// caused it be acknowledged.
func (s *Shard) committedBatch(batch int64) {
	if batch != s.batch || !s.pending {
		return
	}
	s.pending = false
	s.contact = s.now
	for _, j := range s.sent {
		j.durable = j.sent
		if j.final != "" && !j.dirty {
			delete(s.jobs, j.spec.ID)
			s.ended[j.spec.ID] = s.now
		}
	}
	for _, id := range s.naming {
		if w := s.workers[id]; w != nil && !w.named {
			w.named = true
			s.changed = true
		}
	}
	for _, w := range s.workers {
		w.acknowledge()
	}
}

// name chooses the workers that the next commit names. Nothing is started on a
// worker before a durable commit names it, nor after one leaves it out.
func (s *Shard) name() {
	s.naming = s.usedWorkers()
	s.unnamed = false
	for _, w := range s.roster {
		if _, ok := slices.BinarySearch(s.naming, w.reg.ID); !ok {
			w.named = false
		}
	}
}

// usedWorkers returns the sorted ids of the workers that a successor has to
// hear from, or whose leases it has to let lapse, before it may start what it
// inherits.
func (s *Shard) usedWorkers() []string {
	used := make([]string, 0, len(s.roster))
	for _, w := range s.roster {
		_, inherited := s.inherited[w.reg.ID]
		if inherited || w.isUsed() {
			used = append(used, w.reg.ID)
		}
	}
	for id := range s.inherited {
		if s.workers[id] == nil {
			used = append(used, id)
		}
	}
	slices.Sort(used)
	return used
}

// isUsed reports whether the worker has runs, or may be given one.
func (w *worker) isUsed() bool {
	isSilent := w.failing > 0 || !w.missing.IsZero()
	return len(w.runs) > 0 || len(w.ends) > 0 || !isSilent
}

// WorkerLeases returns what a successor has to know of a shard that ends at now:
// the workers that may have runs, and for how long leases there may go on.
func (s *Shard) WorkerLeases(now time.Time) []recorder.WorkerLease {
	used := s.usedWorkers()
	left := make([]recorder.WorkerLease, 0, len(used))
	for _, id := range used {
		lapse := s.inherited[id].Sub(now)
		if w := s.workers[id]; w != nil {
			lapse = max(lapse, w.lapsed.Sub(now))
		}
		left = append(left, recorder.WorkerLease{Worker: id, Remaining: max(lapse, 0)})
	}
	return left
}
