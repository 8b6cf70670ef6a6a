// Package sender sends the calls of the platform's clients as HTTP requests with JSON
// bodies, and gives every failure a verdict on whether the call was executed.
//
// # Model
//
// A [Sender] sends one JSON value and decodes one. A call that got no connection has
// the verdict NotRun. If the receiver refuses a call, the verdict is the one that
// its response states. Any other call without a complete response is MayHaveRun.
//
//	s := sender.New("storer", "http://10.0.0.1:2400", http.DefaultClient)
//	err := s.Post(ctx, "/v1/get", request, &response)
//	if classifier.VerdictOf(err) == classifier.NotRun {
//		// the call was not executed
//	}
package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// maxResponseSize is the maximum number of bytes that are read of a response.
const maxResponseSize = 64 << 20

// Sender sends calls to paths below one base URL. It is safe for concurrent use once
// its fields are set.
type Sender struct {
	ErrorPrefix  string           // prefix of error messages
	BaseURL      string           // prefix of paths, without trailing slash; empty if calls name whole URLs
	ErrorsByCode map[string]error // errors that refusals wrap, by the code in the response
	client       *http.Client
}

// New returns a sender of calls to baseURL whose error messages begin with
// errorPrefix.
func New(errorPrefix, baseURL string, client *http.Client) *Sender {
	return &Sender{ErrorPrefix: errorPrefix, BaseURL: strings.TrimSuffix(baseURL, "/"), client: client}
}

// refusalBody is the body of a response with a status other than 200.
type refusalBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// Post sends in as JSON in a POST request to path and decodes the response into out,
// unless out is nil. Errors are *classifier.Error values.
func (s *Sender) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return s.callError(classifier.NotRun, "encode", err)
	}
	return s.do(ctx, http.MethodPost, path, body, out)
}

// Get sends a GET request to path and decodes the response into out, unless out is nil.
// Errors are *classifier.Error values.
func (s *Sender) Get(ctx context.Context, path string, out any) error {
	return s.do(ctx, http.MethodGet, path, nil, out)
}

// do sends one request. The verdict of a failure is NotRun until the request has got a
// connection, MayHaveRun until the whole response is read, and Ran if a response of
// status 200 cannot be decoded.
func (s *Sender) do(ctx context.Context, method, path string, body []byte, out any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, s.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return s.callError(classifier.NotRun, "address", err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(r)
	if err != nil {
		verdict := classifier.MayHaveRun
		if !connected.Load() {
			verdict = classifier.NotRun
		}
		return s.callError(verdict, "unreachable", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return s.callError(classifier.MayHaveRun, "cut", err)
	}
	if response.StatusCode != http.StatusOK {
		return s.refusalError(response.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return s.callError(classifier.Ran, "decode", err)
	}
	return nil
}

// refusalError returns the error for a response with a status other than 200. The
// verdict is the one in the body, or MayHaveRun if the body states none.
func (s *Sender) refusalError(status int, data []byte) error {
	var r refusalBody
	if err := json.Unmarshal(data, &r); err != nil || r.Code == "" {
		return s.callError(classifier.MayHaveRun, "status", fmt.Errorf("status %d", status))
	}
	return &classifier.Error{
		Verdict: classifier.ParseVerdict(r.Verdict),
		Status:  status,
		Code:    r.Code,
		Message: s.ErrorPrefix + ": " + r.Message,
		Err:     s.ErrorsByCode[r.Code],
	}
}

// callError returns the error of a call that was not answered with a refusal.
func (s *Sender) callError(verdict classifier.Verdict, code string, err error) error {
	return &classifier.Error{
		Verdict: verdict,
		Status:  http.StatusBadGateway,
		Code:    code,
		Message: s.ErrorPrefix + ": call failed",
		Err:     err,
	}
}
