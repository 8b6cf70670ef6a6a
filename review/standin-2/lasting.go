//go:build review2

package main

import (
	"math/rand/v2"
	"time"
)

func init() {
	cases["lost-workers"] = func(d *deployment, trouble bool) outcome { return lostWorkers(d, trouble, 84, false) }
	cases["lost-owner"] = func(d *deployment, trouble bool) outcome { return lostWorkers(d, trouble, 50, true) }
}

// Bounds of the rule LOST for tasks that last.
const (
	resumeTime = 6 * time.Second // from a task's last run
	idleTime   = 3 * time.Second // for which it doesn't run from then on, with room for it
	lastingCPU = 4000
	watchEvery = 20 * time.Millisecond
)

// pollTime is the longest time between two polls of a worker.
const pollTime = 1500 * time.Millisecond

// ownerDelay is how long after the workers the owner's machine is lost.
const ownerDelay = 1500 * time.Millisecond

// lostWorkers fills a share of the service, in percent, with tasks that last, and loses a seventh of
// the workers for good. If alsoOwner is set, the machine of the owner is lost for good as well.
func lostWorkers(d *deployment, trouble bool, share int, alsoOwner bool) outcome {
	d.configure(3, plainRoute("batch"))
	if !d.start() {
		return failed
	}
	workers := len(d.fleet.slots)
	tasks := workers * workerCPU * share / 100 / lastingCPU
	var jobs []*job
	for i := 0; i < tasks/4; i++ {
		j := &job{ID: newID(), Specification: "x", queue: "batch", Steps: []*step{{Count: 4, Cpu: lastingCPU, MemoryRequestMb: 100, EstimatedMs: 300, Persistent: true, length: time.Hour}}}
		if !d.submit(j, i) {
			d.record.printf("job %s isn't accepted", j.ID)
			continue
		}
		jobs = append(jobs, j)
		time.Sleep(100 * time.Millisecond)
	}
	d.handIn(time.Now().Add(5*time.Second), 500*time.Millisecond)
	waiting := d.idle(jobs)
	d.record.printf("%d jobs of 4 tasks that last are accepted, %d tasks don't run", len(jobs), waiting)
	if waiting > 0 || len(jobs) < tasks/4*9/10 {
		return failed
	}
	time.Sleep(rand.N(pollTime)) // the owner polls in its own time, which must not decide
	if trouble {
		for k := range workers / 7 {
			d.fleet.crash(d.fleet.slots[k])
		}
	}
	if trouble && alsoOwner {
		time.AfterFunc(ownerDelay, d.removeOwners)
	}
	lost := time.Now()
	noted := map[string]time.Time{}
	worst := time.Duration(0)
	for time.Since(lost) < 25*time.Second {
		time.Sleep(watchEvery)
		d.watchIdle(jobs, noted, &worst)
	}
	d.record.printf("the longest time without a run was %v", worst.Round(10*time.Millisecond))
	if alsoOwner {
		if d.record.count("LOST") > 0 {
			return broke
		}
		return held
	}
	return d.verdict("LOST")
}

// idle returns how many tasks of the jobs don't run.
func (d *deployment) idle(jobs []*job) int {
	n := 0
	for _, j := range jobs {
		for i := range j.Steps[0].Count {
			if !d.isActive(taskID{job: j.ID, index: i}.String()) {
				n++
			}
		}
	}
	return n
}

// watchIdle checks the rule LOST for each task that lasts and doesn't run: from resumeTime after its
// last run on, it must not stay so for idleTime while there is room for it twice over. room says
// since when that is so, by task.
func (d *deployment) watchIdle(jobs []*job, room map[string]time.Time, worst *time.Duration) {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := 0
	for _, sl := range f.slots {
		if sl.life == nil || sl.draining {
			continue
		}
		used := int64(0)
		for _, r := range sl.life.active {
			if r.step != nil {
				used += r.step.Cpu
			}
		}
		slots += int((workerCPU - used) / lastingCPU)
	}
	for _, j := range jobs {
		for i := range j.Steps[0].Count {
			name := taskID{job: j.ID, index: i}.String()
			runs := f.runs[name]
			last := runs[len(runs)-1]
			if last.ended.IsZero() {
				delete(room, name)
				continue
			}
			*worst = max(*worst, time.Since(last.ended))
			from := last.ended.Add(resumeTime)
			if time.Now().Before(from) || slots < 2 {
				delete(room, name)
				continue
			}
			since, ok := room[name]
			if !ok {
				room[name] = time.Now()
				continue
			}
			if !since.IsZero() && time.Since(since) >= idleTime {
				room[name] = time.Time{}
				d.record.broken("LOST", "%s is to last and has not run for %.2f s, with room for %d such tasks on sound workers for the last 3 s at least", name, time.Since(last.ended).Seconds(), slots)
			}
		}
	}
}
