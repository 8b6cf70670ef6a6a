//go:build review2

package main

import "time"

func init() {
	cases["record-size"] = recordSize
	cases["repetitions"] = repetitions
	cases["slow-advice"] = slowAdvice
}

func shortJob(ms int) *job {
	length := time.Duration(ms) * time.Millisecond
	return &job{ID: newID(), Specification: "x", queue: "batch", Steps: []*step{{Count: 4, Cpu: 1000, MemoryRequestMb: 100, EstimatedMs: int64(ms), length: length}}}
}

// handIn hands a short job in each gap until a time, and returns the accepted ones.
func (d *deployment) handIn(until time.Time, gap time.Duration) []*job {
	var out []*job
	for i := 0; time.Now().Before(until); i++ {
		j := shortJob(500)
		if d.submit(j, i) {
			out = append(out, j)
		}
		time.Sleep(gap)
	}
	return out
}

// unsucceeded asks for the state of jobs and returns how many aren't shown as succeeded, and how
// many aren't known or not answered.
func (d *deployment) unsucceeded(jobs []*job) (open, unknown int) {
	for i, j := range jobs {
		switch state := d.ask(j, i, 3*time.Second); state {
		case "succeeded":
		case "", "410":
			unknown++
			d.record.printf("consumer: job %s isn't known, or there is no answer: %q", j.ID, state)
		default:
			open++
		}
	}
	return open, unknown
}

// recordSize hands in a job that repeats each second, with so many tasks that the record of the
// ended ones grows beyond the store's limit of a value, and short jobs beside it.
func recordSize(d *deployment, trouble bool) outcome {
	d.configure(3, plainRoute("batch"))
	if !d.start() {
		return failed
	}
	st := &step{Count: 500, Cpu: 500, MemoryRequestMb: 50, EstimatedMs: 400, length: 400 * time.Millisecond}
	j := &job{ID: newID(), Specification: "x", Steps: []*step{st}, queue: "batch", Repetitions: 55, FirstRunMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: 1000}
	if !trouble {
		j.Repetitions = 15
	}
	if !d.submit(j, 0) {
		return failed
	}
	jobs := d.handIn(time.Now().Add(time.Duration(j.Repetitions+10)*time.Second), time.Second)
	time.Sleep(14 * time.Second)
	open, unknown := d.unsucceeded(append(jobs, j))
	ended, unnoted := d.ends(time.Hour)
	d.record.printf("workers have listed %d ends for longer than AcknowledgeMs, %d aren't taken note of; of %d accepted jobs %d aren't shown as succeeded, %d aren't known", ended, unnoted, len(jobs)+1, open, unknown)
	d.record.printf("the store has refused %d writes because of their size", d.store.refusals())
	if ended, unnoted = d.ends(stretch + acknowledgeTime); 5*unnoted > ended {
		d.record.broken("Acks", "%d of the %d ends that workers have listed in the last %v, but for the last %v, aren't taken note of", unnoted, ended, stretch, acknowledgeTime)
	}
	if d.record.count("Acks") > 0 {
		return broke
	}
	return held
}

const (
	acknowledgeTime = 5 * time.Second  // AcknowledgeMs
	stretch         = 20 * time.Second // of calm, before it
	finishTime      = 14 * time.Second // finish_s
)

// ends returns how many ends workers have listed for longer than AcknowledgeMs and at most for the
// given time, and how many of them aren't taken note of.
func (d *deployment) ends(within time.Duration) (ended, unnoted int) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	for _, runs := range d.fleet.runs {
		for _, r := range runs {
			age := time.Since(r.ended)
			if r.ended.IsZero() || age < acknowledgeTime || age > within {
				continue
			}
			ended++
			if r.noted.IsZero() {
				unnoted++
			}
		}
	}
	return ended, unnoted
}

// stuck returns the jobs that haven't been shown as succeeded and of which nothing runs for 3 s.
func (d *deployment) stuck(jobs []*job) []*job {
	runs := map[*job]bool{}
	for until := time.Now().Add(idleTime); time.Now().Before(until); time.Sleep(watchEvery) {
		d.fleet.mu.Lock()
		for _, sl := range d.fleet.slots {
			if sl.life == nil {
				continue
			}
			for _, r := range sl.life.active {
				runs[d.book.job(r.id.job)] = true
			}
		}
		d.fleet.mu.Unlock()
	}
	var out []*job
	for _, j := range jobs {
		if j.succeeded.IsZero() && !runs[j] {
			out = append(out, j)
		}
	}
	return out
}

