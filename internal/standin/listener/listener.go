// Package listener serves the HTTP interface of a stand-in on a loopback port.
//
// A [Listener] owns its port and one goroutine that serves it. Handlers are plain
// functions from one JSON value to another:
//
//	mux.Handle("POST /v1/get", listener.Handle(s.get))
//	l, err := listener.New("127.0.0.1:0", mux)
//	defer l.Close()
package listener

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// maxBody is the largest accepted request body, in bytes.
const maxBody = 16 << 20

// Listener is an HTTP server on a port of its own.
type Listener struct {
	Address string        // ip:port
	Done    chan struct{} // closed once serving has ended
	server  *http.Server
}

// New listens on address, such as 127.0.0.1:0, and serves handler.
func New(address string, handler http.Handler) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		Address: listener.Addr().String(),
		Done:    make(chan struct{}),
		server:  &http.Server{Handler: handler},
	}
	go func() {
		defer close(l.Done)
		_ = l.server.Serve(listener)
	}()
	return l, nil
}

// FreeLoopback returns port 0 of a random loopback address, which lets the system
// choose a free port. A server that listens there again after a stop finds its port
// free: on 127.0.0.1 an outgoing connection could have taken it.
func FreeLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(255), 1+rand.N(254))
}

// Close ends the server and closes its connections at once, also those in use.
func (l *Listener) Close() error {
	err := l.server.Close()
	<-l.Done
	return err
}

// errorBody is the body of an error response.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"` // whether the call may have run; see package classifier
}

// ErrDropResponse makes a handler close the connection without a response.
var ErrDropResponse = errors.New("listener: response dropped")

// NewRefusal returns an error with the verdict that the call did not run. The status,
// code and message are sent to the client.
func NewRefusal(status int, code, message string) error {
	return &classifier.Error{Verdict: classifier.NotRun, Status: status, Code: code, Message: message}
}

// Handle returns a handler that decodes the request body as JSON, passes it to call
// and writes the result as JSON.
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

// WriteResponse writes out as JSON or, if err is not nil, the error response for it.
// After ErrDropResponse it closes the connection.
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
	_ = json.NewEncoder(w).Encode(errorBody{code, message, classifier.VerdictOf(err).String()})
}
