package planner

import (
	"cmp"
	"slices"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Merge joins the parts that the shard owners computed for one intent. It
// returns a *classifier.Error with verdict NotRun if the parts come from
// different revisions of the configuration, or if none of them mentions a worker
// that the intent names.
func Merge(parts []describer.Plan) (describer.Plan, error) {
	if len(parts) == 0 {
		return describer.Plan{}, conflict("", "no owner of a shard answered")
	}
	out := parts[0]
	out.Steps = nil
	out.Expected = describer.Expectation{}
	for _, part := range parts {
		if part.Revision != out.Revision {
			return describer.Plan{}, conflict("", "the owners know different configurations; plan again")
		}
		out.Steps = append(out.Steps, part.Steps...)
		out.Expected.Latency += part.Expected.Latency / float64(len(parts))
		out.Expected.Throughput += part.Expected.Throughput / float64(len(parts))
		out.Expected.Evictions += part.Expected.Evictions
	}
	out.Steps = unique(out.Steps)
	for _, worker := range out.Intent.Workers {
		if !mentions(out.Steps, worker) {
			return describer.Plan{}, unknown("workers", "unknown worker "+worker+", or its shard has no owner now")
		}
	}
	return out, nil
}

// NewSteps returns the steps of a recomputed plan that the old one did not
// contain, as text. A plan is not stale because steps have become unnecessary,
// as when a task has ended, or because destinations or expected times differ.
func NewSteps(old, recomputed []describer.Step) []string {
	seen := make(map[describer.Step]bool)
	for _, s := range old {
		seen[confirmedPart(s)] = true
	}
	var out []string
	for _, s := range recomputed {
		if !seen[confirmedPart(s)] {
			out = append(out, "new: "+s.String())
		}
	}
	return out
}

// confirmedPart returns the part of a step that an operator confirms.
func confirmedPart(s describer.Step) describer.Step {
	part := describer.Step{Verb: s.Verb, Task: s.Task, Worker: s.Worker}
	switch s.Verb {
	case describer.Start:
		part.Task, part.To = "", ""
	case describer.Wait, describer.Move:
		part.Verb = describer.Move // a task to be moved may have to wait for room
	}
	return part
}

// unique removes duplicates, such as the change of the configuration that every
// owner adds, and keeps the order.
func unique(steps []describer.Step) []describer.Step {
	seen := make(map[describer.Step]bool)
	return slices.DeleteFunc(steps, func(s describer.Step) bool {
		dup := seen[s]
		seen[s] = true
		return dup
	})
}

// mentions reports whether a step concerns the worker.
func mentions(steps []describer.Step, worker string) bool {
	return slices.ContainsFunc(steps, func(s describer.Step) bool {
		return cmp.Or(s.Worker, s.To) == worker
	})
}
