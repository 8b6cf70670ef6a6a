package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
)

const (
	drainAt  = 0.25 // share of the load's length
	drainFor = 0.25
	drained  = 2 // workers
)

// drain takes workers out of use for a while and watches their return.
type drain struct {
	d       *deployment
	length  time.Duration
	workers []*hoster.Worker

	mu    sync.Mutex
	state string // for the screen
	back  map[string]bool
	empty map[string]bool
}

// newDrain chooses the first workers of the first domain.
func newDrain(d *deployment, length time.Duration) *drain {
	return &drain{
		d: d, length: length, workers: d.domains[0].workers[:drained],
		state: "not begun", back: make(map[string]bool), empty: make(map[string]bool),
	}
}

// run drains, and waits until every worker was empty and has its work back.
func (r *drain) run(ctx context.Context) {
	if !pause(ctx, time.Duration(float64(r.length)*drainAt)) {
		return
	}
	if err := until(ctx, func() error { return r.confirm(ctx) }); err != nil {
		r.say("not confirmed: " + err.Error())
		return
	}
	r.say("draining")
	if !r.await(ctx, r.isEmpty, r.empty) {
		return
	}
	r.say("drained")
	if err := until(ctx, func() error { return r.isOver(ctx) }); err != nil {
		return
	}
	r.say("restoring")
	if r.await(ctx, r.hasWork(), r.back) {
		r.say("restored")
	}
}

// confirm asks for a plan and confirms it.
func (r *drain) confirm(ctx context.Context) error {
	intent := describer.Intent{
		ID:     fmt.Sprintf("drain-%d", r.d.options.Seed),
		Action: describer.DrainOff,
		For:    time.Duration(float64(r.length) * drainFor),
	}
	for _, w := range r.workers {
		intent.Workers = append(intent.Workers, w.Host.Name)
	}
	var plan describer.Plan
	if err := r.d.operate(ctx, http.MethodPost, "/v1/intents", intent, &plan); err != nil {
		return err
	}
	return r.d.operate(ctx, http.MethodPost, "/v1/plans/"+plan.ID+"/confirm", nil, nil)
}

// isOver returns nil once the configuration holds no drain.
func (r *drain) isOver(ctx context.Context) error {
	var c describer.Configuration
	if err := r.d.operate(ctx, http.MethodGet, "/v1/configuration", nil, &c); err != nil {
		return err
	}
	if len(c.Drains) > 0 {
		return eris.New("drain in force")
	}
	return nil
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
		if !pause(ctx, retryPause) {
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
	return len(r.back) == len(r.workers)
}

// missing says what keeps the drain from being restored.
func (r *drain) missing() string {
	if r.restored() {
		return ""
	}
	return "the drain ended as " + r.now()
}
