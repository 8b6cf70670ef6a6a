// Package sender carries the calls of the platform's clients as HTTP with
// JSON, and gives every failure its verdict.
//
// # Model
//
// A [Sender] posts one JSON value and reads one. A call that never got a
// connection, or that the receiver refused in words, has not run. Any other
// call without an answer may have run.
//
//	s := sender.New("storer", "http://10.0.0.1:2400", http.DefaultClient)
//	err := s.Send(ctx, "/v1/get", request, &answer)
//	if classifier.Of(err) == classifier.NotRun {
//		// nothing happened
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

// maxAnswer bounds what is read of one answer, in bytes.
const maxAnswer = 64 << 20

// Sender posts calls below one base URL.
type Sender struct {
	ErrorPrefix  string           // prefix of error messages
	BaseURL      string           // base URL without trailing slash; may be empty if calls name whole URLs
	ErrorsByCode map[string]error // error that a refusal's code stands for
	client       *http.Client
}

// New makes a sender whose errors begin with part.
func New(part, base string, client *http.Client) *Sender {
	return &Sender{ErrorPrefix: part, BaseURL: strings.TrimSuffix(base, "/"), client: client}
}

// refusal is the body of every answer that is not 200.
type refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// Post posts in to path and decodes the answer into out, if out is not nil.
// Errors are *classifier.Error values.
func (s *Sender) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return s.fail(classifier.NotRun, "encode", err)
	}
	return s.do(ctx, http.MethodPost, path, body, out)
}

// Get gets path and decodes the answer into out.
func (s *Sender) Get(ctx context.Context, path string, out any) error {
	return s.do(ctx, http.MethodGet, path, nil, out)
}

func (s *Sender) do(ctx context.Context, method, path string, body []byte, out any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, s.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return s.fail(classifier.NotRun, "address", err)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(r)
	if err != nil {
		verdict := classifier.MayHaveRun
		if !connected.Load() {
			verdict = classifier.NotRun
		}
		return s.fail(verdict, "unreachable", err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return s.fail(classifier.MayHaveRun, "cut", err)
	}
	if answer.StatusCode != http.StatusOK {
		return s.refused(answer.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return s.fail(classifier.Ran, "decode", err)
	}
	return nil
}

// refused reads a refusal. Only a body that states its verdict is believed.
func (s *Sender) refused(status int, data []byte) error {
	var r refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Code == "" {
		return s.fail(classifier.MayHaveRun, "status", fmt.Errorf("status %d", status))
	}
	return &classifier.Error{
		Verdict: classifier.ParseVerdict(r.Verdict),
		Status:  status,
		Code:    r.Code,
		Message: s.ErrorPrefix + ": " + r.Message,
		Err:     s.ErrorsByCode[r.Code],
	}
}

func (s *Sender) fail(verdict classifier.Verdict, code string, err error) error {
	return &classifier.Error{
		Verdict: verdict,
		Status:  http.StatusBadGateway,
		Code:    code,
		Message: s.ErrorPrefix + ": call failed",
		Err:     err,
	}
}
