package describer

import (
	"fmt"
	"time"
)

// Action is what an intent does.
type Action string

// Actions of intents.
const (
	SetTarget    Action = "latency-target" // set the latency target of a service
	Run          Action = "run"            // run a job
	DrainWorkers Action = "drain"          // move the tasks off workers
	Evacuate     Action = "evacuate"       // start nothing more in a failure domain; what runs there goes on
	Restore      Action = "restore"        // end a drain, returning its tasks gradually, or an evacuation
	Cancel       Action = "cancel"         // cancel a drain or a job
)

// Intent is an operator's request. It has no effect until its plan is confirmed.
// The comment of a field names the actions that use it.
type Intent struct {
	ID      string        `json:"id"`
	Action  Action        `json:"action"`
	Service string        `json:"service,omitempty"` // latency-target: name of the service
	Target  time.Duration `json:"target,omitempty"`  // latency-target: the new target
	Workers []string      `json:"workers,omitempty"` // drain: names of the workers
	For     time.Duration `json:"for,omitempty"`     // drain: time after which the restore begins; 0 means on request
	Domain  string        `json:"domain,omitempty"`  // evacuate: name of the failure domain
	Drain   string        `json:"drain,omitempty"`   // restore: id of a drain or evacuation; cancel: of a drain
	Job     *Job          `json:"job,omitempty"`     // run: the job; cancel: a job with only its ID
}

// Verb is what a plan step does.
type Verb string

// Verbs of plan steps.
const (
	Move     Verb = "move"     // checkpoint the task and start it on another worker
	Stop     Verb = "stop"     // stop the task for good
	Wait     Verb = "wait"     // let the task wait until there is capacity
	Close    Verb = "close"    // send no new requests to the worker
	Open     Verb = "open"     // send requests to the worker again
	Throttle Verb = "throttle" // lower the task's processor grant
	Start    Verb = "start"    // start the task on the worker
	Set      Verb = "set"      // change the configuration
)

// Step is one step of a plan.
type Step struct {
	Verb   Verb          `json:"verb"`
	Task   string        `json:"task,omitempty"` // a task, or a job with a number of tasks
	Worker string        `json:"worker,omitempty"`
	To     string        `json:"to,omitempty"`  // destination worker
	For    time.Duration `json:"for,omitempty"` // expected duration
	Reason string        `json:"why,omitempty"`
}

// String returns the step as a line of text for operators.
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

// Expectation is the expected effect of a plan on the three measures. Latency
// and Throughput are relative changes; 0.1 means 10 % more.
type Expectation struct {
	Latency    float64 `json:"latency"`
	Throughput float64 `json:"throughput"`
	Evictions  int     `json:"evictions"` // number of evictions
}

// Plan lists the steps of an intent. A confirmation succeeds only if the steps,
// computed again, contain no new one.
type Plan struct {
	ID       string      `json:"id"`
	Intent   Intent      `json:"intent"`
	Revision int64       `json:"revision"` // revision of the configuration that it was made from
	Steps    []Step      `json:"steps"`
	Expected Expectation `json:"expected"`
	Created  time.Time   `json:"made"`
}
