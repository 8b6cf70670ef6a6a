// Package accountant keeps what every worker of a shard has given away, so
// that the sum of grants never exceeds a worker's capacity.
//
// # Single writer
//
// A [Fleet] belongs to the one owner of a shard. A grant is held from the
// moment a start is decided until the run is known to be over; a start whose
// answer was lost keeps its grant.
package accountant

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Fleet is the capacity accounting of one shard's workers.
type Fleet struct {
	Workers map[string]*Worker
}

// Worker is the account of one worker.
type Worker struct {
	Host    describer.Host
	Grants  map[describer.TaskID]Grant
	Granted describer.Resources // sum of Grants
	Used    describer.Resources // latest lagging report
	Closed  bool                // draining, drained, leaving or set aside: nothing is placed here
	Opened  time.Time           // when Closed last became false; gradual restore starts from it
	Heard   time.Time           // last inventory
}

// Grant is what one run holds.
type Grant struct {
	Token     describer.Token
	Class     string
	Team      string
	Kind      describer.Kind
	Priority  describer.Priority
	Resources describer.Resources
	Since     time.Time
}

// Free returns the capacity that is not granted.
func (w *Worker) Free() describer.Resources { return w.Host.Capacity.Sub(w.Granted) }

// Hold adds a grant. It returns an error and changes nothing if the grant does not fit or
// the task holds one already.
func (w *Worker) Hold(task describer.TaskID, g Grant) error {
	if _, ok := w.Grants[task]; ok {
		return fmt.Errorf("accountant: %s already holds a grant on %s", task, w.Host.Name)
	}
	if !g.Resources.Fits(w.Free()) {
		return fmt.Errorf("accountant: %s does not fit on %s", task, w.Host.Name)
	}
	if w.Grants == nil {
		w.Grants = make(map[describer.TaskID]Grant)
	}
	w.Grants[task] = g
	w.Granted = w.Granted.Add(g.Resources)
	return nil
}

// Drop removes the task's grant if it is of the given token.
func (w *Worker) Drop(task describer.TaskID, token describer.Token) {
	g, ok := w.Grants[task]
	if !ok || g.Token != token {
		return
	}
	delete(w.Grants, task)
	w.Granted = w.Granted.Sub(g.Resources)
}