// repetitions hands in a job that repeats each minute for a year, and short jobs beside it.
func repetitions(d *deployment, trouble bool) outcome {
	d.configure(3, plainRoute("batch"))
	if !d.start() {
		return failed
	}
	before := d.handIn(time.Now().Add(5*time.Second), 500*time.Millisecond)
	j := shortJob(500)
	j.Repetitions, j.FirstRunMs, j.IntervalMs = 365*24*60, time.Now().Add(time.Second).UnixMilli(), 60000
	j.Steps[0].Count = 8
	if !trouble {
		j.Repetitions = 60
	}
	if !d.submit(j, 0) {
		d.record.printf("the job that repeats isn't accepted")
		return held
	}
	jobs := append(before, d.handIn(time.Now().Add(20*time.Second), 500*time.Millisecond)...)
	time.Sleep(finishTime)
	open, unknown := d.unsucceeded(jobs)
	exits := 0
	for _, h := range d.hosts {
		h.mu.Lock()
		exits += h.exits
		h.mu.Unlock()
	}
	d.record.printf("%d processes ended over their memory; of %d accepted short jobs %d aren't shown as succeeded, %d aren't known or without an answer", exits, len(jobs), open, unknown)
	for _, j := range d.stuck(jobs) {
		d.record.broken("LOST", "job %s, accepted %.0f s ago, is shown as %q and has nothing running for 3 s; the workers are idle", j.ID, time.Since(j.accepted).Seconds(), j.state)
	}
	if d.record.count("LOST") > 0 {
		return broke
	}
	return held
}

// slowAdvice has a queue that needs advice. The disruption is a version that adds a route to another
// such queue, whose advice takes longer; the jobs go there.
func slowAdvice(d *deployment, trouble bool) outcome {
	first := plainRoute("advised")
	first.Recommendation = &recommendation{DecisionMs: 300, PerWorkerMs: 15, ValidityMs: 5000}
	added := plainRoute("added")
	added.Recommendation = &recommendation{DecisionMs: 300, PerWorkerMs: 60, ValidityMs: 5000}
	d.book.advised["advised"], d.book.advised["added"] = true, true
	d.advise(first.Recommendation)
	d.configure(3, first)
	if !d.start() {
		return failed
	}
	queue := "advised"
	if trouble {
		queue = "added"
		d.advise(added.Recommendation)
		d.configure(7, first, added)
		time.Sleep(4 * time.Second) // ConfigApplyMs, and a second
	}
	var jobs []*job
	for i := range 5 {
		j := shortJob(800)
		j.queue = queue
		if d.submit(j, i) {
			jobs = append(jobs, j)
		}
		time.Sleep(time.Second)
	}
	if len(jobs) == 0 {
		return failed
	}
	time.Sleep(finishTime + 10*time.Second)
	d.unsucceeded(jobs)
	for _, j := range d.stuck(jobs) {
		d.record.broken("LOST", "job %s, accepted %.0f s ago, is shown as %q and has nothing running for 3 s, %d of its tasks have ever run; %d millicores of %d are in use", j.ID, time.Since(j.accepted).Seconds(), j.state, d.begun(j), d.usedCPU(), len(d.fleet.slots)*workerCPU)
	}
	return d.verdict("LOST")
}

// advise sets how long the advisers take.
func (d *deployment) advise(r *recommendation) {
	for _, h := range d.hosts {
		h.adviser.mu.Lock()
		h.adviser.decision, h.adviser.perWorker, h.adviser.validity = time.Duration(r.DecisionMs)*time.Millisecond, time.Duration(r.PerWorkerMs)*time.Millisecond, time.Duration(r.ValidityMs)*time.Millisecond
		h.adviser.mu.Unlock()
	}
}

// usedCPU returns the millicores that run on all workers.
func (d *deployment) usedCPU() (used int64) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	for _, sl := range d.fleet.slots {
		if sl.life == nil {
			continue
		}
		for _, r := range sl.life.active {
			if r.step != nil {
				used += r.step.Cpu
			}
		}
	}
	return used
}

// begun returns how many tasks of the first step of a job have ever run.
func (d *deployment) begun(j *job) int {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	n := 0
	for k := range j.Steps[0].Count {
		if len(d.fleet.runs[taskID{job: j.ID, index: k}.String()]) > 0 {
			n++
		}
	}
	return n
}
