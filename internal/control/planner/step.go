package planner

import (
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// run lists the starts, joined for each worker, and the tasks that wait.
func (p *draft) run() {
	job := p.intent.Job
	starts := make(map[string]int)
	waiting, why := 0, ""
	for index := range job.Tasks {
		task := describer.TaskID{Job: job.ID, Index: index}
		worker, reason := "", why
		if waiting == 0 {
			worker, reason = p.place(p.fleet, p.request(task, job))
		}
		if worker == "" {
			waiting, why = waiting+1, reason
			continue
		}
		starts[worker]++
	}
	for _, name := range p.fleet.Names() {
		if n := starts[name]; n > 0 {
			p.add(describer.Step{
				Verb: describer.Start, Task: counted(job.ID, n), To: name, For: job.RunTime,
			})
		}
	}
	if waiting > 0 {
		p.add(describer.Step{Verb: describer.Wait, Task: counted(job.ID, waiting), Reason: why})
	}
}

func (p *draft) request(task describer.TaskID, job *describer.Job) placer.Request {
	return placer.Request{Task: task, Job: job, Want: job.Declared, Deadline: job.Deadline}
}

// place holds a grant in the draft.
func (p *draft) place(fleet *accountant.Fleet, r placer.Request) (worker, why string) {
	choice := placer.LeastLoaded{}.Place(fleet, r, p.now)
	if choice.Worker == "" {
		return "", choice.Reason
	}
	err := fleet.Workers[choice.Worker].Allocate(r.Task, accountant.Grant{
		Class: r.Job.Class, Team: r.Job.Team, Kind: r.Job.Kind, Resources: r.Want,
	})
	if err != nil {
		return "", err.Error()
	}
	p.gained += r.Want.CPU
	return choice.Worker, ""
}

// drain closes the workers and moves what runs there.
func (p *draft) drain() {
	workers := p.workers(p.intent.Workers)
	for _, w := range workers {
		w.Closed = true
	}
	for _, w := range workers {
		p.add(describer.Step{
			Verb: describer.Close, Worker: w.Host.Name, For: p.intent.For, Reason: "drain " + p.intent.ID,
		})
		if len(w.Host.Services) > 0 {
			p.closed++
		}
		for _, task := range w.Tasks() {
			p.leave(w, task)
		}
	}
}

func (p *draft) leave(w *accountant.Worker, task describer.TaskID) {
	g := w.Grants[task]
	w.Release(task, g.Token)
	job := &describer.Job{ID: task.Job, Team: g.Team, Class: g.Class, Kind: g.Kind, Priority: g.Priority}
	request := placer.Request{Task: task, Job: job, Want: g.Resources}
	to, why := p.place(p.within(p.shard[w.Host.Name]), request)
	p.evictions++
	p.lost += g.Resources.CPU
	step := describer.Step{Verb: describer.Move, Task: task.String(), Worker: w.Host.Name, To: to, For: moveTime}
	if to == "" {
		step.Verb, step.For, step.Reason = describer.Wait, p.intent.For, why
	}
	p.add(step)
}

// restore opens the drain's workers and starts the tasks that are owed back.
func (p *draft) restore() {
	d := findDrain(p.cfg, p.intent.Drain)
	for _, w := range p.workers(unrestored(d)) {
		w.Closed = false
		p.opens(w, "gradual, by batch limit and service latency")
		for _, r := range p.pending {
			if r.ReturnTo != w.Host.Name || w.Allocate(r.Task, accountant.Grant{Resources: r.Want}) != nil {
				continue
			}
			p.gained += r.Want.CPU
			p.add(describer.Step{Verb: describer.Start, Task: r.Task.String(), To: w.Host.Name})
		}
	}
}

func (p *draft) opens(w *accountant.Worker, why string) {
	if len(w.Host.Services) > 0 {
		p.opened++
	}
	p.add(describer.Step{Verb: describer.Open, Worker: w.Host.Name, For: restoreTime, Reason: why})
}

// cancel ends a drain at once, or a job.
func (p *draft) cancel() {
	if p.intent.Drain != "" {
		for _, w := range p.workers(unrestored(findDrain(p.cfg, p.intent.Drain))) {
			p.opens(w, "the drain is cancelled; tasks that were moved stay where they are")
		}
		return
	}
	for _, name := range p.fleet.Names() {
		w := p.fleet.Workers[name]
		for _, task := range w.Tasks() {
			if task.Job != p.intent.Job.ID {
				continue
			}
			p.lost += w.Grants[task].Resources.CPU
			p.add(describer.Step{Verb: describer.Stop, Task: task.String(), Worker: name})
		}
	}
	waiting := 0
	for _, r := range p.pending {
		if r.Task.Job == p.intent.Job.ID {
			waiting++
		}
	}
	if waiting > 0 {
		p.add(describer.Step{
			Verb: describer.Stop, Task: counted(p.intent.Job.ID, waiting), Reason: "waits to run, and will not",
		})
	}
}

func counted(job string, n int) string { return fmt.Sprintf("%s (%d tasks)", job, n) }
