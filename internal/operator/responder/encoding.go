package responder

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// failure is the body of every answer that is not a success.
type failure struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Field   string   `json:"field,omitempty"`
	Verdict string   `json:"verdict"`
	Retry   float64  `json:"retry,omitempty"`   // seconds until a repeat makes sense
	Details []string `json:"details,omitempty"` // one line each
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has gone away if this fails
}

func writeError(w http.ResponseWriter, err error) {
	var e *classifier.Error
	if !errors.As(err, &e) {
		e = &classifier.Error{Code: "internal", Message: err.Error(), Status: http.StatusInternalServerError}
	}
	status := e.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Dotterel-Verdict", e.Verdict.String())
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	writeJSON(w, status, failure{
		Code: e.Code, Message: e.Message, Field: e.Field, Verdict: e.Verdict.String(),
		Retry: e.RetryAfter.Seconds(), Details: e.Details,
	})
}

// readJSON decodes a body of at most limit bytes; unknown fields and trailing
// data are errors with verdict NotRun.
func readJSON(w http.ResponseWriter, request *http.Request, limit int64, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("body", "body holds more than one JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		e := invalid("body", "body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
		e.Status = http.StatusRequestEntityTooLarge
		return e
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalid(wrongType.Field, "must be "+wrongType.Type.String()+", is "+wrongType.Value)
	}
	return invalid("body", err.Error())
}

func invalid(field, message string) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusBadRequest, Code: "invalid", Message: message, Field: field,
	}
}

func unavailable(code, message string) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, Code: code, Message: message, RetryAfter: time.Second,
	}
}
