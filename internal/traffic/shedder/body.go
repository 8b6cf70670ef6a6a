package shedder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

const (
	smallBody  = 4 << 10 // bytes, of a body that take nothing of the budget; the connection's own buffer is as large
	bodyGrowth = 4       // factor

	progressTime    = 10 * time.Second // a body of which nothing arrives for so long is refused
	bodyTime        = 30 * time.Second // a body that takes longer is refused
	unusedBodyTime  = time.Second      // for the rest of a body that nobody needs
	refreshInterval = time.Second      // between two changes of a read deadline
	stallTime       = time.Second      // a body that made progress since isn't displaced
	displaceTime    = time.Second      // for a displaced body to give its memory back
	retryAfter      = 2 * time.Second  // of refusals for lack of memory
)

// Limits on the time for requests, for http.Server. They are the only ones for small bodies.
const (
	ReadTimeout  = 60 * time.Second // of a whole request
	WriteTimeout = 60 * time.Second // of a request and its response, from the end of its header
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// body is a body that is being received and holds a part of the budget.
type body struct {
	controller *http.ResponseController
	began      time.Time

	// Guarded by Shedder.mu. Only the goroutine that reads the body changes held.
	held        int64     // bytes of the budget
	progress    time.Time // time of the last bytes
	refreshed   time.Time // time at which the read deadline was set
	isDisplaced bool
}

// ReadBody reads the body of a request and passes it to use, whose data is valid until use
// returns. Bodies over limit bytes are refused, by their announced size before they are
// read. Errors other than those of use are *classifier.Error values with verdict NotRun, and
// the connection is closed after the response.
func (s *Shedder) ReadBody(w http.ResponseWriter, r *http.Request, limit int, use func(data []byte) error) error {
	c := connOf(r)
	c.setServing(false)
	b := &body{controller: http.NewResponseController(w)}
	data, err := s.read(r, b, limit)
	defer s.release(b)
	if err != nil {
		w.Header().Set("Connection", "close")
		_ = b.controller.SetReadDeadline(longAgo) // what is left of the body isn't read
		return err
	}
	c.setServing(true)
	return use(data)
}

// read returns the whole body.
func (s *Shedder) read(r *http.Request, b *body, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		s.report(bodyTooLarge, r.RemoteAddr)
		return nil, tooLarge(limit)
	}
	size := limit + 1 // one more shows that the body exceeds the limit
	if r.ContentLength >= 0 {
		size = int(r.ContentLength)
	}
	data := make([]byte, 0, min(size, smallBody))
	for {
		if len(data) == cap(data) && len(data) < size {
			var err error
			if data, err = s.grow(r, b, data, size); err != nil {
				return nil, err
			}
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			s.report(bodyTooLarge, r.RemoteAddr)
			return nil, tooLarge(limit)
		case errors.Is(err, io.EOF), err == nil && len(data) == size:
			if !s.finish(b) {
				return nil, s.readError(r, b, os.ErrDeadlineExceeded)
			}
			return data, nil
		case err != nil:
			return nil, s.readError(r, b, err)
		}
		s.noteProgress(b)
	}
}

// grow returns data with a larger capacity, which it takes from the budget.
func (s *Shedder) grow(r *http.Request, b *body, data []byte, size int) ([]byte, error) {
	capacity := min(size, bodyGrowth*cap(data))
	more := int64(capacity - cap(data))
	if !s.budget.TryAcquire(more) && !s.awaitDisplaced(r, b, more) {
		s.report(budgetUsedUp, r.RemoteAddr)
		return nil, overloaded("the memory for bodies is used up")
	}
	s.hold(b, more)
	return append(make([]byte, 0, capacity), data...), nil
}

// awaitDisplaced displaces bodies that hold more bytes together, and takes these. It reports
// false if there are too few.
func (s *Shedder) awaitDisplaced(r *http.Request, b *body, more int64) bool {
	if !s.displace(b, more) {
		return false
	}
	ctx, cancel := context.WithTimeout(r.Context(), displaceTime)
	defer cancel()
	return s.budget.Acquire(ctx, more) == nil
}

// hold notes that a body holds more bytes of the budget. The first time it bounds the time for
// the rest of the body.
func (s *Shedder) hold(b *body, more int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.held == 0 {
		b.began = time.Now()
		b.progress = b.began
		s.bodies[b] = struct{}{}
		b.refresh()
	}
	b.held += more
}

// refresh sets the read deadline by the progress.
func (b *body) refresh() {
	deadline := b.progress.Add(progressTime)
	if last := b.began.Add(bodyTime); last.Before(deadline) {
		deadline = last
	}
	b.refreshed = b.progress
	_ = b.controller.SetReadDeadline(deadline) // a connection that is closed fails the next read
}

// noteProgress notes that bytes arrived.
func (s *Shedder) noteProgress(b *body) {
	if b.held == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b.progress = now
	if !b.isDisplaced && now.Sub(b.refreshed) >= refreshInterval {
		b.refresh()
	}
}

// displace ends bodies other than b that hold more bytes together: those that have made no
// progress for longest, each at least for stallTime. It reports false if there are too few.
func (s *Shedder) displace(b *body, more int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stalled []*body
	for other := range s.bodies {
		if other != b && !other.isDisplaced && time.Since(other.progress) >= stallTime {
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(a, b *body) int { return a.progress.Compare(b.progress) })
	for _, other := range stalled {
		if more <= 0 {
			break
		}
		other.isDisplaced = true
		_ = other.controller.SetReadDeadline(longAgo) // the read that waits fails
		more -= other.held
	}
	return more <= 0
}

// finish ends the time limits of a body that was received; the server has removed the read
// deadline at the body's end. It reports false if the body was displaced meanwhile, so that its
// connection is no longer read.
func (s *Shedder) finish(b *body) bool {
	if b.held == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.bodies, b)
	return !b.isDisplaced
}

// release gives the body's part of the budget back.
func (s *Shedder) release(b *body) {
	if b.held == 0 {
		return
	}
	s.mu.Lock()
	delete(s.bodies, b)
	s.mu.Unlock()
	s.budget.Release(b.held)
}

// readError returns the error for a body that can't be read.
func (s *Shedder) readError(r *http.Request, b *body, err error) error {
	s.mu.Lock()
	isDisplaced := b.isDisplaced
	s.mu.Unlock()
	switch {
	case isDisplaced:
		s.report(bodyDisplaced, r.RemoteAddr)
		return overloaded("the memory for bodies is used up, and this one made no progress")
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.report(bodyTooSlow, r.RemoteAddr)
		return &classifier.Error{
			Verdict: classifier.NotRun, Status: http.StatusRequestTimeout, Code: "slow",
			Message: "the body was not received in time", Field: "body", Err: err,
		}
	}
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusBadRequest, Code: "malformed",
		Message: err.Error(), Field: "body", Err: err,
	}
}

// IgnoreBody prepares the response to a request that needs no body: it doesn't wait for one, and
// the connection is closed after the response if there is one.
func IgnoreBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unusedBodyTime)) // fails if the connection is closed
}

func tooLarge(limit int) error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusRequestEntityTooLarge, Code: "too-large",
		Message: fmt.Sprintf("the body has over %d bytes", limit), Field: "body",
	}
}

func overloaded(message string) error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, Code: "overloaded",
		Message: message, RetryAfter: retryAfter,
	}
}
