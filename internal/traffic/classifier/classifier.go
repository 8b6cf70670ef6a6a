// Package classifier states for every failed request whether it may have run.
//
// # Verdicts
//
// A [Verdict] is NotRun, MayHaveRun or Ran. NotRun is a promise: nobody has
// executed the request and nobody will. It holds if no byte of the request was
// handed to a connection, or if the receiver explicitly refused it. Any other
// failure without a response is MayHaveRun.
//
//	if classifier.VerdictOf(err) == classifier.NotRun {
//		// safe to retry, even if the request is not idempotent
//	}
package classifier

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a failed request may have been executed.
type Verdict uint8

// Verdicts. The zero value is the cautious one, which allows no assumption.
const (
	MayHaveRun Verdict = iota // unknown
	NotRun                    // not executed, and never will be
	Ran                       // executed
)

func (v Verdict) String() string {
	switch v {
	case MayHaveRun:
		return "may-have-run"
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// ParseVerdict returns the verdict with the given text form, MayHaveRun for any
// other text.
func ParseVerdict(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	}
	return MayHaveRun
}

// EvacuatedRetry is the RetryAfter of a refusal due to evacuated failure domains. An
// operator ends an evacuation, so the real time isn't known.
const EvacuatedRetry = 10 * time.Second

// Error is an error with a verdict. It can be sent to callers with WriteError.
type Error struct {
	Verdict    Verdict
	Status     int           // HTTP status of the response; 0 means 503
	Code       string        // machine-readable, one word such as "overloaded"
	Message    string        // human-readable
	Field      string        // offending input field or header, if any
	Details    []string      // further lines, such as changes since a plan was made
	RetryAfter time.Duration // time after which to try again; 0 gives no advice
	Err        error         // cause, not sent to callers; may be nil
}

func (e *Error) Error() string {
	out := e.Code + ": " + e.Message + " (" + e.Verdict.String() + ")"
	if e.Err != nil {
		out += ": " + e.Err.Error()
	}
	return out
}

func (e *Error) Unwrap() error { return e.Err }

// VerdictOf returns the verdict of the outermost *Error in err's chain, MayHaveRun
// if there is none.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
