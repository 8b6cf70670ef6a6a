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
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Fleet is the capacity accounting of one shard's workers.
type Fleet struct {
	Workers map[string]*Worker

	names []string // cache of Names
}

// Worker is the account of one worker.
type Worker struct {
	Host              describer.Host
	Grants            map[describer.TaskID]Grant      // changed by Hold, Adopt, Resize and Drop only, but for reports
	Granted           describer.Resources             // sum of Grants
	Reserved          describer.Resources             // kept for the backend server, never granted
	Used              describer.Resources             // latest lagging report
	Reports           map[string]runner.LatencyReport // latest lagging report by service
	Closed            bool                            // draining, drained, leaving or set aside: nothing is placed here
	OpenedAt          time.Time                       // when Closed last became false; gradual restore starts from it
	BatchBlockedUntil time.Time                       // no batch task is placed before this time
	BatchLimited      bool                            // restoring: batch grants stay within Limit
	BatchLimit        int64                           // millicores of batch grants while Limited
	LastInventory     time.Time                       // last inventory

	jobs    map[string]int   // grants by job
	classes map[string]int64 // millicores of batch grants by class
	batch   int64            // sum of classes
}

// Grant is what one run holds.
type Grant struct {
	Token       describer.Token
	Class       string
	Team        string
	Kind        describer.Kind
	Priority    describer.Priority
	Resources   describer.Resources
	Used        describer.Resources // latest lagging report
	Progress    float64             // latest lagging report, 0 to 1
	ThrottledTo int64               // millicores it is throttled to for a service's sake; 0 is not throttled
	ReturnTo    string              // drained worker that the task is owed back to, or empty
	Since       time.Time
}

// Names returns the workers' names in order. The slice must not be changed.
func (f *Fleet) Names() []string {
	if !f.isCached() {
		f.names = slices.Sorted(maps.Keys(f.Workers))
	}
	return f.names
}

// isCached reports whether names holds exactly the keys of Workers.
func (f *Fleet) isCached() bool {
	if len(f.names) != len(f.Workers) {
		return false
	}
	for _, name := range f.names {
		if _, ok := f.Workers[name]; !ok {
			return false
		}
	}
	return true
}

// Clone returns a copy whose grants can be changed independently.
func (w *Worker) Clone() *Worker {
	c := *w
	c.Grants = maps.Clone(w.Grants)
	c.Reports = maps.Clone(w.Reports)
	c.jobs = maps.Clone(w.jobs)
	c.classes = maps.Clone(w.classes)
	return &c
}

// Free returns the capacity that is neither granted nor reserved.
func (w *Worker) Free() describer.Resources {
	return w.Host.Capacity.Sub(w.Granted).Sub(w.Reserved)
}

// FreeForBatch returns what a new batch grant may take: Free, within Limit while the
// worker is being restored, and nothing while it is closed.
func (w *Worker) FreeForBatch() describer.Resources {
	if w.Closed {
		return describer.Resources{}
	}
	free := w.Free()
	if w.BatchLimited {
		free.CPU = min(free.CPU, w.BatchLimit-w.BatchCPU())
	}
	return free
}

// BatchCPU returns the millicores granted to batch tasks.
func (w *Worker) BatchCPU() int64 { return w.batch }

// Running returns how many tasks of a job hold grants.
func (w *Worker) Running(job string) int { return w.jobs[job] }

// Tasks returns the tasks that hold grants, ordered by job and index.
func (w *Worker) Tasks() []describer.TaskID {
	return slices.SortedFunc(maps.Keys(w.Grants), compareTasks)
}

// Share returns the share of the worker's processors that r is.
func (w *Worker) Share(r describer.Resources) float64 {
	return float64(r.CPU) / float64(max(w.Host.Capacity.CPU, 1))
}

