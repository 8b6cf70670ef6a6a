package dispatcher

import (
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// endState is what has happened to an end that isn't acknowledged yet.
type endState struct {
	leaseExpiries int    // how often the lease of its worker had expired before
	restart       string // the first start of the task after the end, if that is done; empty without one
}

// noteStart records the start of a task of which workers list an end that is done. An order that
// is carried out late doesn't count.
func (s *simulation) noteStart(w *fakeWorker, e StartRun, step *specifier.Step) {
	if step.AllowDuplicates || s.lateCall {
		return
	}
	for _, other := range s.workers {
		for _, end := range other.pendingEnds {
			state := other.endStates[end.Number]
			if end.Task == e.Task && end.Outcome == specifier.OutcomeDone && state.restart == "" {
				state.restart = fmt.Sprintf("run %d on %s at %s", e.Run, w.id, s.now.Sub(epoch))
				other.endStates[end.Number] = state
			}
		}
	}
}

// acknowledge records that an end was acknowledged, and checks that its task hasn't started since
// the end if that is done. Neither counts if the lease of the worker has expired between the two:
// then the end has no effect, and the task may start again.
func (w *fakeWorker) acknowledge(end specifier.End) {
	state := w.endStates[end.Number]
	delete(w.endStates, end.Number)
	hasExpired := state.leaseExpiries < w.leaseExpiries
	if state.restart != "" && !hasExpired {
		w.sim.fail("the end of %s run %d on %s is acknowledged after %s has started", end.Task, end.Run, w.id, state.restart)
	}
	if !hasExpired || !w.sim.exemptsExpired {
		w.sim.recordAckedEnd(end)
	}
}
