package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

var (
	errStopping = &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable,
		Code: "stopping", Message: "this entry host is stopping", RetryAfter: time.Second,
	}
	errStarting = &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable,
		Code: "starting", Message: "this entry host does not know the configuration yet", RetryAfter: time.Second,
	}
	errStopped = &classifier.Error{
		Verdict: classifier.MayHaveRun, Status: http.StatusServiceUnavailable,
		Code: "stopped", Message: "the entry host's planned stop reached its time limit",
	}
)

// failureBody is the body of a failure.
type failureBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Field   string `json:"field"`
	Verdict string `json:"verdict"`
	Retry   string `json:"retry"` // when to come back, "" is unstated
}

// writeFailure answers a caller to whom nothing has been written yet.
func writeFailure(w http.ResponseWriter, err error) {
	e := asFailure(err)
	out := failureBody{Code: e.Code, Message: e.Message, Field: e.Field, Verdict: e.Verdict.String()}
	h := w.Header()
	if e.RetryAfter > 0 {
		out.Retry = e.RetryAfter.Round(time.Millisecond).String()
		h.Set("Retry-After", strconv.FormatInt(int64((e.RetryAfter+time.Second-1)/time.Second), 10))
	}
	data, _ := json.Marshal(out)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(VerdictHeader, e.Verdict.String())
	w.WriteHeader(e.Status)
	_, _ = w.Write(data)
}
