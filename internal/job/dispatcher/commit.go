package dispatcher

import "slices"

// commit sends what has changed, one batch at a time.
func (s *Shard) commit() {
	if s.pending || len(s.dirty) == 0 && s.unnamed == 0 || s.now.Sub(s.committed) < commitInterval {
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
	s.naming = s.usedWorkers()
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
			s.unnamed--
			s.changed = true
		}
	}
	for _, w := range s.workers {
		w.acknowledge()
	}
}

// usedWorkers names the workers that may have runs of this shard. Nothing is
// started on a worker before a successor would find it named.
func (s *Shard) usedWorkers() []string {
	used := make([]string, 0, len(s.roster))
	for _, w := range s.roster {
		used = append(used, w.reg.ID)
	}
	for _, id := range sortedKeys(s.inherited) {
		if s.workers[id] == nil {
			used = append(used, id)
		}
	}
	return used
}
