// Package placer chooses the worker for a task.
//
// A [Policy] ranks the open workers of a shard; it neither changes the
// accounts nor does I/O. Policies are exchangeable, and the baselines that
// measurements compare against are policies too.
package placer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Request is a task that wants a worker.
type Request struct {
	Task     describer.TaskID
	Job      *describer.Job
	Want     describer.Resources // to be granted, see Size
	ReturnTo string              // drained worker it is owed back to, or empty
	Avoid    map[string]bool     // workers on which it failed
	Deadline time.Time
}

// Choice is a policy's answer. Worker is empty if none is suitable, and Why
// says the reason.
type Choice struct {
	Worker string
	Reason string
}

// Policy chooses a worker for a request.
type Policy interface {
	Place(fleet *accountant.Fleet, r Request, now time.Time) Choice
}
