package reducer

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/restorer"
)

// Times of drains.
const (
	goneAfter    = 10 * time.Minute // missing in the host list, a worker can't be restored
	proposeAgain = 5 * time.Second  // until the configuration shows a proposal
)

// drain is the obligation that concerns one worker.
type drain struct {
	id    string
	state describer.DrainState
}

// indexDrains lists the workers that still owe or are owed something.
func (s *State) indexDrains() {
	s.drains = make(map[string]drain)
	for _, d := range s.config.Drains {
		for _, name := range d.Workers {
			if !slices.Contains(d.Restored, name) {
				s.drains[name] = drain{id: d.ID, state: d.State}
			}
		}
	}
}

// reviewDrains advances drains and restores. Everything that it does is
// repeated until the configuration shows that it is fulfilled, so it doesn't
// matter who began it.
func (s *State) reviewDrains() {
	if len(s.drains) == 0 || !s.reached {
		return
	}
	s.beginRestores()
	for _, name := range sortedKeys(s.drains) {
		for _, h := range s.order {
			if w := h.workers[name]; w != nil && h.isDeciding() {
				h.reviewDrain(w, s.drains[name])
			}
		}
	}
}

// beginRestores proposes the restore of drains whose time is over.
func (s *State) beginRestores() {
	for _, d := range s.config.Drains {
		if d.State != describer.Draining || d.Until.IsZero() || d.Until.After(s.now) {
			continue
		}
		for _, h := range s.order {
			if h.isDeciding() && h.book != nil && h.hasAny(d.Workers) && h.mayPropose(d.ID) {
				s.emit(Propose{Drain: d.ID})
				break
			}
		}
	}
}

func (h *shard) hasAny(workers []string) bool {
	return slices.ContainsFunc(workers, func(name string) bool { return h.workers[name] != nil })
}

// mayPropose limits how often the same proposal is made.
func (h *shard) mayPropose(what string) bool {
	if at, ok := h.proposed[what]; ok && h.state.now.Sub(at) < proposeAgain {
		return false
	}
	h.proposed[what] = h.state.now
	return true
}

func (h *shard) reviewDrain(w *worker, d drain) {
	if d.state == describer.Draining {
		h.drainOff(w)
		return
	}
	h.restoreTo(w, d)
}

// drainOff stops the worker's runs with a checkpoint, a few at a time.
func (h *shard) drainOff(w *worker) {
	w.restore = restorer.State{}
	w.held = ""
	h.refresh(w)
	for _, t := range slices.Clone(w.runs) {
		if w.stops >= maxStops {
			return
		}
		if t.stop == nil {
			h.end(t, stopping{reason: "drained", checkpoint: true, drainedOff: w.name})
		}
	}
}

// restoreTo lets work back on the worker step by step, and records the end of
// the obligation once no drained task of it waits for a place.
func (h *shard) restoreTo(w *worker, d drain) {
	if h.book.restored[w.name] == d.id {
		h.limit(w, false, 0)
		h.propose(w.name)
		return
	}
	owed := h.book.owed[w.name]
	decision := restorer.Decide(restorer.Input{
		Now:       h.state.now,
		Worker:    w.account,
		Services:  h.state.services,
		Returning: owed,
		Removed:   !w.listed && h.state.now.Sub(w.gone) >= goneAfter,
		State:     &w.restore,
		Options:   h.state.policies.Restore,
	})
	w.held = decision.BlockedBy
	h.limit(w, !decision.Done, decision.Limit)
	h.refresh(w)
	if !decision.Done {
		return
	}
	if owed > 0 && w.listed {
		w.held = fmt.Sprintf("%d drained tasks wait for a place", owed)
		return
	}
	w.batch = h.journal.next()
	h.append(describer.Record{Kind: describer.DrainRestored, Worker: w.name, Key: d.id})
	h.journal.then(consequence{trust: w.name})
}

// limit bounds what batch tasks may hold on the worker.
func (h *shard) limit(w *worker, on bool, cpu int64) {
	if w.account.BatchLimited != on || w.account.BatchLimit != cpu {
		h.idle = false
	}
	w.account.BatchLimited = on
	w.account.BatchLimit = cpu
}

// propose asks for the configuration to show that the worker has its work
// back.
func (h *shard) propose(name string) {
	d, ok := h.state.drains[name]
	if w := h.workers[name]; w == nil || !h.journal.isDurable(w.batch) {
		return
	}
	if ok && d.state == describer.Restoring && h.book.restored[name] == d.id && h.mayPropose(name) {
		h.state.emit(Propose{Drain: d.id, Worker: name})
	}
}
