package messenger

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// codeWithVerdict is the JSON-RPC error code of all errors; the data member tells them
// apart.
const codeWithVerdict = -32000

// errorData is the data member of a JSON-RPC error. It carries the fields of a
// classifier.Error.
type errorData struct {
	Verdict          string `json:"verdict"`
	Status           int    `json:"status,omitempty"`
	Code             string `json:"code,omitempty"`
	Field            string `json:"field,omitempty"`
	RetryAfterMillis int64  `json:"retry,omitempty"`
}

// encodeError returns the JSON-RPC error for err. An err without a classifier.Error in
// its chain gets the verdict MayHaveRun and the code "internal".
func encodeError(err error) *jsonrpc2.Error {
	var e *classifier.Error
	if !errors.As(err, &e) {
		e = &classifier.Error{Verdict: classifier.MayHaveRun, Code: "internal", Message: err.Error()}
	}
	out := &jsonrpc2.Error{Code: codeWithVerdict, Message: e.Message}
	out.SetError(errorData{
		Verdict:          e.Verdict.String(),
		Status:           e.Status,
		Code:             e.Code,
		Field:            e.Field,
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	})
	return out
}

// decodeError returns the classifier.Error for a peer's JSON-RPC error. If the data is
// missing or cannot be decoded, the verdict is MayHaveRun.
func decodeError(err *jsonrpc2.Error) *classifier.Error {
	var f errorData
	if err.Data != nil {
		if json.Unmarshal(*err.Data, &f) != nil {
			f = errorData{}
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
		RetryAfter: time.Duration(f.RetryAfterMillis) * time.Millisecond,
	}
}
