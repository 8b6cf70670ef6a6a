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
	drainAt       = 0.25 // share of the load's length
	drainFor      = 0.25
	drained       = 2 // workers
	watchInterval = 50 * time.Millisecond
)

// drain takes workers out of use for a while and watches their return.
type drain struct {
	d       *deployer.Deployment
	options Options
	workers []*hoster.Worker
	busy    chan struct{} // closed once every worker has requests again, or the drain is given up

	mu    sync.Mutex
	state string // for the screen
	over  bool   // no drain is in force any more
	back  map[string]bool
	empty map[string]bool
}

// newDrain chooses the first workers of the first domain.
func newDrain(d *deployer.Deployment, o Options) *drain {
	return &drain{
		d: d, options: o, workers: d.Domains[0].Workers[:drained], busy: make(chan struct{}),
		state: "not begun", back: make(map[string]bool), empty: make(map[string]bool),
	}
}

// run drains, and waits until every worker was empty and has its work back.
func (r *drain) run(ctx context.Context) {
	if !r.untilBusy(ctx) {
		return
	}
	if err := deployer.Retry(ctx, func() error { return r.isOver(ctx) }); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	r.state = "restored"
}

// untilBusy drains, and waits until every worker was empty and has requests again.
func (r *drain) untilBusy(ctx context.Context) bool {
	defer close(r.busy)
	if !deployer.Sleep(ctx, time.Duration(float64(r.length())*drainAt)) {
		return false
	}
	if err := deployer.Retry(ctx, func() error { return r.confirm(ctx) }); err != nil {
		r.say("not confirmed: " + err.Error())
		return false
	}
	r.say("draining")
	if !r.await(ctx, r.isEmpty, r.empty) {
		return false
	}
	r.say("drained")
	if err := deployer.Retry(ctx, func() error { return r.isRestoring(ctx) }); err != nil {
		return false
	}
	r.say("restoring")
	if !r.await(ctx, r.hasWork(), r.back) {
		return false
	}
	r.say("restoring, all workers have requests")
	return true
}

func (r *drain) length() time.Duration { return time.Duration(r.options.Seconds) * time.Second }

// confirm asks for a plan and confirms it.
func (r *drain) confirm(ctx context.Context) error {
	var names []string
	for _, w := range r.workers {
		names = append(names, w.Host.Name)
	}
	id := fmt.Sprintf("drain-%d", r.options.Seed)
	return r.d.Drain(ctx, id, names, time.Duration(float64(r.length())*drainFor))
}

// isRestoring returns nil once the drain's time is over.
func (r *drain) isRestoring(ctx context.Context) error {
	drains, err := r.d.Drains(ctx)
	if err != nil {
		return err
	}
	for _, d := range drains {
		if d.State == describer.Draining {
			return eris.New("draining")
		}
	}
	return nil
}

// isOver returns nil once no drain is in force.
func (r *drain) isOver(ctx context.Context) error {
	drains, err := r.d.Drains(ctx)
	if err == nil && len(drains) > 0 {
		err = eris.New("drain in force")
	}
	return err
}

func (r *drain) isEmpty(w *hoster.Worker) bool { return w.Running() == 0 }

// hasWork returns a check that a worker has answered requests since now.
func (r *drain) hasWork() func(*hoster.Worker) bool {
	before := make(map[string]int64)
	for _, w := range r.workers {
		before[w.Host.Name] = w.Counts.Requests.Load()
	}
	return func(w *hoster.Worker) bool { return w.Counts.Requests.Load() > before[w.Host.Name] }
}

// await marks each worker once it passes the check, and returns when all have.
func (r *drain) await(ctx context.Context, check func(*hoster.Worker) bool, passed map[string]bool) bool {
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
		if !deployer.Sleep(ctx, watchInterval) {
			return false
		}
	}
}

func (r *drain) say(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

func (r *drain) now() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *drain) restored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over && len(r.back) == len(r.workers)
}

// missing says what keeps the drain from being restored.
func (r *drain) missing() string {
	if r.restored() {
		return ""
	}
	return "the drain ended as " + r.now()
}
