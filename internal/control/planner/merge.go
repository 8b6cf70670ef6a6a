package planner

import (
	"cmp"
	"slices"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Merge joins the parts that the owners of shards made for one intent. All
// parts must come from the same revision; otherwise, and when nobody owns a
// worker that the intent names, it returns a *classifier.Error with verdict
// NotRun.
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

// NewSteps returns what a plan made anew does that the old one did not say.
// Steps that have become needless, because a task has ended, other
// destinations and other expected times do not make a plan stale.
func NewSteps(old, renewed []describer.Step) []string {
	seen := make(map[describer.Step]bool)
	for _, s := range old {
		seen[essence(s)] = true
	}
	var out []string
	for _, s := range renewed {
		if !seen[essence(s)] {
			out = append(out, "new: "+s.String())
		}
	}
	return out
}

// essence is the part of a step that an operator agrees to.
func essence(s describer.Step) describer.Step {
	e := describer.Step{Verb: s.Verb, Task: s.Task, Worker: s.Worker}
	switch s.Verb {
	case describer.Start:
		e.Task, e.To = "", ""
	case describer.Wait, describer.Move:
		e.Verb = describer.Move // a task that is moved may have to wait for room
	}
	return e
}

// unique drops steps that several owners name, such as a change of the
// configuration, and keeps the order.
func unique(steps []describer.Step) []describer.Step {
	seen := make(map[describer.Step]bool)
	return slices.DeleteFunc(steps, func(s describer.Step) bool {
		dup := seen[s]
		seen[s] = true
		return dup
	})
}

func mentions(steps []describer.Step, worker string) bool {
	return slices.ContainsFunc(steps, func(s describer.Step) bool {
		return cmp.Or(s.Worker, s.To) == worker
	})
}
