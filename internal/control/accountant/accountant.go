// Package accountant keeps the resources granted on each worker of a shard, so
// that their sum never exceeds a worker's capacity.
//
// # Single writer
//
// A [Fleet] belongs to the one owner of a shard. A grant is held from the
// decision to start a run until the run is known to have ended. If the reply to
// a start is lost, its grant stays, because the run may exist.
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

	names []string // cached result of Names
}

// Worker is the account of one worker.
type Worker struct {
	Host              describer.Host                  // the worker's entry in the host list
	Grants            map[describer.TaskID]Grant      // changed only by Allocate, Adopt, Resize and Release, except for reported values
	Granted           describer.Resources             // sum of Grants
	Reserved          describer.Resources             // resources of the backend server, never granted
	Used              describer.Resources             // measured use in the latest report, which is delayed
	Reports           map[string]runner.LatencyReport // latest report by service, which is delayed
	Closed            bool                            // draining, drained, leaving or quarantined; nothing is placed on the worker
	OpenedAt          time.Time                       // time when Closed last became false, from which a gradual restore starts
	BatchBlockedUntil time.Time                       // end of the time in which no batch task is placed on the worker
	BatchLimited      bool                            // whether BatchLimit applies, as during a restore
	BatchLimit        int64                           // maximum millicores of batch grants while BatchLimited
	LastInventory     time.Time                       // time of the last inventory

	jobs    map[string]int   // number of grants by job
	classes map[string]int64 // millicores of batch grants by class
	batch   int64            // sum of classes
}

// Grant is what one run of a task holds on a worker.
type Grant struct {
	Token       describer.Token // fencing token of the run
	Class       string          // interference class
	Team        string
	Kind        describer.Kind
	Priority    describer.Priority
	Resources   describer.Resources
	Used        describer.Resources // measured use in the latest report, which is delayed
	Progress    float64             // reported progress, 0 to 1
	ThrottledTo int64               // millicores to which the escalator has throttled it; 0 if not throttled
	ReturnTo    string              // drained worker that the task returns to after the drain; empty if none
	Since       time.Time           // start of the run
}

// Names returns the sorted names of the workers. The caller must not change the
// slice.
func (f *Fleet) Names() []string {
	if !f.isCached() {
		f.names = slices.Sorted(maps.Keys(f.Workers))
	}
	return f.names
}

// isCached reports whether names contains exactly the keys of Workers.
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

// FreeForBatch returns the resources that a new batch grant may take: those that
// are free, within BatchLimit if it applies, and none if the worker is closed.
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

// Share returns r's processors as a share of the worker's.
func (w *Worker) Share(r describer.Resources) float64 {
	return float64(r.CPU) / float64(max(w.Host.Capacity.CPU, 1))
}

// BatchShares returns for each class of batch tasks the share of the worker's
// processors that its grants hold, 0 to 1.
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

// Load returns the highest load that a service of the worker reported, as the
// share of request slots in use.
func (w *Worker) Load() float64 {
	load := 0.0
	for _, r := range w.Reports {
		load = max(load, r.Load)
	}
	return load
}

// Allocate adds a grant. It returns an error and changes nothing if the grant
// does not fit or the task already has one.
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

// Adopt adds the grant of a run that exists already, such as one that a former
// owner started, even if it does not fit. The task must not have a grant.
func (w *Worker) Adopt(task describer.TaskID, g Grant) {
	if w.Grants == nil {
		w.Grants = make(map[describer.TaskID]Grant)
	}
	if w.jobs == nil {
		w.jobs = make(map[string]int)
		w.classes = make(map[string]int64)
	}
	w.jobs[task.Job]++
	w.addBatchCPU(g, g.Resources.CPU)
	w.Grants[task] = g
	w.Granted = w.Granted.Add(g.Resources)
}

// addBatchCPU adds millicores of the grant, which may be negative, to the sums of
// batch grants.
func (w *Worker) addBatchCPU(g Grant, cpu int64) {
	if g.Kind != describer.Batch {
		return
	}
	w.batch += cpu
	w.classes[g.Class] += cpu
	if w.classes[g.Class] == 0 {
		delete(w.classes, g.Class)
	}
}

// Resize changes the resources of the task's grant with the given token. It
// returns an error and changes nothing if there is no such grant or the new size
// does not fit.
func (w *Worker) Resize(task describer.TaskID, token describer.Token, to describer.Resources) error {
	g, ok := w.Grants[task]
	if !ok || g.Token != token {
		return fmt.Errorf("accountant: task %s has no grant with this token on worker %s", task, w.Host.Name)
	}
	growth := to.Sub(g.Resources)
	if isNegative(to) || !fitsGrowth(growth, w.Free()) {
		return fmt.Errorf("accountant: task %s does not fit on worker %s at its new size", task, w.Host.Name)
	}
	w.addBatchCPU(g, growth.CPU)
	g.Resources = to
	w.Grants[task] = g
	w.Granted = w.Granted.Add(growth)
	return nil
}

// Release removes the task's grant if it has the given token.
func (w *Worker) Release(task describer.TaskID, token describer.Token) {
	g, ok := w.Grants[task]
	if !ok || g.Token != token {
		return
	}
	delete(w.Grants, task)
	w.addBatchCPU(g, -g.Resources.CPU)
	if w.jobs[task.Job]--; w.jobs[task.Job] == 0 {
		delete(w.jobs, task.Job)
	}
	w.Granted = w.Granted.Sub(g.Resources)
}

// fitsGrowth is like Resources.Fits, but components that shrink always fit, so
// that grants can be reduced on a worker that is overcommitted because its
// capacity fell.
func fitsGrowth(growth, free describer.Resources) bool {
	return (growth.CPU <= 0 || growth.CPU <= free.CPU) &&
		(growth.Memory <= 0 || growth.Memory <= free.Memory) &&
		(growth.Accelerators <= 0 || growth.Accelerators <= free.Accelerators)
}

// isNegative reports whether a component is negative. A negative grant would add
// capacity that does not exist.
func isNegative(r describer.Resources) bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0
}

// compareTasks orders tasks by job and index.
func compareTasks(a, b describer.TaskID) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	return a.Index - b.Index
}
