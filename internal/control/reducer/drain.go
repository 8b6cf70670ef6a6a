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
	missingLimit     = 10 * time.Minute // missing in the host list, a worker can't be restored
	proposalInterval = 5 * time.Second  // until the configuration shows a proposal
)

// drain is the obligation that concerns one worker.
type workerDrain struct {
	id    string
	state describer.DrainState
}

// indexDrains lists the workers that still owe or are owed something.
func (s *State) indexDrains() {
	s.drains = make(map[string]workerDrain)
	for _, d := range s.config.Drains {
		for _, name := range d.Workers {
			if !slices.Contains(d.Restored, name) {
				s.drains[name] = workerDrain{id: d.ID, state: d.State}
			}
		}
	}
}

// reviewDrains advances drains and restores. Everything that it does is
// repeated until the configuration shows that it is fulfilled, so it doesn't
// matter who began it.
func (s *State) advanceDrains() {
	if len(s.drains) == 0 || !s.storeReachable {
		return
	}
	s.proposeRestores()
	for _, name := range sortedKeys(s.drains) {
		for _, sh := range s.sortedShards {
			if w := sh.workers[name]; w != nil && sh.isWritable() {
				sh.advanceDrain(w, s.drains[name])
			}
		}
	}
}

// beginRestores proposes the restore of drains whose time is over.
func (s *State) proposeRestores() {
	for _, d := range s.config.Drains {
		if d.State != describer.Draining || d.Until.IsZero() || d.Until.After(s.now) {
			continue
		}
		for _, sh := range s.sortedShards {
			if sh.isWritable() && sh.view != nil && sh.hasAnyWorker(d.Workers) && sh.mayPropose(d.ID) {
				s.emit(ProposeDrainUpdate{Drain: d.ID})
				break
			}
		}
	}
}

func (sh *shard) hasAnyWorker(workers []string) bool {
	return slices.ContainsFunc(workers, func(name string) bool { return sh.workers[name] != nil })
}

// mayPropose limits how often the same proposal is made.
func (sh *shard) mayPropose(what string) bool {
	if at, ok := sh.proposedAt[what]; ok && sh.state.now.Sub(at) < proposalInterval {
		return false
	}
	sh.proposedAt[what] = sh.state.now
	return true
}

func (sh *shard) advanceDrain(w *worker, d workerDrain) {
	if d.state == describer.Draining {
		sh.stopDrainedRuns(w)
		return
	}
	sh.advanceRestore(w, d)
}

// drainOff stops the worker's runs with a checkpoint, a few at a time.
func (sh *shard) stopDrainedRuns(w *worker) {
	w.restoreState = restorer.State{}
	w.restoreHold = ""
	sh.updateClosed(w)
	for _, t := range slices.Clone(w.runs) {
		if w.pendingStops >= maxStops {
			return
		}
		if t.stop == nil {
			sh.stopRun(t, stopRequest{reason: "drained", checkpoint: true, drainedOff: w.name})
		}
	}
}

// restoreTo lets work back on the worker step by step, and records the end of
// the obligation once no drained task of it waits for a place.
func (sh *shard) advanceRestore(w *worker, d workerDrain) {
	if sh.view.restored[w.name] == d.id {
		sh.setBatchLimit(w, false, 0)
		sh.proposeRestored(w.name)
		return
	}
	owed := sh.view.drainedPending[w.name]
	decision := restorer.Decide(restorer.Input{
		Now:       sh.state.now,
		Worker:    w.account,
		Services:  sh.state.services,
		Returning: owed,
		Removed:   !w.listed && sh.state.now.Sub(w.missingSince) >= missingLimit,
		State:     &w.restoreState,
		Options:   sh.state.policies.Restoration,
	})
	w.restoreHold = decision.BlockedBy
	sh.setBatchLimit(w, !decision.Done, decision.Limit)
	sh.updateClosed(w)
	if !decision.Done {
		return
	}
	if owed > 0 && w.listed {
		w.restoreHold = fmt.Sprintf("%d drained tasks wait for a place", owed)
		return
	}
	w.restoredBatch = sh.journal.nextBatch()
	sh.appendRecord(describer.Record{Kind: describer.DrainRestored, Worker: w.name, Key: d.id})
	sh.journal.whenDurable(followUp{restoredWorker: w.name})
}

// limit bounds what batch tasks may hold on the worker.
func (sh *shard) setBatchLimit(w *worker, on bool, cpu int64) {
	if w.account.BatchLimited != on || w.account.BatchLimit != cpu {
		sh.placementIdle = false
	}
	w.account.BatchLimited = on
	w.account.BatchLimit = cpu
}

// propose asks for the configuration to show that the worker has its work
// back.
func (sh *shard) proposeRestored(name string) {
	d, ok := sh.state.drains[name]
	if w := sh.workers[name]; w == nil || !sh.journal.isDurable(w.restoredBatch) {
		return
	}
	if ok && d.state == describer.Restoring && sh.view.restored[name] == d.id && sh.mayPropose(name) {
		sh.state.emit(ProposeDrainUpdate{Drain: d.id, Worker: name})
	}
}
