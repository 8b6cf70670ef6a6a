package receiver

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/admitter"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// accepted is work that was accepted here and that no load summary shows yet.
type accepted struct {
	at   time.Time
	work admitter.Work
}

// checkSizes reports a step whose tasks are larger than any worker, as far as
// the workers are known.
func (r *Receiver) checkSizes(queue specifier.Queue, job *specifier.Job) error {
	var largest describer.Resources
	for _, s := range r.shards.View().Shards {
		if s.Load.Service == queue.Service && s.Load.Workers > 0 {
			largest.CPU = max(largest.CPU, s.Load.MaxCapacity.CPU)
			largest.Memory = max(largest.Memory, s.Load.MaxCapacity.Memory)
			largest.Accelerators = max(largest.Accelerators, s.Load.MaxCapacity.Accelerators)
		}
	}
	if largest.IsZero() {
		return nil
	}
	for i, step := range job.Steps {
		needs := step.Needs
		if step.Filler {
			needs.CPU = 0
		}
		if !needs.Fits(largest) {
			return &specifier.FieldError{Field: fmt.Sprintf("steps[%d].needs", i), Reason: "no worker is that large"}
		}
	}
	return nil
}

// admit decides by what is known of the shards.
func (r *Receiver) admit(queue specifier.Queue, job *specifier.Job) admitter.Decision {
	work := workOf(queue, job)
	view := r.shards.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	var shards []admitter.Shard
	for name, s := range view.Shards {
		if s.Load.Service == queue.Service && time.Since(s.LoadReceived) < staleView {
			shards = append(shards, r.shard(name, s, queue, job))
		}
	}
	slices.SortFunc(shards, func(a, b admitter.Shard) int { return cmp.Compare(a.Name, b.Name) })
	return admitter.Decide(work, shards, r.options.Random)
}

// shard is the load of one shard, with what was accepted here since.
func (r *Receiver) shard(name string, s manager.ShardView, queue specifier.Queue, job *specifier.Job) admitter.Shard {
	out := admitter.Shard{
		Name: name, SameDomain: s.Load.Domain == "" || s.Load.Domain == r.options.Domain, Age: time.Since(s.LoadReceived),
		Workers: s.Load.Workers, Free: s.Load.Free, LongRunningCPU: s.Load.LastingCPU, LongRunningLimit: s.Load.LastingLimit,
		FiniteCPU: s.Load.FiniteCPU, UnusedCPU: s.Load.UnusedCPU, FillerCPU: s.Load.FillerCPU, HasLabel: true,
	}
	if !out.SameDomain {
		out.RoundTrip = afarDistance
	}
	for _, step := range job.Steps {
		out.HasLabel = out.HasLabel && (step.Label == "" || slices.Contains(s.Load.Labels, step.Label))
		out.HasRack = out.HasRack || step.PreferredRack != "" && slices.Contains(s.Load.Labels, step.PreferredRack)
	}
	for _, b := range s.Load.Backlog {
		if b.Priority <= queue.Priority {
			out.ReservedBacklog += b.FiniteWork
			out.FillerBacklog += b.FillerWork
		}
	}
	recent := slices.DeleteFunc(r.accepted[name], func(a accepted) bool { return a.at.Before(s.LoadReceived) })
	r.accepted[name] = recent
	for _, a := range recent {
		out.ReservedBacklog += a.work.ReservedWork
		out.FillerBacklog += a.work.FillerWork
		out.Free.CPU -= a.work.LongRunningCPU
		out.LongRunningCPU += a.work.LongRunningCPU
	}
	return out
}

// note counts work that was accepted here until a load summary shows it.
func (r *Receiver) note(shard string, work admitter.Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted[shard] = append(r.accepted[shard], accepted{time.Now(), work})
}

func workOf(queue specifier.Queue, job *specifier.Job) admitter.Work {
	w := admitter.Work{Chain: job.CriticalPath()}
	w.Objective = time.Duration(float64(w.Chain)*queue.Slack) + queue.Completion
	for _, step := range job.Steps {
		cpu := step.Needs.CPU * int64(step.Count)
		work := cpu * int64(step.Estimate) / int64(time.Second) * int64(job.Occurrences())
		switch {
		case step.Lasting:
			w.LongRunningCPU += cpu
		case step.Filler:
			w.FillerWork += work
		default:
			w.ReservedWork += work
		}
		w.NeedsRack = w.NeedsRack || step.PreferredRack != ""
	}
	return w
}
