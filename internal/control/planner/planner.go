// Package planner turns an operator's intent into a plan, and a confirmed
// plan into a change of the configuration.
//
// # Model
//
// The owner of each shard computes [Steps] for its workers, and [Merge] joins
// the parts into one plan. Nothing is changed by that. On confirmation the
// steps are computed anew: if [NewSteps] finds one that the operator has not
// seen, the plan is stale. Otherwise [Apply] gives the configuration to be
// written by compare-and-swap on the plan's revision, so that of two racing
// operators one is refused.
//
// A plan depends on grants, not on measured load, which would make every plan
// stale at once.
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
	moveTime    = 10 * time.Second // checkpoint, durable records, start elsewhere
	restoreTime = 4 * time.Minute  // of a worker that nothing holds back
)

// Steps returns what the intent does on the given fleets, by shard, and the
// expected effect there. pending are the shard's tasks that wait to run. For
// the action run, fleets holds only the job's shard. Errors are
// *classifier.Error values with verdict NotRun.
func Steps(
	cfg describer.Configuration, intent describer.Intent, fleets map[string]*accountant.Fleet,
	pending []placer.Request, now time.Time,
) ([]describer.Step, describer.Expectation, error) {
	if _, err := Apply(cfg, intent, now); err != nil {
		return nil, describer.Expectation{}, err
	}
	p := newDraft(cfg, intent, fleets, pending, now)
	switch intent.Action {
	case describer.SetTarget:
		p.target()
	case describer.Run:
		p.run()
	case describer.DrainWorkers:
		p.drain()
	case describer.Restore:
		p.restore()
	case describer.Cancel:
		p.cancel()
	}
	return p.steps, p.expected(), nil
}

// draft is a plan in the making. It places on copies of the accounts.
type draft struct {
	cfg     describer.Configuration
	intent  describer.Intent
	fleet   *accountant.Fleet // copy of all fleets together
	shard   map[string]string // of each worker
	pending []placer.Request
	now     time.Time
	steps   []describer.Step

	running   int64 // millicores of batch grants before
	lost      int64 // millicores of batch grants that stop or wait
	gained    int64 // millicores of batch grants that start
	evictions int
	closed    int // workers closed by the plan
	opened    int
	serving   int     // workers that answer for a service, before
	load      float64 // sum of their loads
}

func newDraft(
	cfg describer.Configuration, intent describer.Intent, fleets map[string]*accountant.Fleet,
	pending []placer.Request, now time.Time,
) *draft {
	p := &draft{
		cfg: cfg, intent: intent, pending: pending, now: now,
		fleet: &accountant.Fleet{Workers: make(map[string]*accountant.Worker)},
		shard: make(map[string]string),
	}
	for shard, fleet := range fleets {
		for name, w := range fleet.Workers {
			p.fleet.Workers[name] = w.Clone()
			p.shard[name] = shard
			p.running += w.BatchCPU()
			if !w.Closed && len(w.Host.Services) > 0 {
				p.serving++
				p.load += w.Load()
			}
		}
	}
	return p
}

func (p *draft) add(s describer.Step) { p.steps = append(p.steps, s) }

func (p *draft) target() {
	p.add(describer.Step{
		Verb:   describer.Set,
		Reason: fmt.Sprintf("%s within %s at the 99th percentile", p.intent.Service, p.intent.Target),
	})
}

// expected returns the expected effect on the three measures. Latency is that
// of a queue with one server at the load that the remaining open workers have:
// a first-order estimate from late reports.
func (p *draft) expected() describer.Expectation {
	e := describer.Expectation{Evictions: p.evictions}
	if p.running > 0 {
		e.Throughput = float64(p.gained-p.lost) / float64(p.running)
	} else if p.gained > 0 {
		e.Throughput = 1
	}
	left := p.serving - p.closed + p.opened
	if p.serving == 0 || left <= 0 || p.closed == p.opened {
		return e
	}
	const full = 0.95 // load above which the estimate would grow without bound
	before := min(p.load/float64(p.serving), full)
	after := min(p.load/float64(left), full)
	e.Latency = (1-before)/(1-after) - 1
	return e
}

// workers returns those of the names that the draft's fleets hold, in order.
func (p *draft) workers(names []string) []*accountant.Worker {
	var out []*accountant.Worker
	for _, name := range slices.Sorted(slices.Values(names)) {
		if w := p.fleet.Workers[name]; w != nil {
			out = append(out, w)
		}
	}
	return out
}

// within returns the fleet of one shard, since tasks stay in their shard.
func (p *draft) within(shard string) *accountant.Fleet {
	f := &accountant.Fleet{Workers: make(map[string]*accountant.Worker)}
	for name, w := range p.fleet.Workers {
		if p.shard[name] == shard {
			f.Workers[name] = w
		}
	}
	return f
}
