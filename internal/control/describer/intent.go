package describer

import (
	"fmt"
	"time"
)

// Action is what an operator wants.
type Action string

// Actions of intents.
const (
	SetTarget    Action = "latency-target"
	Run          Action = "run"
	DrainWorkers Action = "drain"
	Restore      Action = "restore"
	Cancel       Action = "cancel"
)

// Intent is an operator's request. It has no effect before its plan is
// confirmed.
type Intent struct {
	ID      string        `json:"id"`
	Action  Action        `json:"action"`
	Service string        `json:"service,omitempty"` // latency-target
	Target  time.Duration `json:"target,omitempty"`  // latency-target
	Workers []string      `json:"workers,omitempty"` // drain
	For     time.Duration `json:"for,omitempty"`     // drain: restore by itself after this time
	Drain   string        `json:"drain,omitempty"`   // restore, cancel: the drain's id
	Job     *Job          `json:"job,omitempty"`     // run; cancel names it by ID only
}

// Verb is what happens to a task or worker in a step.
type Verb string

// Verbs of plan steps.
const (
	Move     Verb = "move"     // checkpoint and start elsewhere
	Stop     Verb = "stop"     // stop without resumption
	Wait     Verb = "wait"     // pending until capacity is free
	Close    Verb = "close"    // no new requests to the worker
	Open     Verb = "open"     // requests to the worker again
	Throttle Verb = "throttle" // lower processor grant
	Start    Verb = "start"    // start on the worker
	Set      Verb = "set"      // change the configuration
)

// Step is one line of a plan.
type Step struct {
	Verb   Verb          `json:"verb"`
	Task   string        `json:"task,omitempty"`
	Worker string        `json:"worker,omitempty"`
	To     string        `json:"to,omitempty"`
	For    time.Duration `json:"for,omitempty"` // expected
	Reason string        `json:"why,omitempty"`
}

func (s Step) String() string {
	out := string(s.Verb)
	for _, part := range []string{s.Task, s.Worker} {
		if part != "" {
			out += " " + part
		}
	}
	if s.To != "" {
		out += " -> " + s.To
	}
	if s.For > 0 {
		out += fmt.Sprintf(" (about %s)", s.For)
	}
	if s.Reason != "" {
		out += ": " + s.Reason
	}
	return out
}

// Expectation is the expected effect of a plan on the three measures, as
// relative changes (0.1 is 10 % more).
type Expectation struct {
	Latency    float64 `json:"latency"`
	Throughput float64 `json:"throughput"`
	Evictions  int     `json:"evictions"` // absolute number
}

// Plan lists what an intent will do. It is bound to Revision: confirmation
// succeeds only if a plan made anew has the same steps.
type Plan struct {
	ID       string      `json:"id"`
	Intent   Intent      `json:"intent"`
	Revision int64       `json:"revision"` // of the configuration it was made from
	Steps    []Step      `json:"steps"`
	Expected Expectation `json:"expected"`
	Created  time.Time   `json:"made"`
}
