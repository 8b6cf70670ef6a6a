package demonstrator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
)

const (
	drainStart     = 0.25 // fraction of the load's duration after which the drain begins
	drainLength    = 0.25 // fraction of the load's duration that the drain lasts
	drainedWorkers = 2    // number of workers that are drained
	pollInterval   = 50 * time.Millisecond
)

// drainRun drains workers for some time and observes that they become idle and
// get their work back.
type drainRun struct {
	deployment *deployer.Deployment
	options    Options
	workers    []*hoster.Worker
	served     chan struct{} // closed once every worker serves requests again, or the drain has failed

	mu      sync.Mutex
	state   string          // shown in the progress output
	ended   bool            // whether no drain is in force any more
	resumed map[string]bool // workers that have served requests during the restore
	idle    map[string]bool // workers on which no task ran during the drain
}

// newDrainRun chooses the first workers of the first domain.
func newDrainRun(d *deployer.Deployment, o Options) *drainRun {
	return &drainRun{
		deployment: d, options: o, workers: d.Domains[0].Workers[:drainedWorkers], served: make(chan struct{}),
		state: "not begun", resumed: make(map[string]bool), idle: make(map[string]bool),
	}
}

// run drains the workers and waits until all have been idle and served requests
// again, and the restore is complete. It gives up when ctx ends.
func (r *drainRun) run(ctx context.Context) {
	if !r.drainUntilServing(ctx) {
		return
	}
	if err := deployer.Retry(ctx, func() error { return r.checkEnded(ctx) }); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.state = "restored"
}

// drainUntilServing drains the workers and waits until all have been idle and
// served requests again. It reports whether they have.
func (r *drainRun) drainUntilServing(ctx context.Context) bool {
	defer close(r.served)
	if !deployer.Sleep(ctx, time.Duration(float64(r.length())*drainStart)) {
		return false
	}
	if err := deployer.Retry(ctx, func() error { return r.confirm(ctx) }); err != nil {
		r.setState("not confirmed: " + err.Error())
		return false
	}
	r.setState("draining")
	if !r.await(ctx, r.isIdle, r.idle) {
		return false
	}
	r.setState("drained")
	if err := deployer.Retry(ctx, func() error { return r.checkRestoring(ctx) }); err != nil {
		return false
	}
	r.setState("restoring")
	if !r.await(ctx, r.newRequests(), r.resumed) {
		return false
	}
	r.setState("restoring, all workers have requests")
	return true
}

// length is the duration of the load.
func (r *drainRun) length() time.Duration { return time.Duration(r.options.Seconds) * time.Second }

// confirm plans the drain and confirms the plan.
func (r *drainRun) confirm(ctx context.Context) error {
	var names []string
	for _, w := range r.workers {
		names = append(names, w.Host.Name)
	}
	id := fmt.Sprintf("drain-%d", r.options.Seed)
	return r.deployment.Drain(ctx, id, names, time.Duration(float64(r.length())*drainLength))
}

// checkRestoring returns nil once every drain is being restored or has ended.
func (r *drainRun) checkRestoring(ctx context.Context) error {
	drains, err := r.deployment.Drains(ctx)
	if err != nil {
		return err
	}
	for _, d := range drains {
		if d.State == describer.Draining {
			return eris.New("a drain is still draining")
		}
	}
	return nil
}

// checkEnded returns nil once no drain is in force.
func (r *drainRun) checkEnded(ctx context.Context) error {
	drains, err := r.deployment.Drains(ctx)
	if err == nil && len(drains) > 0 {
		err = eris.New("a drain is still in force")
	}
	return err
}

// isIdle reports whether no task runs on the worker.
func (r *drainRun) isIdle(w *hoster.Worker) bool { return w.Running() == 0 }

// newRequests returns a check that a worker has served requests since this call.
func (r *drainRun) newRequests() func(*hoster.Worker) bool {
	before := make(map[string]int64)
	for _, w := range r.workers {
		before[w.Host.Name] = w.Counts.Requests.Load()
	}
	return func(w *hoster.Worker) bool { return w.Counts.Requests.Load() > before[w.Host.Name] }
}

// await waits until every worker has passed the check once, and records those that
// have. It returns false if ctx ends first.
func (r *drainRun) await(ctx context.Context, check func(*hoster.Worker) bool, passed map[string]bool) bool {
	for {
		r.mu.Lock()
		for _, w := range r.workers {
			if check(w) {
				passed[w.Host.Name] = true
			}
		}
		all := len(passed) == len(r.workers)
		r.mu.Unlock()
		if all {
			return true
		}
		if !deployer.Sleep(ctx, pollInterval) {
			return false
		}
	}
}

// setState sets the state that the progress output shows.
func (r *drainRun) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

// currentState returns the state that the progress output shows.
func (r *drainRun) currentState() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// restored reports whether the drain has ended and all workers got their work back.
func (r *drainRun) restored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended && len(r.resumed) == len(r.workers)
}

// violation describes the last state of a drain that wasn't restored. It is empty
// if the drain was restored.
func (r *drainRun) violation() string {
	if r.restored() {
		return ""
	}
	return "the drain was not restored, its last state is: " + r.currentState()
}
