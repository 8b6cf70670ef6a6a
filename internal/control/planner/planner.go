// Package planner turns an operator's intent into a plan, and a confirmed plan
// into a change of the configuration.
//
// # Model
//
// The owner of each shard computes the [Steps] for its workers, and [Merge]
// joins the parts into one plan. That changes nothing. On confirmation the steps
// are computed again. If [NewSteps] finds one that the operator has not seen,
// the plan is stale. Otherwise [Apply] returns the configuration to be written
// by compare-and-swap on the plan's revision, so that of two concurrent
// confirmations one is refused.
//
// A plan depends on grants but not on measured load, because load changes all
// the time and every plan would be stale at once.
package planner

import (
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Expected durations of steps.
const (
	moveTime    = 10 * time.Second // checkpoint, durable records and the start on another worker
	restoreTime = 4 * time.Minute  // time to restore one worker whose services stay within their targets
)

// Steps returns what the intent does on the given fleets, which are keyed by
// shard, and the expected effect there. pending are the tasks of these shards
// that wait to run. For the action run, fleets contains only the job's shard.
// Errors are *classifier.Error values with verdict NotRun. Steps changes
// nothing.
func Steps(
	cfg describer.Configuration, intent describer.Intent, fleets map[string]*accountant.Fleet,
	pending []placer.Request, now time.Time,
) ([]describer.Step, describer.Expectation, error) {
	if _, err := Apply(cfg, intent, now); err != nil {
		return nil, describer.Expectation{}, err
	}
	d := newDraft(cfg, intent, fleets, pending, now)
	switch intent.Action {
	case describer.SetTarget:
		d.setTarget()
	case describer.Run:
		d.run()
	case describer.DrainWorkers:
		d.drain()
	case describer.Evacuate:
		d.evacuate()
	case describer.Restore:
		d.restore()
	case describer.Cancel:
		d.cancel()
	}
	return d.steps, d.expected(), nil
}

// draft is a plan that is being computed. It changes copies of the accounts.
type draft struct {
	cfg     describer.Configuration
	intent  describer.Intent
	fleet   *accountant.Fleet // copy of the workers of all fleets
	shard   map[string]string // shard by worker name
	pending []placer.Request
	now     time.Time
	steps   []describer.Step

	running   int64   // millicores of batch grants before the plan
	lost      int64   // millicores of batch grants that end or move
	gained    int64   // millicores of batch grants that start
	evictions int     // number of tasks that are moved off
	closed    int     // number of workers with a service that the plan closes
	opened    int     // number of workers with a service that the plan opens
	serving   int     // number of open workers with a service before the plan
	load      float64 // sum of the loads of these workers
}

// newDraft returns a draft without steps on copies of the fleets' workers.
func newDraft(
	cfg describer.Configuration, intent describer.Intent, fleets map[string]*accountant.Fleet,
	pending []placer.Request, now time.Time,
) *draft {
	d := &draft{
		cfg: cfg, intent: intent, pending: pending, now: now,
		fleet: &accountant.Fleet{Workers: make(map[string]*accountant.Worker)},
		shard: make(map[string]string),
	}
	for shard, fleet := range fleets {
		for name, w := range fleet.Workers {
			d.fleet.Workers[name] = w.Clone()
			d.shard[name] = shard
			d.running += w.BatchCPU()
			if !w.Closed && len(w.Host.Services) > 0 {
				d.serving++
				d.load += w.Load()
			}
		}
	}
	return d
}

// add appends a step to the plan.
func (d *draft) add(s describer.Step) { d.steps = append(d.steps, s) }

// setTarget adds the step that changes a service's latency target.
func (d *draft) setTarget() {
	d.add(describer.Step{
		Verb:   describer.Set,
		Reason: fmt.Sprintf("%s within %s at the 99th percentile", d.intent.Service, d.intent.Target),
	})
}

// expected returns the expected effect on the three measures. Latency is
// estimated as in a queue with one server, from the mean load of the workers
// that remain open. The reports of load are delayed, so that this is a rough
// estimate.
func (d *draft) expected() describer.Expectation {
	e := describer.Expectation{Evictions: d.evictions}
	if d.running > 0 {
		e.Throughput = float64(d.gained-d.lost) / float64(d.running)
	} else if d.gained > 0 {
		e.Throughput = 1
	}
	open := d.serving - d.closed + d.opened
	if d.serving == 0 || open <= 0 || d.closed == d.opened {
		return e
	}
	const maxLoad = 0.95 // the estimate grows without bound towards a load of 1
	before := min(d.load/float64(d.serving), maxLoad)
	after := min(d.load/float64(open), maxLoad)
	e.Latency = (1-before)/(1-after) - 1
	return e
}

// workers returns the named workers that are in the draft's fleets, sorted by
// name.
func (d *draft) workers(names []string) []*accountant.Worker {
	var out []*accountant.Worker
	for _, name := range slices.Sorted(slices.Values(names)) {
		if w := d.fleet.Workers[name]; w != nil {
			out = append(out, w)
		}
	}
	return out
}

// shardFleet returns the fleet of one shard. A moved task stays in its shard.
func (d *draft) shardFleet(shard string) *accountant.Fleet {
	f := &accountant.Fleet{Workers: make(map[string]*accountant.Worker)}
	for name, w := range d.fleet.Workers {
		if d.shard[name] == shard {
			f.Workers[name] = w
		}
	}
	return f
}
