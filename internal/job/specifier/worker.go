package specifier

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Worker is the registration of one incarnation of a worker.
type Worker struct {
	ID          string
	Incarnation int64  // start time, Unix milliseconds; increases when the worker restarts
	Address     string // where the worker takes orders
	Domain      string // failure domain
	Service     string // service whose tasks it runs
	Host        string // host machine
	Capacity    describer.Resources
	Labels      []string
	Draining    bool          // it is to leave, and takes no new runs
	Remaining   time.Duration // while draining: minimum time until the worker leaves

	ColdRemaining time.Duration // for this long the worker remains slow; 0 if it isn't
}

// HasLabel reports whether the worker has the label. Every worker has the empty
// label.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Rack returns the worker's rack label, or "" without one. Rack labels start
// with "r" and contain "-".
func (w *Worker) Rack() string {
	for _, label := range w.Labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

// Group returns the name of the group of workers that always stay together: those
// of one rack, or without a rack label those of one of some groups of hosts.
func (w *Worker) Group() string {
	if rack := w.Rack(); rack != "" {
		return w.Domain + "/" + rack
	}
	return w.Domain + "/#" + strconv.FormatUint(xxhash.Sum64String(cmp.Or(w.Host, w.ID))%unlabelledGroups, 10)
}

// unlabelledGroups is the number of groups of workers without a rack label in a
// failure domain.
const unlabelledGroups = 32

// Outcome is how a run ended. The values are sent by workers.
type Outcome string

// Outcomes of runs.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"  // the task or its worker failed
	OutcomeStopped        Outcome = "stopped" // stopped by order of the shard's owner
	OutcomeLeaseExpired   Outcome = "lapsed"  // the lease of the run expired
	OutcomeGangBroken     Outcome = "broken"  // another run of its gang ended
	OutcomeGangIncomplete Outcome = "alone"   // the other runs of its gang didn't start
)

// Run is one execution of a task, as its worker lists it while it is active.
type Run struct {
	Task            TaskID
	Number          int64  // increases with each run of the task
	Checkpoint      string // last checkpoint, empty without one
	ProgressPercent int    // percentage of the work that is done; 100 for a long-running task that is ready
	// Metric covers the last half second: of a task with a latency target it is
	// the tail latency in ms, of other tasks the CPU usage in millicores.
	Metric float64
}

// End reports that a run has ended. Number increases within one incarnation of
// the worker; the worker lists the end until that number is acknowledged.
type End struct {
	Number     int64
	Task       TaskID
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Inventory is a worker's list of its active runs and of the ends that haven't
// been acknowledged. A worker may list only the first of many ends.
type Inventory struct {
	Incarnation int64
	Clock       time.Duration // reading of the worker's monotonic clock
	Active      []Run
	Ended       []End
	MoreEnds    bool // there may be ends after those in Ended
}
