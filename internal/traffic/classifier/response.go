package classifier

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Header is the response header that carries the verdict.
const Header = "Dotterel-Verdict"

// errorBody is the JSON body of an error response.
type errorBody struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Field   string   `json:"field,omitempty"`
	Verdict string   `json:"verdict"`
	Retry   string   `json:"retry,omitempty"` // time after which to try again, such as "1s"
	Details []string `json:"details,omitempty"`
}

// WriteError writes err as an HTTP response: status, verdict header, Retry-After
// and a JSON body. An err without an *Error in its chain becomes an internal error
// that may have run. The response headers must not have been written before.
func WriteError(w http.ResponseWriter, err error) {
	e := asError(err)
	out := errorBody{Code: e.Code, Message: e.Message, Field: e.Field, Verdict: e.Verdict.String(), Details: e.Details}
	h := w.Header()
	if e.RetryAfter > 0 {
		out.Retry = e.RetryAfter.Round(time.Millisecond).String()
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	data, _ := json.Marshal(out) // cannot fail for strings
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(Header, e.Verdict.String())
	w.WriteHeader(statusOf(e))
	_, _ = w.Write(data)
}

// asError returns the *Error in err's chain, or an internal error with err's text.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: "internal", Message: err.Error(), Status: http.StatusInternalServerError}
}

// statusOf returns the HTTP status of e; the default is 503 Service Unavailable.
func statusOf(e *Error) int {
	if e.Status == 0 {
		return http.StatusServiceUnavailable
	}
	return e.Status
}
