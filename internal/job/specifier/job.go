package specifier

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Limits of a submission.
const (
	MaxPayload = 4000  // bytes
	MaxSteps   = 200   // of a job
	MaxTasks   = 10000 // of one occurrence
	idDigits   = 16    // hexadecimal
)

// Job is a unit of submission. ID is chosen by the caller and makes the
// submission idempotent.
type Job struct {
	ID           string        `json:"id"`
	Queue        string        `json:"queue"`
	Payload      string        `json:"payload,omitempty"` // handed to every task
	Steps        []Step        `json:"steps"`
	Repeat       int           `json:"repeat,omitempty"` // occurrences; 0 is once, at once
	First        time.Time     `json:"first,omitzero"`   // when occurrence 0 is due
	Every        time.Duration `json:"every,omitempty"`  // between due times
	Accepted     time.Time     `json:"accepted,omitzero"`
	FormerShards []string      `json:"former,omitempty"` // shards that have handed it on
}

// Step is a number of equal tasks.
type Step struct {
	Count           int                 `json:"count"`
	Needs           describer.Resources `json:"needs"` // of each task
	Estimate        time.Duration       `json:"estimate,omitempty"`
	After           []int               `json:"after,omitempty"` // earlier steps that must have completed
	Checkpoint      bool                `json:"checkpoint,omitempty"`
	Gang            bool                `json:"gang,omitempty"`       // tasks run only together and end together
	TightlyCoupled  bool                `json:"tight,omitempty"`      // slower on more than one rack
	Label           string              `json:"label,omitempty"`      // that the worker must have
	PreferredRack   string              `json:"rack,omitempty"`       // where the data is; slower elsewhere
	MaxPerWorker    int                 `json:"spread,omitempty"`     // most tasks on one worker; 0 is no limit
	AllowDuplicates bool                `json:"duplicates,omitempty"` // copies may run; the first to complete counts
	Lasting         bool                `json:"lasting,omitempty"`    // runs until the job is cancelled
	Image           string              `json:"image,omitempty"`      // tasks of one image behave alike
	LatencyTarget   time.Duration       `json:"target,omitempty"`     // bound on the tail latency of the task's own users
	Filler          bool                `json:"filler,omitempty"`     // runs on processor time that others leave unused
	MaxUnavailable  int                 `json:"away,omitempty"`       // tasks that may be unavailable at once by our doing; see Budgeted
	Budgeted        bool                `json:"budgeted,omitempty"`   // Away is in force
}

// State is a job's state as callers see it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether the state no longer changes.
func (s State) IsFinal() bool { return s == Succeeded || s == Failed || s == Cancelled }

// FieldError is a fault of a submission.
type FieldError struct {
	Field  string // such as "steps[2].after"
	Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// ValidateID reports an id that is not 16 hexadecimal digits.
func ValidateID(id string) error {
	if len(id) != idDigits {
		return &FieldError{Field: "id", Reason: fmt.Sprintf("has %d characters, wants %d hexadecimal digits", len(id), idDigits)}
	}
	if strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return &FieldError{Field: "id", Reason: "wants hexadecimal digits"}
	}
	return nil
}

// Validate reports the first fault of a job as a *FieldError.
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
	return nil
}

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
		// A step may only wait for earlier ones, so there is no cycle.
		if earlier < 0 || earlier >= number {
			return fault("after", fmt.Sprintf("names step %d, wants an earlier step", earlier))
		}
	}
	return nil
}

// Occurrences is how often the job's steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// Due is when an occurrence may begin, by the time of day. The zero time is at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// CriticalPath is the longest chain of estimated run times through the steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, earlier := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskID names one task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String is the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.StepID() + "." + strconv.Itoa(t.Index)
}

// StepID is the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepID() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads the text form.
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
