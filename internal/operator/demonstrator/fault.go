package demonstrator

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

// event is something that happens once, at a share of the load's length.
type event struct {
	at   float64
	name string
	view *screen
	do   func(ctx context.Context)
}

func (e event) run(ctx context.Context, length time.Duration) {
	if !deployer.Sleep(ctx, time.Duration(float64(length)*e.at)) {
		return
	}
	e.view.note(e.name)
	e.do(ctx)
}

// script lists the events of a run: the planned stop, and those of its fault.
func script(o Options, d *deployer.Deployment, view *screen) []event {
	events := []event{
		{at: 0.7, name: "planned stop", do: func(ctx context.Context) { replace(ctx, d.Domains[1].Entries[0]) }},
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
func replace(ctx context.Context, e *deployer.Entry) {
	e.Stop(ctx)
	start(ctx, e)
}

// start tries until the daemon runs, since its ports may still be in use.
func start(ctx context.Context, e *deployer.Entry) {
	_ = deployer.Retry(ctx, func() error { return e.Start(ctx) })
}

func kills(d *deployer.Deployment) []event {
	first, last := d.Domains[0], d.Domains[2]
	return []event{
		{at: 0.35, name: "kill an entry host", do: func(context.Context) { first.Entries[0].Kill() }},
		{at: 0.4, name: "kill a worker", do: func(context.Context) { last.Workers[0].Kill() }},
		{at: 0.5, name: "replace the entry host", do: func(ctx context.Context) { start(ctx, first.Entries[0]) }},
		{at: 0.55, name: "replace the worker", do: func(ctx context.Context) { _ = deployer.Retry(ctx, last.Workers[0].Restart) }},
	}
}

func outage(d *deployer.Deployment) []event {
	return []event{
		{at: 0.35, name: "store outage", do: func(context.Context) { d.Store.SetOutage(true) }},
		{at: 0.55, name: "store back, answers lost", do: func(context.Context) {
			d.Store.SetOutage(false)
			d.Store.DropResponses(5, 0, 0)
		}},
	}
}

func partition(d *deployer.Deployment) []event {
	return []event{
		{at: 0.35, name: "regions cut off", do: func(context.Context) { d.InterRegion.Cut(delayer.Blackhole) }},
		{at: 0.55, name: "regions joined", do: func(context.Context) { d.InterRegion.Heal() }},
	}
}

func silence(d *deployer.Deployment) []event {
	quiet := func(context.Context) {
		for _, m := range d.Domains {
			for _, w := range m.Workers[:workers/2] {
				w.SilenceConnections()
			}
		}
	}
	return []event{
		{at: 0.35, name: "connections go silent", do: quiet},
		{at: 0.45, name: "connections go silent again", do: quiet},
	}
}

// pauses freezes a worker for longer than its tasks' leases.
func pauses(d *deployer.Deployment) []event {
	frozen := d.Domains[0].Workers[workers-1]
	return []event{
		{at: 0.35, name: "freeze a worker", do: func(ctx context.Context) {
			frozen.Pause()
			lease := time.Duration(d.Domains[0].Entries[0].Settings.Lease.Task)
			deployer.Sleep(ctx, lease+time.Second)
			frozen.Resume()
		}},
	}
}
