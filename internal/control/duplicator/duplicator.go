// Package duplicator decides which running tasks get a second run, a duplicate.
//
// # Load
//
// A few percent of the tasks take seven times as long as the others, and some workers are
// slow. One slow task delays its whole job, also when workers are free. Where a step
// allows it, such a straggler is started on another worker as well, and the first end
// counts:
//
//	for _, i := range duplicator.Choose(runs, load) {
//		start(tasks[i])
//	}
//
// # Limits
//
// A duplicate costs the work of a whole task, and all of it is wasted if the length belongs
// to the task and not to its worker. So a run has to exceed by far what is expected of it,
// and duplicates are a limited share of the running tasks.
package duplicator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits of duplicates.
const (
	// minFactor is the smallest multiple of its expected run time after which a run is a
	// straggler. With an objective of 1.5 times its critical path and 0.6 s, a job of one
	// step of 0.64 s ends in time if the duplicate starts after up to 1.4 times.
	minFactor = 1.25
	// deviations is the number of standard deviations of log run times that a run has to
	// exceed its expectation by. A fortieth of the runs does so by chance.
	deviations = 2
	// minRunTime is the shortest run time of a straggler. Below it, network delays and
	// the start of the second run take longer than what it saves.
	minRunTime = 200 * time.Millisecond
	// budgetShare is the largest number of duplicates, as a share of the running tasks. 3 %
	// stragglers at seven times are a sixth of the running tasks; each of them needs a
	// duplicate for a seventh of its time.
	budgetShare = 0.1
)

// Run is the only run of a task that may get a duplicate.
type Run struct {
	Ran       time.Duration // run time so far, at full pace
	Expected  time.Duration // expected run time of the task, at full pace
	Deviation float64       // standard deviation of the logarithm of the run time
	Remaining time.Duration // remaining run time by the progress that the run reports; negative if it isn't known
}

// Load is what the budget depends on.
type Load struct {
	Running    int // tasks with a run of which duplicates are allowed
	Duplicates int // those of them with two runs
}

// Budget returns how many tasks may have a duplicate.
func (l Load) Budget() int {
	if l.Running == 0 {
		return 0
	}
	return max(int(budgetShare*float64(l.Running)), 1)
}

// Left returns how many further duplicates may start.
func (l Load) Left() int { return l.Budget() - l.Duplicates }

// Threshold returns the run time from which the run is a straggler.
func (r *Run) Threshold() time.Duration {
	factor := max(minFactor, math.Exp(deviations*r.Deviation))
	return max(time.Duration(factor*float64(r.Expected)), minRunTime)
}

// IsStraggler reports whether a second run of the task is expected to end first. Runs
// without an expectation aren't stragglers.
func (r *Run) IsStraggler() bool {
	if r.Expected <= 0 || r.Ran < r.Threshold() {
		return false
	}
	return r.Remaining < 0 || r.Remaining > r.Expected
}

// overrun returns the run time as a multiple of the expected one.
func (r *Run) overrun() float64 { return float64(r.Ran) / float64(r.Expected) }

// Choose returns the indices of the stragglers, those that exceed their expectation most
// first. The caller starts duplicates in this order, up to load.Left().
func Choose(runs []Run, load Load) []int {
	if load.Left() <= 0 {
		return nil
	}
	var chosen []int
	for i := range runs {
		if runs[i].IsStraggler() {
			chosen = append(chosen, i)
		}
	}
	slices.SortStableFunc(chosen, func(a, b int) int { return cmp.Compare(runs[b].overrun(), runs[a].overrun()) })
	return chosen
}
