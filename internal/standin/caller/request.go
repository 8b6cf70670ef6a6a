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
	ID     string
	Charge bool // not idempotent; ID is its key
	Tenant string
	Class  string
	Body   string // of a charge
	ResponseSize   int    // bytes of answer
	ServiceTime   time.Duration
}

// Outcome is what a caller knows after an attempt.
type Outcome uint8

// Outcomes.
const (
	Unclear  Outcome = iota // it may have run
	Answered                // with the whole answer
	Denied                  // it has not run
)

func (o Outcome) String() string { return [...]string{"unclear", "answered", "denied"}[o] }

// attempt is one sending of a request.
type attempt struct {
	outcome Outcome
	local   string // the caller's address
	err     error  // the connection broke
	wrong   bool   // the answer was not the request's own
	code    string // of a failure
}

// send sends the request to address once.
func (q Request) send(client *http.Client, address string) attempt {
	var out attempt
	r := q.build(address)
	sent := 0 // net/http by itself repeats an idempotent request on a connection that broke
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		out.local = c.Conn.LocalAddr().String()
		sent++
	}}
	answer, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		out.err, out.code = err, "connection"
		return out
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		out.err, out.code = err, "cut"
	case answer.StatusCode == http.StatusOK:
		out.outcome = Answered
		out.wrong = !q.matches(answer, data)
	default:
		out.code = codeOf(answer, data)
		if answer.Header.Get(hoster.HeaderVerdict) == "not-run" && sent == 1 {
			out.outcome = Denied
		}
	}
	return out
}

// codeOf returns a failure's code and verdict.
func codeOf(answer *http.Response, data []byte) string {
	var failure struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(data, &failure) != nil || failure.Code == "" {
		failure.Code = answer.Status
	}
	return failure.Code + " " + answer.Header.Get(hoster.HeaderVerdict)
}

func (q Request) build(address string) *http.Request {
	method := http.MethodGet
	if q.Charge {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+address+"/svc/"+deployer.Service+"/menus", strings.NewReader(q.Body))
	if err != nil {
		panic(err) // the address is of our own making
	}
	r.Header.Set("Dotterel-Tenant", q.Tenant)
	r.Header.Set("Dotterel-Class", q.Class)
	r.Header.Set("Dotterel-Deadline", callDeadline.String())
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

// matches reports whether the answer is whole and the request's own.
func (q Request) matches(answer *http.Response, data []byte) bool {
	return answer.Header.Get(hoster.HeaderRequestID) == q.ID &&
		bytes.Equal(data, hoster.ResponseBody(q.ID, []byte(q.Body), fmt.Sprint(q.ResponseSize)))
}
