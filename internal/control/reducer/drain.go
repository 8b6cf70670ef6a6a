package reducer

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/restorer"
)

const (
	// missingLimit is how long a worker may be missing from the host list before its
	// restore ends without it.
	missingLimit = 10 * time.Minute

	// proposalInterval is the time between repetitions of a proposal that the
	// configuration does not show yet.
	proposalInterval = 5 * time.Second
)

// workerDrain is the drain of one worker. While it is draining, runs are moved off the
// worker; while it is restoring, batch work is gradually allowed back.
type workerDrain struct {
	id    string
	state describer.DrainState
}

// indexDrains rebuilds the index of drains by worker from the configuration. Workers
// whose restore is complete are left out.
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

// advanceDrains takes the next steps of all drains and restores. Each step is repeated
// until the configuration shows its result, so a new owner can continue what another
// one began.
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

// proposeRestores proposes to start the restore of each drain whose time is over and
// that concerns a worker of an owned shard.
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

// mayPropose reports whether the proposal may be sent now, and if so notes the time.
// A proposal is identified by its drain id or worker name.
func (sh *shard) mayPropose(id string) bool {
	if at, ok := sh.proposedAt[id]; ok && sh.state.now.Sub(at) < proposalInterval {
		return false
	}
	sh.proposedAt[id] = sh.state.now
	return true
}

func (sh *shard) advanceDrain(w *worker, d workerDrain) {
	if d.state == describer.Draining {
		sh.stopDrainedRuns(w)
		return
	}
	sh.advanceRestore(w, d)
}

// stopDrainedRuns stops the worker's runs with a checkpoint, at most maxStops at a time.
func (sh *shard) stopDrainedRuns(w *worker) {
	w.restoreState = restorer.State{}
	w.restoreBlockedBy = ""
	sh.updateClosed(w)
	for _, t := range slices.Clone(w.runs) {
		if w.pendingStops >= maxStops {
			return
		}
		if t.stop == nil {
			sh.stopRun(t, stopRequest{reason: "drained", checkpoint: true, drainedFrom: w.name})
		}
	}
}

// advanceRestore raises the limit on batch work of the worker step by step. It records
// the end of the restore when the last step is done and no task that was drained from the
// worker is pending, or when the worker has been missing for too long.
func (sh *shard) advanceRestore(w *worker, d workerDrain) {
	if sh.view.restored[w.name] == d.id {
		sh.setBatchLimit(w, false, 0)
		sh.proposeRestored(w.name)
		return
	}
	if sh.isEvacuated() && w.listed {
		// Nothing can return to the worker. The restore starts over after the evacuation.
		w.restoreState = restorer.State{}
		w.restoreBlockedBy = sh.state.evacuationReason(sh.config.Domain)
		return
	}
	pending := sh.view.drainedPending[w.name]
	decision := restorer.Decide(restorer.Input{
		Now:       sh.state.now,
		Worker:    w.account,
		Services:  sh.state.services,
		Returning: pending,
		Removed:   !w.listed && sh.state.now.Sub(w.missingSince) >= missingLimit,
		State:     &w.restoreState,
		Options:   sh.state.policies.Restoration,
	})
	w.restoreBlockedBy = decision.BlockedBy
	sh.setBatchLimit(w, !decision.Done, decision.Limit)
	sh.updateClosed(w)
	if !decision.Done {
		return
	}
	if pending > 0 && w.listed {
		w.restoreBlockedBy = fmt.Sprintf("%d drained tasks wait for a place", pending)
		return
	}
	w.restoredBatch = sh.journal.nextBatch()
	sh.appendRecord(describer.Record{Kind: describer.DrainRestored, Worker: w.name, Key: d.id})
	sh.journal.whenDurable(followUp{restoredWorker: w.name})
}

// setBatchLimit limits the CPU, in millicores, that batch tasks may be granted on the
// worker, or removes the limit if on is false.
func (sh *shard) setBatchLimit(w *worker, on bool, cpu int64) {
	if w.account.BatchLimited != on || w.account.BatchLimit != cpu {
		sh.placementIdle = false
	}
	w.account.BatchLimited = on
	w.account.BatchLimit = cpu
}

// proposeRestored proposes to mark the worker as restored in the configuration, once
// the record of it is durable.
func (sh *shard) proposeRestored(name string) {
	d, ok := sh.state.drains[name]
	if w := sh.workers[name]; w == nil || !sh.journal.isDurable(w.restoredBatch) {
		return
	}
	if ok && d.state == describer.Restoring && sh.view.restored[name] == d.id && sh.mayPropose(name) {
		sh.state.emit(ProposeDrainUpdate{Drain: d.id, Worker: name})
	}
}
