package forwarder

import (
	"net/http"
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
