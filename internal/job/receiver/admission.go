package receiver

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/admitter"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// recentWork is work accepted on this host that no load summary contains yet.
type recentWork struct {
	acceptedAt time.Time
	work       admitter.Work
}

// checkSizes returns a *specifier.FieldError for a step whose tasks fit on no
// worker of the queue's service. It returns nil if no workers are known.
func (r *Receiver) checkSizes(queue specifier.Queue, job *specifier.Job) error {
	var largest describer.Resources
	for _, s := range r.shards.View().Shards {
		if s.Load.Service == queue.Service { // also without usable workers: they may return
			largest = largest.Max(s.Load.MaxCapacity)
		}
	}
	if largest.IsZero() {
		return nil
	}
	for i, step := range job.Steps {
		if !step.ReservedNeeds().Fits(largest) {
			return &specifier.FieldError{Field: fmt.Sprintf("steps[%d].needs", i), Reason: "no worker is that large"}
		}
	}
	return nil
}

// admit decides whether to accept a job and in which shard, based on the load
// summaries of the shards.
func (r *Receiver) admit(queue specifier.Queue, job *specifier.Job) admitter.Decision {
	if queue.Advice.Needed && r.options.NoAdviser {
		return admitter.Decision{Reason: "the queue needs placement advice, and there is no adviser", RetryAfter: unadvisedRetryAfter}
	}
	view := r.shards.View()
	work := estimateWork(queue, job, expectedRunTimes(queue, job, &view))
	r.mu.Lock()
	defer r.mu.Unlock()
	var shards []admitter.Shard
	for name, s := range view.Shards {
		if s.Load.Service == queue.Service && time.Since(s.LoadReceived) < maxLoadAge {
			shards = append(shards, r.admissionShard(name, s, queue, job))
		}
	}
	for _, layout := range view.Unpublished[queue.Service] {
		if load, ok := expectedLoad(queue.Service, layout, view.Shards); ok {
			shards = append(shards, r.admissionShard(layout.Name, manager.ShardView{Load: load}, queue, job))
		}
	}
	slices.SortFunc(shards, func(a, b admitter.Shard) int { return cmp.Compare(a.Name, b.Name) })
	return admitter.Decide(work, shards, r.options.Random)
}

// expectedLoad returns the load of a shard that has not published one: it has no work yet,
// and its workers are like those of the service's other shards. Without it, the first shard
// to publish after a start of the whole system would get all jobs, and keep those that are
// long-running. It returns false while no other shard has published its load.
func expectedLoad(service string, layout recorder.ShardLayout, shards map[string]manager.ShardView) (recorder.Load, bool) {
	var total recorder.Load
	for _, s := range shards {
		if s.Load.Service != service || s.Load.Workers == 0 {
			continue
		}
		total.Workers += s.Load.Workers
		total.Capacity = total.Capacity.Add(s.Load.Capacity)
		total.LongRunningLimit += s.Load.LongRunningLimit
	}
	if total.Workers == 0 {
		return recorder.Load{}, false
	}
	n, of := int64(layout.Workers), int64(total.Workers)
	capacity := describer.Resources{
		CPU: total.Capacity.CPU * n / of, Memory: total.Capacity.Memory * n / of, Accelerators: total.Capacity.Accelerators * n / of,
	}
	return recorder.Load{
		Domain: layout.Domain, Workers: layout.Workers, Capacity: capacity, Free: capacity,
		LongRunningLimit: total.LongRunningLimit * n / of, UnusedCPU: capacity.CPU,
	}, true
}

