package specifier

import (
	"slices"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Worker is one life of a host that runs tasks, as it registered itself.
type Worker struct {
	ID          string
	Incarnation int64 // start of this life, Unix milliseconds; an id may be born again
	Address     string
	Domain      string // failure domain
	Service     string
	Host        string // that it is a life of
	Capacity    describer.Resources
	Labels      []string
	Draining    bool
	Remaining   time.Duration // while draining: least time before it leaves
}

// HasLabel reports whether the worker has the label; the empty label is always there.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Rack is the worker's rack label, or empty.
func (w *Worker) Rack() string {
	for _, label := range w.Labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of runs.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"  // by its own fault or the worker's
	OutcomeStopped        Outcome = "stopped" // on our order
	OutcomeLeaseExpired   Outcome = "lapsed"  // its lease ended
	OutcomeGangBroken     Outcome = "broken"  // another member of its gang ended
	OutcomeGangIncomplete Outcome = "alone"   // the other members of its gang did not come
)

// Run is a run that a worker lists as active.
type Run struct {
	Task            TaskID
	Number          int64
	Checkpoint      string
	ProgressPercent int     // of the work that is done; of a lasting task 100 when it is at work
	Metric          float64 // last half second: tail latency in ms of a task with a target, otherwise CPU in use, in thousandths of a core
}

// End is a run that has ended. Numbers rise within one life of the worker.
type End struct {
	Number     int64
	Task       TaskID
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Inventory is what a worker lists: its runs, and the ends that were not yet
// acknowledged.
type Inventory struct {
	Incarnation int64
	Clock       time.Duration // worker's steady clock
	Active      []Run
	Ended       []End
}