// BatchShares returns for each class of batch tasks the share of the worker's
// processors, 0 to 1, that its grants hold.
func (w *Worker) BatchShares() map[string]float64 {
	if w.Host.Capacity.CPU <= 0 {
		return nil
	}
	shares := make(map[string]float64, len(w.classes)+1)
	for class, cpu := range w.classes {
		shares[class] = float64(cpu) / float64(w.Host.Capacity.CPU)
	}
	return shares
}

// Load returns the greatest share of slots in use that a service reported.
func (w *Worker) Load() float64 {
	load := 0.0
	for _, r := range w.Reports {
		load = max(load, r.Load)
	}
	return load
}

// Allocate adds a grant. It returns an error and changes nothing if the grant does not fit or
// the task holds one already.
func (w *Worker) Allocate(task describer.TaskID, g Grant) error {
	if _, ok := w.Grants[task]; ok {
		return fmt.Errorf("accountant: %s already holds a grant on %s", task, w.Host.Name)
	}
	if isNegative(g.Resources) || !g.Resources.Fits(w.Free()) {
		return fmt.Errorf("accountant: %s does not fit on %s", task, w.Host.Name)
	}
	w.Adopt(task, g)
	return nil
}

// Adopt adds a grant that exists already, whether it fits or not: a run that
// a former owner started. The task must not hold one.
func (w *Worker) Adopt(task describer.TaskID, g Grant) {
	if w.Grants == nil {
		w.Grants = make(map[describer.TaskID]Grant)
	}
	if w.jobs == nil {
		w.jobs = make(map[string]int)
		w.classes = make(map[string]int64)
	}
	w.jobs[task.Job]++
	w.count(g, g.Resources.CPU)
	w.Grants[task] = g
	w.Granted = w.Granted.Add(g.Resources)
}

// count keeps the sums of batch grants.
func (w *Worker) count(g Grant, cpu int64) {
	if g.Kind != describer.Batch {
		return
	}
	w.batch += cpu
	w.classes[g.Class] += cpu
	if w.classes[g.Class] == 0 {
		delete(w.classes, g.Class)
	}
}

// Resize changes the task's grant if it is of the given token. It returns an
// error and changes nothing if there is no such grant or the new one does not
// fit.
func (w *Worker) Resize(task describer.TaskID, token describer.Token, to describer.Resources) error {
	g, ok := w.Grants[task]
	if !ok || g.Token != token {
		return fmt.Errorf("accountant: %s holds no grant under this token on %s", task, w.Host.Name)
	}
	more := to.Sub(g.Resources)
	if isNegative(to) || !fitsGrowth(more, w.Free()) {
		return fmt.Errorf("accountant: %s does not fit on %s at its new size", task, w.Host.Name)
	}
	w.count(g, more.CPU)
	g.Resources = to
	w.Grants[task] = g
	w.Granted = w.Granted.Add(more)
	return nil
}

// Release removes the task's grant if it is of the given token.
func (w *Worker) Release(task describer.TaskID, token describer.Token) {
	g, ok := w.Grants[task]
	if !ok || g.Token != token {
		return
	}
	delete(w.Grants, task)
	w.count(g, -g.Resources.CPU)
	if w.jobs[task.Job]--; w.jobs[task.Job] == 0 {
		delete(w.jobs, task.Job)
	}
	w.Granted = w.Granted.Sub(g.Resources)
}

// fitsGrowth is like Fits, but components that shrink always fit: an
// overcommitted worker, whose capacity fell, may still be relieved.
func fitsGrowth(more, free describer.Resources) bool {
	return (more.CPU <= 0 || more.CPU <= free.CPU) &&
		(more.Memory <= 0 || more.Memory <= free.Memory) &&
		(more.Accelerators <= 0 || more.Accelerators <= free.Accelerators)
}

// isNegative guards the accounts: a negative grant would make room that is
// not there.
func isNegative(r describer.Resources) bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0
}

func compareTasks(a, b describer.TaskID) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	return a.Index - b.Index
}