// admissionShard returns a shard's load summary plus the work that this host has
// accepted for the shard since.
func (r *Receiver) admissionShard(name string, s manager.ShardView, queue specifier.Queue, job *specifier.Job) admitter.Shard {
	out := admitter.Shard{
		Name: name, SameDomain: s.Load.Domain == "" || s.Load.Domain == r.options.Domain, Age: loadAge(s),
		Workers: s.Load.Workers, Free: s.Load.Free, LongRunningCPU: s.Load.LongRunningCPU, LongRunningLimit: s.Load.LongRunningLimit,
		FiniteCPU: s.Load.FiniteCPU, UnusedCPU: s.Load.UnusedCPU, FillerCPU: s.Load.FillerCPU, HasLabel: true,
		AdviceBacklog: s.Load.AdviceBacklog,
	}
	if !out.SameDomain {
		out.RoundTrip = remoteRoundTrip
	}
	for _, step := range job.Steps {
		out.HasLabel = out.HasLabel && fitsUsable(&step, &s.Load) && (step.Label == "" || slices.Contains(s.Load.Labels, step.Label))
		out.HasRack = out.HasRack || step.PreferredRack != "" && slices.Contains(s.Load.Labels, step.PreferredRack)
	}
	for _, b := range s.Load.Backlog {
		if b.Priority <= queue.Priority { // as urgent as the job, or more
			out.ReservedBacklog += b.ReservedWork
			out.FillerBacklog += b.FillerWork
		}
	}
	for _, f := range s.Load.Fillers {
		if f.Priority <= queue.Priority {
			out.Fillers = append(out.Fillers, admitter.FillerLoad{Image: f.Image, Work: f.Work, CPU: f.CPU})
		}
	}
	unseen := slices.DeleteFunc(r.recent[name], func(a recentWork) bool { return a.acceptedAt.Before(s.LoadReceived) })
	r.recent[name] = unseen
	for _, a := range unseen {
		out.ReservedBacklog += a.work.ReservedWork
		out.FillerBacklog += a.work.FillerWork
		out.AdviceBacklog += a.work.AdviceTime
		for _, image := range a.work.FillerImages {
			out.Fillers = append(out.Fillers, admitter.FillerLoad{Image: image, Work: a.work.FillerWork / int64(len(a.work.FillerImages))})
		}
		out.Free.CPU -= a.work.LongRunningCPU
		out.LongRunningCPU += a.work.LongRunningCPU
	}
	return out
}

// loadAge returns the age of a shard's load summary, or 0 if it has published none.
func loadAge(s manager.ShardView) time.Duration {
	if s.LoadReceived.IsZero() {
		return 0
	}
	return time.Since(s.LoadReceived)
}

// fitsUsable reports whether a task of the step fits on a usable worker of the shard.
// The larger ones may all be in an evacuated domain.
func fitsUsable(step *specifier.Step, load *recorder.Load) bool {
	return load.MaxUsable.IsZero() || step.ReservedNeeds().Fits(load.MaxUsable)
}

// addRecent adds accepted work to a shard until its next load summary.
func (r *Receiver) addRecent(shard string, work admitter.Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent[shard] = append(r.recent[shard], recentWork{time.Now(), work})
}

// estimateWork returns the work in a job and its completion target, by the run times of
// each step's tasks.
func estimateWork(queue specifier.Queue, job *specifier.Job, runTimes []time.Duration) admitter.Work {
	advice := &queue.Advice
	w := admitter.Work{CriticalPath: job.CriticalPath(advice.AddTo(runTimes, specifier.TypicalAdviceWorkers)), Spread: job.Spread()}
	objectivePath := job.CriticalPath(advice.AddTo(runTimes, specifier.ObjectiveAdviceWorkers))
	w.Objective = time.Duration(float64(objectivePath)*queue.Slack) + queue.Completion
	if advice.Needed {
		w.AdviceTime = advice.CallTime(specifier.TypicalAdviceWorkers)
	}
	for i, step := range job.Steps {
		cpu := step.Needs.CPU * int64(step.Count)
		work := cpu * int64(runTimes[i]) / int64(time.Second) * int64(job.Occurrences())
		switch {
		case step.LongRunning:
			w.LongRunningCPU += cpu
		case step.Filler:
			w.FillerWork += work
			if !slices.Contains(w.FillerImages, step.Image) {
				w.FillerImages = append(w.FillerImages, step.Image)
			}
		default:
			w.ReservedWork += work
		}
		w.NeedsRack = w.NeedsRack || step.PreferredRack != ""
	}
	return w
}
