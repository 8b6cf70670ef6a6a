//go:build review3

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as it is submitted.
type step struct {
	Count           int
	Cpu             int64 //nolint:revive // spelled as on the wire
	MemoryRequestMb int64
	EstimatedMs     int64
	After           []int  `json:",omitempty"`
	Checkpointing   bool   `json:",omitempty"`
	Gang            bool   `json:",omitempty"`
	AntiAffinity    int    `json:",omitempty"`
	Persistent      bool   `json:",omitempty"`
	Image           string `json:",omitempty"`
}

// plan is what a run of a task does.
type plan struct {
	length  time.Duration
	outcome string
	lasts   bool
	saves   bool // it checkpoints
}

// job is a job and what the workers have seen of it. All but id, steps and plan is guarded by the
// deployment's lock.
type job struct {
	id       string
	isUrgent bool // it is handed in at urgentPrefix
	steps    []step
	plan     func(task string, run int64) plan
	isQuiet  bool // its runs aren't recorded one by one
	accepted time.Time

	running  int             // runs at present
	starts   int             // runs so far
	refused  int             // starts that workers refused
	lastSeen time.Time       // when a run of it last ended
	done     map[string]bool // tasks of which a run has ended done
	observed int             // ends that the system has taken note of
	active   map[string]*run // latest run of each task that is active
	overlaps int             // starts beside another active run of the task
	lapsed   int             // runs whose lease has ended
	lost     int             // runs that were lost with their worker
	gangs    map[string]*gang
}

// path returns the path of the job.
func (j *job) path() string {
	if j.isUrgent {
		return urgentPrefix + j.id
	}
	return queuePrefix + j.id
}

// body returns the body of the submission.
func (j *job) body() any {
	return struct {
		Specification string
		Steps         []step
	}{"run " + j.id, j.steps}
}

// size returns the number of tasks.
func (j *job) size() int {
	n := 0
	for _, s := range j.steps {
		n += s.Count
	}
	return n
}

// gang is a run of all tasks of a step.
type gang struct {
	size int

	mu      sync.Mutex
	members []*run
	isOver  bool
}

// jobOf returns the job of a task. The caller holds the lock.
func (d *deployment) jobOf(task string) *job {
	id, _, _ := strings.Cut(task, ".")
	return d.jobs[id]
}

// noteStart begins the work of a run that a worker has started.
func (d *deployment) noteStart(r *run, in *order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobOf(r.task)
	j.running++
	j.starts++
	j.noteOverlap(d.record, r, in)
	if !j.isQuiet {
		d.record.printf("worker %s starts %s", r.life.worker.id, runKey(r.task, r.number))
	}
	r.plan = j.plan(r.task, r.number)
	parts := strings.Split(r.task, ".")
	number, _ := strconv.Atoi(parts[2])
	s := &j.steps[number]
	r.step = s
	if s.Gang {
		j.join(r, s, strings.Join(parts[:3], "."))
		return
	}
	length := r.plan.length
	if in.Checkpoint != "" {
		done, _ := strconv.ParseInt(in.Checkpoint[:8], 16, 64)
		r.resumed = time.Duration(done) * time.Millisecond
		length = max(length-r.resumed, 0) + restoreTime
	}
	r.work(length)
}

// noteOverlap records a start beside another run of the task that a worker has at work.
func (j *job) noteOverlap(record *record, r *run, in *order) {
	if j.active == nil {
		j.active = make(map[string]*run)
	}
	r.token, r.noted = in.FencingToken, time.Now()
	if other := j.active[r.task]; other != nil {
		j.overlaps++
		r.beside, other.beside = other, r
		record.printf("two runs of %s at the same time: run %d on %s since %.3f by token %d, and now run %d on %s by token %d; both workers are up, since their first lifetimes",
			r.task, other.number, other.life.worker.id, other.noted.Sub(record.began).Seconds(), other.token, r.number, r.life.worker.id, r.token)
	}
	j.active[r.task] = r
}

// noteOverlapEnd records the end of a run that was at work beside another one.
func (j *job) noteOverlapEnd(record *record, r *run) {
	if r.beside == nil {
		return
	}
	beside := ""
	if r.beside.outcome == "" {
		beside = fmt.Sprintf("; the two were at work side by side for %.3f s", min(time.Since(r.noted), time.Since(r.beside.noted)).Seconds())
	}
	record.printf("run %d of %s on %s ends %s%s", r.number, r.task, r.life.worker.id, r.outcome, beside)
}

// join adds a run to its gang, which begins to work once it is whole.
func (j *job) join(r *run, s *step, name string) {
	key := runKey(name, r.number)
	if j.gangs == nil {
		j.gangs = make(map[string]*gang)
	}
	g := j.gangs[key]
	if g == nil {
		g = &gang{size: s.Count}
		j.gangs[key] = g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.gang = g
	g.members = append(g.members, r)
	if len(g.members) < g.size || g.isOver {
		r.timer = time.AfterFunc(gangTimeout, func() { r.life.endLater(r, "alone") })
		return
	}
	for _, m := range g.members {
		if m.timer != nil {
			m.timer.Stop()
		}
		m.began = time.Now()
	}
	r.timer = time.AfterFunc(r.plan.length, func() { g.end(r.plan.outcome, nil) })
}

// end ends the runs of all members but one.
func (g *gang) end(outcome string, except *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isOver {
		return
	}
	g.isOver = true
	for _, m := range g.members {
		if m != except {
			go m.life.endLater(m, outcome)
		}
	}
}

// noteEnd notes that a run has ended. The caller holds the lock of its worker.
func (d *deployment) noteEnd(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobOf(r.task)
	j.running--
	j.lastSeen = time.Now()
	if j.active[r.task] == r {
		delete(j.active, r.task)
	}
	j.noteOverlapEnd(d.record, r)
	switch r.outcome {
	case "lapsed":
		j.lapsed++
	case "lost":
		j.lost++
	}
	if r.outcome == "done" {
		if j.done == nil {
			j.done = make(map[string]bool)
		}
		j.done[r.task] = true
	}
	if !j.isQuiet {
		d.record.printf("worker %s: %s ends %s", r.life.worker.id, runKey(r.task, r.number), r.outcome)
	}
	if r.gang != nil && r.outcome != "done" {
		go r.gang.end("broken", r)
	}
}

// noteObserved notes that the system has taken note of the end of a run.
func (d *deployment) noteObserved(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobOf(r.task).observed++
}

// noteRefusal notes that a worker has refused a start.
func (d *deployment) noteRefusal(w *worker, in *order, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobOf(in.Task)
	j.refused++
	if !j.isQuiet {
		d.record.printf("worker %s refuses %s: %s", w.id, runKey(in.Task, in.Run), reason)
	}
}

// countOverlaps returns the number of starts beside another run of the same task, in all jobs.
func (d *deployment) countOverlaps() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, j := range d.jobs {
		n += j.overlaps
	}
	return n
}

// seen is what the workers have seen of a job.
type seen struct {
	running, starts, refused, done, observed, lost, lapsed int
	lastSeen                                               time.Time
}

// look returns what the workers have seen of a job.
func (d *deployment) look(j *job) seen {
	d.mu.Lock()
	defer d.mu.Unlock()
	return seen{j.running, j.starts, j.refused, len(j.done), j.observed, j.lost, j.lapsed, j.lastSeen}
}
