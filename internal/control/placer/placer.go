// Package placer chooses the worker for a task.
//
// A [Policy] chooses among the workers of one shard. It neither changes the
// accounts nor does I/O, so policies can be exchanged. [InterferenceAware] is
// the default policy; the others are simple baselines to measure it against.
//
// The package also decides how large a task's grant is ([SizeGrant],
// [ResizeGrant]) and which tasks make way for an urgent one ([Preempt]).
package placer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Request is a task to be placed.
type Request struct {
	Task     describer.TaskID
	Job      *describer.Job
	Want     describer.Resources // grant to be held, see SizeGrant
	ReturnTo string              // drained worker that the task ran on and returns to; empty if none
	Avoid    map[string]bool     // names of workers not to be used, such as those on which the task failed
	Deadline time.Time           // wanted end; zero if none
}

// Choice is a policy's result. Worker is empty if none is suitable; Reason then
// says why, for operators.
type Choice struct {
	Worker string
	Reason string
}

// Policy chooses a worker for a request.
type Policy interface {
	// Place returns the worker on which the request is to be placed. It must not
	// change the fleet.
	Place(fleet *accountant.Fleet, r Request, now time.Time) Choice
}
