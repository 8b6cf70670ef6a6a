package forwarder

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/router"
)

// backendResponse is the response to one attempt, from the arrival of its headers
// on.
type backendResponse struct {
	*http.Response
	forwarder *Forwarder
	call      *call
	slot      *router.Slot
	cancel    context.CancelFunc
	started   time.Time
	outcome   router.Outcome // reported when the slot is released
	once      sync.Once
}

// close ends the attempt and releases its slot.
func (r *backendResponse) close() {
	r.Body.Close()
	r.release(r.outcome)
}

// discard ends an attempt whose response is not used.
func (r *backendResponse) discard() {
	r.cancel()
	r.close()
}

// release gives the slot back once, with the outcome of the attempt.
func (r *backendResponse) release(o router.Outcome) {
	r.once.Do(func() {
		r.cancel()
		r.slot.Release(o)
		r.forwarder.Limiter.Release(r.call.service, time.Since(r.started))
	})
}

const copyBufferSize = 32 << 10 // bytes

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeResponse streams the response to the caller. If the response is truncated
// it aborts the caller's connection.
func (f *Forwarder) writeResponse(ctx context.Context, w http.ResponseWriter, c *call, r *backendResponse) {
	copyEndToEndHeaders(w.Header(), r.Header)
	verdict := classifier.Ran
	if r.StatusCode >= http.StatusInternalServerError {
		verdict = classifier.MayHaveRun
	}
	w.Header().Set(VerdictHeader, verdict.String())
	announceTrailers(w.Header(), r.Trailer)
	w.WriteHeader(r.StatusCode)
	var saved *savedResponse
	if c.key != "" {
		saved = newSavedResponse(r)
	}
	n, err := f.copyBody(w, r, saved)
	f.recordBytes(c, r, n)
	if err != nil {
		f.abortResponse(ctx, c, r, err)
	}
	for name, values := range r.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	r.outcome = router.Answered
	if r.StatusCode >= http.StatusInternalServerError {
		r.outcome = router.Failed
	}
	if saved != nil {
		f.claims.recordResponse(c.key, c.owner, saved)
	}
}

// abortResponse closes the caller's connection by a panic, so that the caller
// sees that the response is truncated.
func (f *Forwarder) abortResponse(ctx context.Context, c *call, r *backendResponse, err error) {
	r.outcome = router.Failed
	if ctx.Err() != nil {
		r.outcome = router.Unknown
	}
	if c.key != "" {
		f.claims.recordFailure(c.key, c.owner, &classifier.Error{})
	}
	f.metrics.countTruncation(c)
	f.log.Info().Err(err).Str("worker", r.slot.Backend.Worker).Msg("response truncated")
	panic(http.ErrAbortHandler)
}

// copyBody copies the body to the caller and returns its size in bytes. Bodies of
// unknown length are flushed piece by piece, since the caller may wait for each.
func (f *Forwarder) copyBody(w http.ResponseWriter, r *backendResponse, saved *savedResponse) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	flush := r.ContentLength < 0
	control := http.NewResponseController(w)
	var total int64
	for {
		n, err := r.Body.Read(buffer[:])
		if n > 0 {
			total += int64(n)
			saved.add(buffer[:n])
			if _, err := w.Write(buffer[:n]); err != nil {
				return total, err
			}
			if flush {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// recordBytes records the size of the response. If the backend server is in
// another region, it charges request and response to the call and to the link
// budget.
func (f *Forwarder) recordBytes(c *call, r *backendResponse, n int64) {
	f.stats.observeSize(c.service, n)
	if !r.slot.CrossRegion {
		return
	}
	c.crossRegionBytes += n + max(c.body.length, 0)
	f.LinkBudget.Charge(n+max(c.body.length, 0), time.Now())
}

// announceTrailers names the trailers that will follow the body.
func announceTrailers(h, trailer http.Header) {
	if len(trailer) == 0 {
		return
	}
	names := make([]string, 0, len(trailer))
	for name := range trailer {
		names = append(names, name)
	}
	h.Set("Trailer", strings.Join(names, ", "))
}
