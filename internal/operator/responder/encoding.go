package responder

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// writeJSON responds with the status and with body as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

// readJSON decodes a request body of at most Options.MaxBody bytes. Unknown fields and
// trailing data are errors. Errors are *classifier.Error values with the verdict
// NotRun.
func (r *Responder) readJSON(w http.ResponseWriter, request *http.Request, into any) error {
	return r.options.Bodies.ReadBody(w, request, r.options.MaxBody, func(data []byte) error {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(into); err != nil {
			return bodyError(err)
		}
		if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
			return invalid("body", "body holds more than one JSON value")
		}
		return nil
	})
}

// bodyError turns a decoding error into one that names the offending field.
func bodyError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalid(fieldOrBody(wrongType.Field), "has the wrong type, is "+wrongType.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return invalid(strings.Trim(name, `"`), "unknown field")
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return invalid("body", "body ends before its JSON value does")
	}
	return invalid("body", err.Error())
}

// fieldOrBody returns name, or "body" if the error concerns the whole body.
func fieldOrBody(name string) string {
	if name == "" {
		return "body"
	}
	return name
}

// registerFallbacks adds routes for wrong methods on the given paths, and for all
// other paths. Without them the mux would respond without a verdict.
func registerFallbacks(mux *http.ServeMux, paths ...string) {
	for _, path := range paths {
		mux.HandleFunc(path, func(w http.ResponseWriter, request *http.Request) {
			e := invalid("method", "method "+request.Method+" is not allowed here")
			e.Status, e.Code = http.StatusMethodNotAllowed, "method"
			classifier.WriteError(w, e)
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, request *http.Request) {
		e := invalid("path", "nothing is served at "+request.URL.Path)
		e.Status, e.Code = http.StatusNotFound, "path"
		classifier.WriteError(w, e)
	})
}

// invalid returns an error for a request whose field is wrong.
func invalid(field, message string) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusBadRequest, Code: "invalid", Message: message, Field: field,
	}
}

// unavailable returns an error for a request that was not run and may be retried
// after a second.
func unavailable(code, message string) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, Code: code, Message: message, RetryAfter: time.Second,
	}
}
