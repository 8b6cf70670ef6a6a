package demonstrator

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
)

// event is something that happens once, at a share of the load's length.
type event struct {
	at   float64
	name string
	view *screen
	do   func(ctx context.Context)
}

func (e event) run(ctx context.Context, length time.Duration) {
	if !pause(ctx, time.Duration(float64(length)*e.at)) {
		return
	}
	e.view.note(e.name)
	e.do(ctx)
}

// script lists the events of a run: the planned stop, and those of its fault.
func script(o Options, d *deployment, view *screen) []event {
	events := []event{
		{at: 0.7, name: "planned stop", do: func(ctx context.Context) { d.replace(ctx, d.domains[1].entries[0]) }},
	}
	faults := map[string][]event{
		FaultKill:      kills(d),
		FaultOutage:    outage(d),
		FaultPartition: partition(d),
		FaultSilence:   silence(d),
		FaultPause:     pauses(d),
	}
	for name, list := range faults {
		if o.Fault == name || o.Fault == FaultAll {
			events = append(events, list...)
		}
	}
	for i := range events {
		events[i].view = view
	}
	return events
}

// replace stops a daemon as planned and starts its successor.
func (d *deployment) replace(ctx context.Context, e *entry) {
	limited, cancel := context.WithTimeout(ctx, time.Duration(e.settings.Traffic.DrainLimit))
	defer cancel()
	e.stop(limited)
	d.start(ctx, e)
}

// start tries until the daemon runs, since its ports may still be in use.
func (d *deployment) start(ctx context.Context, e *entry) {
	_ = until(ctx, func() error { return e.start(ctx, d.options) })
}

func kills(d *deployment) []event {
	first, last := d.domains[0], d.domains[2]
	return []event{
		{at: 0.35, name: "kill an entry host", do: func(context.Context) { first.entries[0].crash() }},
		{at: 0.4, name: "kill a worker", do: func(context.Context) { last.workers[0].Kill() }},
		{at: 0.5, name: "replace the entry host", do: func(ctx context.Context) { d.start(ctx, first.entries[0]) }},
		{at: 0.55, name: "replace the worker", do: func(ctx context.Context) { _ = until(ctx, last.workers[0].Restart) }},
	}
}

func outage(d *deployment) []event {
	return []event{
		{at: 0.35, name: "store outage", do: func(context.Context) { d.store.Outage(true) }},
		{at: 0.55, name: "store back, answers lost", do: func(context.Context) {
			d.store.Outage(false)
			d.store.LoseAnswers(5, 0, 0)
		}},
	}
}

func partition(d *deployment) []event {
	return []event{
		{at: 0.35, name: "regions cut off", do: func(context.Context) { d.region.Cut(delayer.Blackhole) }},
		{at: 0.55, name: "regions joined", do: func(context.Context) { d.region.Heal() }},
	}
}

func silence(d *deployment) []event {
	quiet := func(context.Context) {
		for _, m := range d.domains {
			for _, w := range m.workers[:workers/2] {
				w.Silence()
			}
		}
	}
	return []event{
		{at: 0.35, name: "connections go silent", do: quiet},
		{at: 0.45, name: "connections go silent again", do: quiet},
	}
}

// pauses freezes a worker for longer than its tasks' leases.
func pauses(d *deployment) []event {
	frozen := d.domains[0].workers[workers-1]
	return []event{
		{at: 0.35, name: "freeze a worker", do: func(ctx context.Context) {
			frozen.Pause()
			lease := time.Duration(d.domains[0].entries[0].settings.Lease.Task)
			pause(ctx, lease+time.Second)
			frozen.Resume()
		}},
	}
}
