// Package classifier states for every failure whether the request may have
// run.
//
// # Verdicts
//
// A [Verdict] is NotRun, MayHaveRun or Ran. NotRun is a promise: nobody has
// executed the request and nobody will. It holds after a failure before the
// first byte was handed to a connection, or after an explicit refusal by the
// receiver. Everything else that has no answer is MayHaveRun.
//
//	if classifier.Of(err) == classifier.NotRun {
//		// safe to retry, also when the request is not idempotent
//	}
package classifier

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a failed request may have been executed.
type Verdict uint8

// Verdicts. The zero value is the cautious one.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
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

// ParseVerdict reads the text form of a verdict; unknown text is MayHaveRun.
func ParseVerdict(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	}
	return MayHaveRun
}

// Error is a failure with its verdict.
type Error struct {
	Verdict    Verdict
	Status     int           // HTTP status for the caller
	Code       string        // one word for programs, such as "overloaded"
	Message    string        // for people
	Field      string        // the offending input field, if any
	Details    []string      // one line each, such as what has changed since a plan was made
	RetryAfter time.Duration // when to come back; 0 is unstated
	Err        error         // cause, may be nil
}

func (e *Error) Error() string {
	out := e.Code + ": " + e.Message + " (" + e.Verdict.String() + ")"
	if e.Err != nil {
		out += ": " + e.Err.Error()
	}
	return out
}

func (e *Error) Unwrap() error { return e.Err }

// VerdictOf returns the verdict of err: that of the outermost *Error in its chain,
// otherwise MayHaveRun.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
