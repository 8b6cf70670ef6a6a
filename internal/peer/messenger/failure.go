package messenger

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// codeFailed is the JSON-RPC error code of failures with a verdict.
const codeFailed = -32000

// failure is the data member of a JSON-RPC error.
type failure struct {
	Verdict string `json:"verdict"`
	Status  int    `json:"status,omitempty"`
	Code    string `json:"code,omitempty"`
	Field   string `json:"field,omitempty"`
	Retry   int64  `json:"retry,omitempty"` // milliseconds
}

func encodeError(err error) *jsonrpc2.Error {
	var e *classifier.Error
	if !errors.As(err, &e) {
		e = &classifier.Error{Verdict: classifier.MayHaveRun, Code: "internal", Message: err.Error()}
	}
	out := &jsonrpc2.Error{Code: codeFailed, Message: e.Message}
	out.SetError(failure{
		Verdict: e.Verdict.String(),
		Status:  e.Status,
		Code:    e.Code,
		Field:   e.Field,
		Retry:   e.RetryAfter.Milliseconds(),
	})
	return out
}

// decodeError reads a peer's refusal; data that cannot be read leaves the
// cautious verdict.
func decodeError(err *jsonrpc2.Error) *classifier.Error {
	var f failure
	if err.Data != nil {
		if json.Unmarshal(*err.Data, &f) != nil {
			f = failure{}
		}
	}
	if f.Code == "" {
		f.Code = "peer"
	}
	return &classifier.Error{
		Verdict:    classifier.ParseVerdict(f.Verdict),
		Status:     f.Status,
		Code:       f.Code,
		Message:    err.Message,
		Field:      f.Field,
		RetryAfter: time.Duration(f.Retry) * time.Millisecond,
	}
}
