package demonstrator

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

// event is something that happens once during the load, such as a fault.
type event struct {
	at       float64 // fraction of the load's duration
	name     string  // shown in the progress output
	progress *screen
	do       func(ctx context.Context)
}

// run waits for the event's time and lets it happen, unless ctx ends before.
func (e event) run(ctx context.Context, length time.Duration) {
	if !deployer.Sleep(ctx, time.Duration(float64(length)*e.at)) {
		return
	}
	e.progress.showEvent(e.name)
	e.do(ctx)
}

// events returns the events of a run: a planned shutdown, and those of its fault.
func events(o Options, d *deployer.Deployment, progress *screen) []event {
	list := []event{
		{at: 0.7, name: "planned stop", do: func(ctx context.Context) { restart(ctx, d.Domains[1].Entries[0]) }},
	}
	faults := map[string][]event{
		FaultKill:      kills(d),
		FaultOutage:    outage(d),
		FaultPartition: partition(d),
		FaultSilence:   silence(d),
		FaultPause:     pauses(d),
	}
	for name, injected := range faults {
		if o.Fault == name || o.Fault == FaultAll {
			list = append(list, injected...)
		}
	}
	for i := range list {
		list[i].progress = progress
	}
	return list
}

// restart shuts a daemon down as planned and starts its successor.
func restart(ctx context.Context, e *deployer.Entry) {
	e.Stop(ctx)
	start(ctx, e)
}

// start starts a daemon. It retries until ctx ends, since the ports may still be in
// use.
func start(ctx context.Context, e *deployer.Entry) {
	_ = deployer.Retry(ctx, func() error { return e.Start(ctx) })
}

// kills kills an entry host and a worker and replaces them later.
func kills(d *deployer.Deployment) []event {
	first, last := d.Domains[0], d.Domains[2]
	return []event{
		{at: 0.35, name: "kill an entry host", do: func(context.Context) { first.Entries[0].Kill() }},
		{at: 0.4, name: "kill a worker", do: func(context.Context) { last.Workers[0].Kill() }},
		{at: 0.5, name: "replace the entry host", do: func(ctx context.Context) { start(ctx, first.Entries[0]) }},
		{at: 0.55, name: "replace the worker", do: func(ctx context.Context) { _ = deployer.Retry(ctx, last.Workers[0].Restart) }},
	}
}

// outage makes the store unavailable, and lets it lose some responses afterwards.
func outage(d *deployer.Deployment) []event {
	return []event{
		{at: 0.35, name: "store outage", do: func(context.Context) { d.Store.SetOutage(true) }},
		{at: 0.55, name: "store back, answers lost", do: func(context.Context) {
			d.Store.SetOutage(false)
			d.Store.DropResponses(5, 0, 0)
		}},
	}
}

// partition cuts the links between the regions for some time.
func partition(d *deployer.Deployment) []event {
	return []event{
		{at: 0.35, name: "regions cut off", do: func(context.Context) { d.InterRegion.Cut(delayer.Blackhole) }},
		{at: 0.55, name: "regions joined", do: func(context.Context) { d.InterRegion.Heal() }},
	}
}

// silence makes the open connections of half of the workers unresponsive, twice.
func silence(d *deployer.Deployment) []event {
	silenceHalf := func(context.Context) {
		for _, domain := range d.Domains {
			for _, w := range domain.Workers[:workers/2] {
				w.SilenceConnections()
			}
		}
	}
	return []event{
		{at: 0.35, name: "connections go silent", do: silenceHalf},
		{at: 0.45, name: "connections go silent again", do: silenceHalf},
	}
}

// pauses freezes a worker for one second longer than its tasks' leases last.
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
