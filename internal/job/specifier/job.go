package specifier

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Limits on submitted jobs.
const (
	MaxPayload = 4000  // bytes
	MaxSteps   = 200   // steps in a job
	MaxTasks   = 10000 // tasks in one occurrence

	MaxJobTasks = 100000 // tasks in all occurrences; an owner holds all of them
	idDigits    = 16     // hexadecimal digits in a job id
)

// Job is what a caller submits. ID is chosen by the caller and makes the
// submission idempotent. The JSON form is stored.
type Job struct {
	ID           string        `json:"id"`
	Queue        string        `json:"queue"`
	Payload      string        `json:"payload,omitempty"` // passed to every task
	Steps        []Step        `json:"steps"`
	Repeat       int           `json:"repeat,omitempty"`  // number of occurrences; 0 is one that starts at once
	First        time.Time     `json:"first,omitzero"`    // when occurrence 0 is due
	Every        time.Duration `json:"every,omitempty"`   // interval between due times
	Accepted     time.Time     `json:"accepted,omitzero"` // when the job was accepted
	FormerShards []string      `json:"former,omitempty"`  // shards that the job was moved away from
	Terms        Queue         `json:"terms,omitzero"`    // the queue when the job was accepted; applies if the queue is removed
}

// Step is a number of identical tasks.
type Step struct {
	Count           int                 `json:"count"`
	Needs           describer.Resources `json:"needs"`                // resources for each task
	Estimate        time.Duration       `json:"estimate,omitempty"`   // expected run time of a task
	After           []int               `json:"after,omitempty"`      // indices of earlier steps that must have completed
	Checkpoint      bool                `json:"checkpoint,omitempty"` // the tasks write checkpoints and can resume from them
	Gang            bool                `json:"gang,omitempty"`       // the tasks start together and complete together
	TightlyCoupled  bool                `json:"tight,omitempty"`      // the tasks are slower on different racks
	Label           string              `json:"label,omitempty"`      // label that the worker must have
	PreferredRack   string              `json:"rack,omitempty"`       // rack of the data; tasks are slower elsewhere
	MaxPerWorker    int                 `json:"spread,omitempty"`     // maximum number of its tasks on a worker; 0 is no limit
	AllowDuplicates bool                `json:"duplicates,omitempty"` // a task may have several runs; the first to complete counts
	LongRunning     bool                `json:"lasting,omitempty"`    // runs until the job is cancelled
	Image           string              `json:"image,omitempty"`      // tasks of the same image have similar behaviour
	LatencyTarget   time.Duration       `json:"target,omitempty"`     // target for the tail latency of the task's users; 0 is none
	Filler          bool                `json:"filler,omitempty"`     // uses only CPU time that others leave idle
	MaxUnavailable  int                 `json:"away,omitempty"`       // tasks that the scheduler may interrupt at the same time
	Budgeted        bool                `json:"budgeted,omitempty"`   // whether MaxUnavailable applies
}

// State is the state of a job as callers see it. It is stored and sent.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether the state can't change any more.
func (s State) IsFinal() bool { return s == Succeeded || s == Failed || s == Cancelled }

// FieldError reports an invalid field of a submitted job.
type FieldError struct {
	Field  string // path of the field, such as "steps[2].after"
	Reason string // what is wrong with it
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// ValidateID returns a *FieldError unless id consists of 16 hexadecimal digits.
func ValidateID(id string) error {
	if len(id) != idDigits {
		return &FieldError{Field: "id", Reason: fmt.Sprintf("has %d characters, wants %d hexadecimal digits", len(id), idDigits)}
	}
	if strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return &FieldError{Field: "id", Reason: "wants hexadecimal digits"}
	}
	return nil
}

// Validate returns a *FieldError for the first invalid field of the job.
func (j *Job) Validate() error {
	if err := ValidateID(j.ID); err != nil {
		return err
	}
	if len(j.Payload) > MaxPayload {
		return &FieldError{Field: "payload", Reason: fmt.Sprintf("has %d bytes, at most %d are taken", len(j.Payload), MaxPayload)}
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &FieldError{Field: "steps", Reason: fmt.Sprintf("has %d entries, wants 1 to %d", len(j.Steps), MaxSteps)}
	}
	if j.Repeat < 0 || j.Every < 0 {
		return &FieldError{Field: "repeat", Reason: "is negative"}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > MaxTasks {
		return &FieldError{Field: "steps", Reason: fmt.Sprintf("have %d tasks, at most %d are taken", tasks, MaxTasks)}
	}
	if tasks > MaxJobTasks/j.Occurrences() {
		return &FieldError{Field: "repeat", Reason: fmt.Sprintf(
			"is %d, with %d tasks each time; at most %d tasks are taken in all", j.Repeat, tasks, MaxJobTasks,
		)}
	}
	return nil
}

// ReservedNeeds returns what a task of the step reserves of a worker's capacity. Fillers
// reserve no CPU.
func (s *Step) ReservedNeeds() describer.Resources {
	needs := s.Needs
	if s.Filler {
		needs.CPU = 0
	}
	return needs
}

// validate returns a *FieldError for the first invalid field of the step. number
// is its index in the job.
func (s *Step) validate(number int) error {
	fault := func(field, reason string) error {
		return &FieldError{Field: fmt.Sprintf("steps[%d].%s", number, field), Reason: reason}
	}
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fault("count", fmt.Sprintf("is %d, wants 1 to %d", s.Count, MaxTasks))
	case s.Needs.CPU < 0 || s.Needs.Memory < 0 || s.Needs.Accelerators < 0:
		return fault("needs", "is negative")
	case s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.LatencyTarget < 0:
		return fault("estimate", "or another number is negative")
	case s.Gang && s.MaxPerWorker > 0 && s.Count > MaxTasks/2:
		return fault("gang", "is too wide to be spread")
	}
	for _, earlier := range s.After {
		// Dependencies on earlier steps only exclude cycles.
		if earlier < 0 || earlier >= number {
			return fault("after", fmt.Sprintf("names step %d, wants an earlier step", earlier))
		}
	}
	return nil
}

// Occurrences returns how often the job's steps run, at least 1.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// TaskAt returns the id of the task with an ordinal: its place among all tasks of the job by
// occurrence, step and index, counting from 0. It returns false for a number that isn't one.
func (j *Job) TaskAt(ordinal int) (TaskID, bool) {
	count := j.TaskCount()
	if ordinal < 0 || count == 0 {
		return TaskID{}, false
	}
	id := TaskID{Job: j.ID, Occurrence: ordinal / count}
	rest := ordinal % count
	for rest >= j.Steps[id.Step].Count {
		rest -= j.Steps[id.Step].Count
		id.Step++
	}
	id.Index = rest
	return id, id.Occurrence < j.Occurrences()
}

// Due returns when an occurrence may start, by the wall clock. The zero time
// means at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// Spread returns the number of different workers that the job's long-running tasks
// need at the same time, or 0 if any number will do.
func (j *Job) Spread() int {
	spread := 0
	for _, s := range j.Steps {
		if s.LongRunning && s.MaxPerWorker > 0 && s.Count > 1 {
			spread = max(spread, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
		}
	}
	return spread
}

// TaskID identifies a task. Occurrence, Step and Index count from 0.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX, which ParseTaskID reads.
func (t TaskID) String() string {
	return t.StepID() + "." + strconv.Itoa(t.Index)
}

// StepID returns the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepID() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("specifier: task id %q has %d parts, wants 4", text, len(parts))
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("specifier: task id %q: %q is not a number", text, part)
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
