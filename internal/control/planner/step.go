package planner

import (
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// run adds one step for the tasks that start on each worker, and one for those
// that wait.
func (d *draft) run() {
	job := d.intent.Job
	starts := make(map[string]int)
	waiting, why := 0, "" // once a task has to wait, all later ones do
	for index := range job.Tasks {
		task := describer.TaskID{Job: job.ID, Index: index}
		worker, reason := "", why
		if waiting == 0 {
			worker, reason = d.place(d.fleet, d.request(task, job))
		}
		if worker == "" {
			waiting, why = waiting+1, reason
			continue
		}
		starts[worker]++
	}
	for _, name := range d.fleet.Names() {
		if n := starts[name]; n > 0 {
			d.add(describer.Step{
				Verb: describer.Start, Task: taskCount(job.ID, n), To: name, For: job.RunTime,
			})
		}
	}
	if waiting > 0 {
		d.add(describer.Step{Verb: describer.Wait, Task: taskCount(job.ID, waiting), Reason: why})
	}
}

// request returns the placement request of a task of a new job, with the declared
// resources.
func (d *draft) request(task describer.TaskID, job *describer.Job) placer.Request {
	return placer.Request{Task: task, Job: job, Want: job.Declared, Deadline: job.Deadline}
}

// place adds a grant for the request to a fleet of the draft. It returns the
// worker, or why the request has to wait.
func (d *draft) place(fleet *accountant.Fleet, r placer.Request) (worker, why string) {
	choice := placer.LeastLoaded{}.Place(fleet, r, d.now)
	if choice.Worker == "" {
		return "", choice.Reason
	}
	err := fleet.Workers[choice.Worker].Allocate(r.Task, accountant.Grant{
		Class: r.Job.Class, Team: r.Job.Team, Kind: r.Job.Kind, Resources: r.Want,
	})
	if err != nil {
		return "", err.Error()
	}
	d.gained += r.Want.CPU
	return choice.Worker, ""
}

// drain closes the workers and moves the tasks that run there.
func (d *draft) drain() {
	workers := d.workers(d.intent.Workers)
	for _, w := range workers {
		if len(w.Host.Services) > 0 && !w.Closed {
			d.closed++
		}
		w.Closed = true
	}
	for _, w := range workers {
		d.add(describer.Step{
			Verb: describer.Close, Worker: w.Host.Name, For: d.intent.For, Reason: "drain " + d.intent.ID,
		})
		for _, task := range w.Tasks() {
			d.moveOff(w, task)
		}
	}
}

// moveOff moves a task to another worker of its shard, or lets it wait if none
// has room.
func (d *draft) moveOff(w *accountant.Worker, task describer.TaskID) {
	g := w.Grants[task]
	w.Release(task, g.Token)
	job := &describer.Job{ID: task.Job, Team: g.Team, Class: g.Class, Kind: g.Kind, Priority: g.Priority}
	request := placer.Request{Task: task, Job: job, Want: g.Resources}
	to, why := d.place(d.shardFleet(d.shard[w.Host.Name]), request)
	d.evictions++
	d.lost += g.Resources.CPU
	step := describer.Step{Verb: describer.Move, Task: task.String(), Worker: w.Host.Name, To: to, For: moveTime}
	if to == "" {
		step.Verb, step.For, step.Reason = describer.Wait, d.intent.For, why
	}
	d.add(step)
}

// restore opens the drain's workers and starts the tasks that were drained from
// them and wait, or ends an evacuation.
func (d *draft) restore() {
	if domain := EvacuatedDomain(d.cfg, d.intent); domain != "" {
		d.endEvacuation(domain)
		return
	}
	drain := findDrain(d.cfg, d.intent.Drain)
	for _, w := range d.workers(unrestored(drain)) {
		d.open(w, "gradual, by batch limit and service latency")
		if d.isEvacuated(w.Host.Domain) {
			continue
		}
		w.Closed = false
		for _, r := range d.pending {
			if r.ReturnTo != w.Host.Name || w.Allocate(r.Task, accountant.Grant{Resources: r.Want}) != nil {
				continue
			}
			d.gained += r.Want.CPU
			d.add(describer.Step{Verb: describer.Start, Task: r.Task.String(), To: w.Host.Name})
		}
	}
}

// open adds the step that opens a worker. In an evacuated domain it has no effect yet.
func (d *draft) open(w *accountant.Worker, why string) {
	if d.isEvacuated(w.Host.Domain) {
		d.add(describer.Step{
			Verb: describer.Open, Worker: w.Host.Name, Reason: "after the evacuation of domain " + w.Host.Domain,
		})
		return
	}
	if len(w.Host.Services) > 0 {
		d.opened++
	}
	d.add(describer.Step{Verb: describer.Open, Worker: w.Host.Name, For: restoreTime, Reason: why})
}

// cancel opens the workers of a drain, or stops the tasks of a job.
func (d *draft) cancel() {
	if d.intent.Drain != "" {
		for _, w := range d.workers(unrestored(findDrain(d.cfg, d.intent.Drain))) {
			d.open(w, "the drain is cancelled; tasks that were moved stay where they are")
		}
		return
	}
	for _, name := range d.fleet.Names() {
		w := d.fleet.Workers[name]
		for _, task := range w.Tasks() {
			if task.Job != d.intent.Job.ID {
				continue
			}
			d.lost += w.Grants[task].Resources.CPU
			d.add(describer.Step{Verb: describer.Stop, Task: task.String(), Worker: name})
		}
	}
	waiting := 0
	for _, r := range d.pending {
		if r.Task.Job == d.intent.Job.ID {
			waiting++
		}
	}
	if waiting > 0 {
		d.add(describer.Step{
			Verb: describer.Stop, Task: taskCount(d.intent.Job.ID, waiting), Reason: "waits to run, and will not",
		})
	}
}

// taskCount describes n tasks of a job.
func taskCount(job string, n int) string { return fmt.Sprintf("%s (%d tasks)", job, n) }
