package classifier

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Header carries the verdict of every failure.
const Header = "Dotterel-Verdict"

// answer is the body of a failure.
type answer struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Field   string   `json:"field,omitempty"`
	Verdict string   `json:"verdict"`
	Retry   string   `json:"retry,omitempty"` // when to come back, such as "1s"
	Details []string `json:"details,omitempty"`
}

// WriteError writes err as an HTTP answer: status, verdict, Retry-After and a body
// in JSON. An err that is no *Error is an internal one that may have run.
// Nothing may have been written before.
func WriteError(w http.ResponseWriter, err error) {
	e := asError(err)
	out := answer{Code: e.Code, Message: e.Message, Field: e.Field, Verdict: e.Verdict.String(), Details: e.Details}
	h := w.Header()
	if e.RetryAfter > 0 {
		out.Retry = e.RetryAfter.Round(time.Millisecond).String()
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	data, _ := json.Marshal(out) // strings only, cannot fail
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(Header, e.Verdict.String())
	w.WriteHeader(statusOf(e))
	_, _ = w.Write(data)
}

func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: "internal", Message: err.Error(), Status: http.StatusInternalServerError}
}

func statusOf(e *Error) int {
	if e.Status == 0 {
		return http.StatusServiceUnavailable
	}
	return e.Status
}
