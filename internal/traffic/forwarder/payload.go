package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// replayable is the size up to which a body is held in memory, so that a
// request can be sent again. Larger bodies are streamed.
const replayable = 64 << 10

var errTooLarge = &classifier.Error{
	Verdict: classifier.MayHaveRun, Status: http.StatusRequestEntityTooLarge,
	Code: "body", Field: "body", Message: "the body is too large; a part of it was sent",
}

// payload is a request's body with the knowledge of whether it can be sent
// once more.
type payload struct {
	length int64 // -1 is unknown
	held   []byte
	source io.ReadCloser // nil when held
	limit  int64

	lock    sync.Mutex
	started bool // a byte of source may have been taken
	reader  *reader
}

// newPayload reads a small body whole, which must arrive by the deadline.
func newPayload(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*payload, error) {
	p := &payload{length: r.ContentLength, limit: limit}
	if r.ContentLength < 0 || r.ContentLength > replayable {
		p.source = r.Body
		return p, nil
	}
	if r.ContentLength == 0 {
		return p, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	p.held = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, p.held); err != nil {
		return p, invalid(http.StatusBadRequest, "body", "body", "the body did not arrive in full")
	}
	_ = control.SetReadDeadline(time.Time{})
	return p, nil
}

// open returns the body for one attempt.
func (p *payload) open() io.ReadCloser {
	switch {
	case p.source != nil:
		p.lock.Lock()
		defer p.lock.Unlock()
		p.reader = &reader{payload: p}
		return p.reader
	case len(p.held) == 0:
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(p.held))
}

// isReplayable detaches the latest attempt from the source and reports
// whether the body is still whole.
func (p *payload) isReplayable() bool {
	if p.source == nil {
		return true
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reader = nil
	return !p.started
}

// release stops waiting for a streamed body that nobody will take. Without it
// the server would wait for the rest before it ends the request.
func (p *payload) release(w http.ResponseWriter) {
	if p.source == nil {
		return
	}
	p.isReplayable()
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

var errDetached = errors.New("forwarder: the attempt is over")

// reader reads the source for one attempt.
type reader struct {
	payload *payload
	taken   int64
}

func (r *reader) Read(b []byte) (int, error) {
	p := r.payload
	p.lock.Lock()
	if p.reader != r {
		p.lock.Unlock()
		return 0, errDetached
	}
	p.started = true
	p.lock.Unlock()
	n, err := p.source.Read(b)
	r.taken += int64(n)
	if r.taken > p.limit {
		return 0, errTooLarge
	}
	return n, err
}

// Close leaves the source open: the server that received it closes it.
func (r *reader) Close() error { return nil }
