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

// maxBufferedBody is the largest body in bytes that is held in memory, so that
// the request can be sent again. Larger bodies are streamed.
const maxBufferedBody = 64 << 10

var errTooLarge = &classifier.Error{
	Verdict: classifier.MayHaveRun, Status: http.StatusRequestEntityTooLarge,
	Code: "body", Field: "body", Message: "the body is too large; a part of it was sent",
}

// requestBody is the body of a caller's request. It knows whether the body can be
// sent once more.
type requestBody struct {
	length   int64         // bytes, -1 if unknown
	buffered []byte        // complete body, if it is small
	source   io.ReadCloser // body to stream, nil if buffered
	limit    int64         // largest streamed body, in bytes

	lock       sync.Mutex
	sourceRead bool // source may have been read from
	reader     *attemptReader
}

// newRequestBody reads a small body completely. It must arrive by the deadline.
func newRequestBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength, limit: limit}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		b.source = r.Body
		return b, nil
	}
	if r.ContentLength == 0 {
		return b, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	b.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b.buffered); err != nil {
		return b, invalidField(http.StatusBadRequest, "body", "body", "the body did not arrive in full")
	}
	_ = control.SetReadDeadline(time.Time{})
	return b, nil
}

// open returns the body for one attempt.
func (b *requestBody) open() io.ReadCloser {
	switch {
	case b.source != nil:
		b.lock.Lock()
		defer b.lock.Unlock()
		b.reader = &attemptReader{body: b}
		return b.reader
	case len(b.buffered) == 0:
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

// detach ends the latest attempt's access to the source and reports whether the
// body can still be sent from the start.
func (b *requestBody) detach() bool {
	if b.source == nil {
		return true
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.reader = nil
	return !b.sourceRead
}

// abandon stops waiting for the rest of a streamed body. Otherwise the HTTP
// server would read it to the end before it finishes the request.
func (b *requestBody) abandon(w http.ResponseWriter) {
	if b.source == nil {
		return
	}
	b.detach()
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

var errDetached = errors.New("forwarder: request body read after its attempt ended")

// attemptReader reads the source on behalf of one attempt.
type attemptReader struct {
	body  *requestBody
	count int64 // bytes read
}

func (r *attemptReader) Read(p []byte) (int, error) {
	b := r.body
	b.lock.Lock()
	if b.reader != r {
		b.lock.Unlock()
		return 0, errDetached
	}
	b.sourceRead = true
	b.lock.Unlock()
	n, err := b.source.Read(p)
	r.count += int64(n)
	if r.count > b.limit {
		return 0, errTooLarge
	}
	return n, err
}

// Close leaves the source open: the HTTP server that received it closes it.
func (r *attemptReader) Close() error { return nil }
