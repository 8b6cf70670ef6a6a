package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
)

// Request is one request of a caller.
type Request struct {
	ID           string
	Charge       bool // not idempotent; sent with ID as its idempotency key
	Tenant       string
	Class        string
	Body         string        // empty unless the request is a charge
	ResponseSize int           // requested size of the response, in bytes
	ServiceTime  time.Duration // time to spend on the request; 0 leaves it to the worker
	Deadline     time.Duration // time for the complete response; 0 means callDeadline
}

// deadline returns the time that entry hosts have for the complete response.
func (q Request) deadline() time.Duration {
	if q.Deadline > 0 {
		return q.Deadline
	}
	return callDeadline
}

// Outcome is what a caller knows about a request after an attempt.
type Outcome uint8

// Outcomes of an attempt.
const (
	Unclear  Outcome = iota // the request may have run
	Answered                // a complete response with status 200 arrived
	Denied                  // the response says that the request has not run
)

// String returns the name of the outcome as scenarios write it.
func (o Outcome) String() string { return [...]string{"unclear", "answered", "denied"}[o] }

// attempt is the result of sending a request once.
type attempt struct {
	outcome      Outcome
	localAddress string        // caller's ip:port on the connection
	err          error         // non-nil if the connection broke before a complete response
	size         int           // size of what arrived of the response body, in bytes
	took         time.Duration // from before the request was sent
	mismatched   bool          // the response did not belong to the request
	code         string        // code and verdict of a failure; empty if answered
}

// send sends the request to address once.
func (q Request) send(client *http.Client, address string) (out attempt) {
	r := q.httpRequest(address)
	// A refusal is only conclusive for a request that was sent once: net/http itself
	// repeats an idempotent request when its connection broke.
	sent := 0
	start := time.Now()
	defer func() { out.took = time.Since(start) }()
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		out.localAddress = c.Conn.LocalAddr().String()
		sent++
	}}
	response, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		out.err, out.code = err, "connection"
		return out
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	out.size = len(data)
	switch {
	case err != nil:
		out.err, out.code = err, "cut"
	case response.StatusCode == http.StatusOK:
		out.outcome = Answered
		out.mismatched = !q.matches(response, data)
	default:
		out.code = codeOf(response, data)
		if response.Header.Get(hoster.HeaderVerdict) == "not-run" && sent == 1 {
			out.outcome = Denied
		}
	}
	return out
}

// codeOf returns the code and verdict of a failed request, from its body and
// headers. The code is the HTTP status if the body holds none.
func codeOf(response *http.Response, data []byte) string {
	var failure struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(data, &failure) != nil || failure.Code == "" {
		failure.Code = response.Status
	}
	return failure.Code + " " + response.Header.Get(hoster.HeaderVerdict)
}

// httpRequest builds the HTTP request for an entry host or balancer at address.
func (q Request) httpRequest(address string) *http.Request {
	method := http.MethodGet
	if q.Charge {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+address+"/svc/"+deployer.Service+"/menus", strings.NewReader(q.Body))
	if err != nil {
		panic(err) // addresses come from the deployment and are valid
	}
	r.Header.Set("Dotterel-Tenant", q.Tenant)
	r.Header.Set("Dotterel-Class", q.Class)
	r.Header.Set("Dotterel-Deadline", q.deadline().String())
	r.Header.Set(hoster.HeaderRequestID, q.ID)
	r.Header.Set(hoster.HeaderResponseSize, fmt.Sprint(q.ResponseSize))
	if q.ServiceTime > 0 {
		r.Header.Set(hoster.HeaderServiceTime, q.ServiceTime.String())
	}
	if q.Charge {
		r.Header.Set(hoster.HeaderIdempotencyKey, q.ID)
	}
	return r
}

// matches reports whether the response is complete and belongs to the request.
func (q Request) matches(response *http.Response, data []byte) bool {
	return response.Header.Get(hoster.HeaderRequestID) == q.ID &&
		bytes.Equal(data, hoster.ResponseBody(q.ID, []byte(q.Body), fmt.Sprint(q.ResponseSize)))
}
