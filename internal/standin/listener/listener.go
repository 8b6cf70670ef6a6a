// Package listener serves a stand-in's HTTP interface on a loopback port.
//
// A [Listener] owns its port and one goroutine. Handlers are plain functions
// over JSON values:
//
//	mux.Handle("POST /v1/get", listener.Handle(k.Get))
//	l, err := listener.New("127.0.0.1:0", mux)
//	defer l.Close()
package listener

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// maxBody bounds a request, in bytes.
const maxBody = 16 << 20

// Listener is an HTTP server on its own port.
type Listener struct {
	Address string        // ip:port
	Done    chan struct{} // closed when serving has ended
	server  *http.Server
}

// New listens on address, such as 127.0.0.1:0, and serves handler.
func New(address string, handler http.Handler) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		Address: inner.Addr().String(),
		Done:    make(chan struct{}),
		server:  &http.Server{Handler: handler},
	}
	go func() {
		defer close(l.Done)
		_ = l.server.Serve(inner)
	}()
	return l, nil
}

// Close ends the server at once and cuts its connections.
func (l *Listener) Close() error {
	err := l.server.Close()
	<-l.Done
	return err
}

type refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// ErrDropResponse makes a handler cut the connection in place of an answer.
var ErrDropResponse = errors.New("listener: answer dropped")

// NewRefusal builds an error that says that the call did not run.
func NewRefusal(status int, code, message string) error {
	return &classifier.Error{Verdict: classifier.NotRun, Status: status, Code: code, Message: message}
}

// Handle serves call: it decodes the request's JSON and encodes the answer.
func Handle[In, Out any](call func(*http.Request, In) (Out, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in In
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err == nil && len(body) > 0 {
			err = json.Unmarshal(body, &in)
		}
		if err != nil {
			WriteResponse(w, nil, NewRefusal(http.StatusBadRequest, "malformed", err.Error()))
			return
		}
		out, err := call(r, in)
		WriteResponse(w, out, err)
	})
}

// WriteResponse writes out, or the refusal that err stands for.
func WriteResponse(w http.ResponseWriter, out any, err error) {
	if errors.Is(err, ErrDropResponse) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(out)
		return
	}
	status, code := http.StatusInternalServerError, "internal"
	var e *classifier.Error
	message := err.Error()
	if errors.As(err, &e) {
		status, code, message = e.Status, e.Code, e.Message
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal{code, message, classifier.VerdictOf(err).String()})
}
