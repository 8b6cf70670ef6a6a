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

// answer is the answer of one attempt, whose head has arrived.
type answer struct {
	*http.Response
	forwarder *Forwarder
	call      *call
	place     *router.Slot
	cancel    context.CancelFunc
	start     time.Time
	outcome   router.Outcome
	once      sync.Once
}

// close ends the attempt and gives its place back.
func (a *answer) close() {
	a.Body.Close()
	a.release(a.outcome)
}

// lost ends an attempt whose answer nobody wants.
func (a *answer) lost() {
	a.cancel()
	a.close()
}

func (a *answer) release(o router.Outcome) {
	a.once.Do(func() {
		a.cancel()
		a.place.Release(o)
		a.forwarder.Limiter.Release(a.call.service, time.Since(a.start))
	})
}

const copySize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// pass streams the answer to the caller. It aborts the caller's connection
// when the answer breaks off.
func (f *Forwarder) pass(ctx context.Context, w http.ResponseWriter, c *call, a *answer) {
	passHeaders(w.Header(), a.Header)
	verdict := classifier.Ran
	if a.StatusCode >= http.StatusInternalServerError {
		verdict = classifier.MayHaveRun
	}
	w.Header().Set(VerdictHeader, verdict.String())
	announce(w.Header(), a.Trailer)
	w.WriteHeader(a.StatusCode)
	var copied *copied
	if c.key != "" {
		copied = newCopied(a)
	}
	n, err := f.stream(w, a, copied)
	f.account(c, a, n)
	if err != nil {
		f.abort(ctx, c, a, err)
	}
	for name, values := range a.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	a.outcome = router.Answered
	if a.StatusCode >= http.StatusInternalServerError {
		a.outcome = router.Failed
	}
	if copied != nil {
		f.claims.answered(c.key, c.owner, copied)
	}
}

// abort makes a truncated answer visible to the caller.
func (f *Forwarder) abort(ctx context.Context, c *call, a *answer, err error) {
	a.outcome = router.Failed
	if ctx.Err() != nil {
		a.outcome = router.Unknown
	}
	if c.key != "" {
		f.claims.failed(c.key, c.owner, &classifier.Error{})
	}
	f.metrics.truncated(c)
	f.log.Debug().Err(err).Str("worker", a.place.Backend.Worker).Msg("answer broke off")
	panic(http.ErrAbortHandler)
}

// stream copies the body and returns its size. Answers of unknown length are
// flushed piece by piece, since the caller may wait for each.
func (f *Forwarder) stream(w http.ResponseWriter, a *answer, keep *copied) (int64, error) {
	buffer := buffers.Get().(*[copySize]byte)
	defer buffers.Put(buffer)
	flush := a.ContentLength < 0
	control := http.NewResponseController(w)
	var sum int64
	for {
		n, err := a.Body.Read(buffer[:])
		if n > 0 {
			sum += int64(n)
			keep.add(buffer[:n])
			if _, err := w.Write(buffer[:n]); err != nil {
				return sum, err
			}
			if flush {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
	}
}

// account charges bytes that crossed regions to the tenant and the link.
func (f *Forwarder) account(c *call, a *answer, n int64) {
	f.delays.size(c.service, n)
	if !a.place.CrossRegion {
		return
	}
	c.afar += n + max(c.body.length, 0)
	f.LinkBudget.Charge(n+max(c.body.length, 0), time.Now())
}

func announce(h, trailer http.Header) {
	if len(trailer) == 0 {
		return
	}
	names := make([]string, 0, len(trailer))
	for name := range trailer {
		names = append(names, name)
	}
	h.Set("Trailer", strings.Join(names, ", "))
}
