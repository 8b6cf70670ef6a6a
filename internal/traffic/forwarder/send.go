package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/limiter"
	"dotterelcart.dev/dotterelcart/internal/traffic/retrier"
	"dotterelcart.dev/dotterelcart/internal/traffic/router"
)

// maxBroken is the number of backend servers that may break off under a request. The
// request may be what crashes them.
const maxBroken = 2

// sendWithRetries makes attempts until one yields response headers, or until the
// verdict, the retry budget or the deadline forbids another. The caller must
// close the response.
func (f *Forwarder) sendWithRetries(ctx context.Context, c *call) (*backendResponse, error) {
	f.retries.Deposit()
	f.hedges.Deposit()
	backoff := retrier.New()
	avoid := make(map[string]bool)
	mayHaveRun := false
	for {
		slot, err := f.acquireSlot(ctx, c, avoid)
		if err != nil {
			return nil, withEarlierAttempts(err, mayHaveRun)
		}
		if err := f.claimKey(ctx, c); err != nil {
			f.releaseUnused(c, slot)
			return nil, err
		}
		out, err := f.sendHedged(ctx, c, slot, avoid)
		if err == nil {
			return out, nil
		}
		if broken := c.broken.Load(); broken >= maxBroken {
			f.log.Info().Str("tenant", c.tenant).Str("class", c.class).Str("service", c.service).Int32("broken", broken).Msg("request not retried after backend servers broke off")
			return nil, withEarlierAttempts(err, mayHaveRun)
		}
		retry := retrier.IsRetryable(err, c.idempotent) && c.body.detach()
		if !retry || ctx.Err() != nil || !f.retries.TryWithdraw() || !backoff.Wait(ctx) {
			return nil, withEarlierAttempts(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || classifier.VerdictOf(err) != classifier.NotRun
		c.retries++
	}
}

// withEarlierAttempts turns the last attempt's error into that of the whole
// request: it is not NotRun if an earlier attempt may have run. It also sets
// RetryAfter for a NotRun error without one.
func withEarlierAttempts(err error, mayHaveRun bool) error {
	out := *asError(err)
	if mayHaveRun {
		out.Verdict = classifier.MayHaveRun
	}
	if out.RetryAfter == 0 && out.Verdict == classifier.NotRun {
		out.RetryAfter = time.Second
	}
	return &out
}

// acquireSlot waits in the limiter's queue for a slot. Errors have verdict NotRun.
func (f *Forwarder) acquireSlot(ctx context.Context, c *call, avoid map[string]bool) (*router.Slot, error) {
	start := time.Now()
	slot, err := f.Limiter.Acquire(ctx, f.slotRequest(c, avoid))
	c.queueTime += time.Since(start)
	if err == nil {
		return slot, nil
	}
	return nil, admissionError(ctx, err)
}

// slotRequest returns the limiter's request for a slot for the call.
func (f *Forwarder) slotRequest(c *call, avoid map[string]bool) limiter.Request[*router.Slot] {
	return limiter.Request[*router.Slot]{
		Service:  c.service,
		Tenant:   c.tenant,
		Class:    c.class,
		Weight:   c.weight,
		Deadline: c.deadline,
		Take:     func(late bool) (*router.Slot, error) { return f.takeSlot(c, avoid, late) },
	}
}

// takeSlot takes a free slot in this entry host's region, or in others if the
// request would miss its deadline otherwise or no backend server here is open.
// When all open backend servers have been tried, it starts over with all of them.
func (f *Forwarder) takeSlot(c *call, avoid map[string]bool, late bool) (*router.Slot, error) {
	table := f.table()
	request := router.Request{Service: c.service, Deadline: c.deadline, Avoid: avoid, CrossRegion: late}
	request.Bytes = max(c.body.length, 0) + f.stats.expectedBytes(c.service)
	slot, err := f.Router.Take(table, request)
	if errors.Is(err, router.ErrNoBackend) && !late {
		request.CrossRegion = true
		slot, err = f.Router.Take(table, request)
	}
	if errors.Is(err, router.ErrNoBackend) && len(avoid) > 0 {
		clear(avoid)
		slot, err = f.Router.Take(table, request)
	}
	if errors.Is(err, router.ErrNoSlot) {
		return nil, limiter.ErrBusy
	}
	return slot, err
}

// admissionError converts the reason why there is no slot into an error with
// verdict NotRun.
func admissionError(ctx context.Context, err error) error {
	out := &classifier.Error{Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: time.Second, Err: err}
	var e *classifier.Error
	switch {
	case errors.As(err, &e) && e.Verdict == classifier.NotRun:
		return e
	case ctx.Err() != nil:
		out.Status = http.StatusGatewayTimeout
		out.Code = "deadline"
		out.Message = "the request ended while it waited"
	case errors.Is(err, router.ErrUnknownService):
		out.Status = http.StatusNotFound
		out.Code = "service"
		out.Field = "path"
		out.Message = "unknown service"
	case errors.Is(err, router.ErrEvacuated):
		out.Code = "evacuated"
		out.Message = "the failure domains of all backend servers are evacuated"
		out.RetryAfter = classifier.EvacuatedRetry
	case errors.Is(err, router.ErrLinkBudget):
		out.Code = "link"
		out.Message = "only other regions have room, and the link's budget is used up"
	default:
		out.Code = "unavailable"
		out.Message = "no backend server is open"
	}
	return out
}

// sendAttempt sends the request to the slot's backend server and waits for the
// response headers. It releases the slot if that fails.
func (f *Forwarder) sendAttempt(ctx context.Context, c *call, slot *router.Slot) (*backendResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	out := &backendResponse{forwarder: f, call: c, slot: slot, cancel: cancel, started: time.Now()}
	response, err := f.Dialer.Send(slot.Backend, f.backendRequest(ctx, c, slot)) //nolint:bodyclose // backendResponse.close does
	if err != nil {
		if e := asError(err); e.Code == "broken" && e.Verdict != classifier.NotRun && ctx.Err() == nil {
			c.broken.Add(1)
		}
		out.release(f.outcome(ctx, c, err, time.Since(out.started)))
		return nil, err
	}
	out.Response = response
	f.stats.observeLatency(c.service, time.Since(out.started))
	return out, nil
}

// outcome returns what the failed attempt shows about the backend server. A
// cancelled request counts as a failure only if it took longer than slowThreshold.
func (f *Forwarder) outcome(ctx context.Context, c *call, err error, took time.Duration) router.Outcome {
	e := asError(err)
	switch {
	case e.Code == "refused":
		return router.Overloaded
	case e.Code == "connections":
		return router.Unknown
	case ctx.Err() != nil && took < f.stats.slowThreshold(c.service):
		return router.Unknown
	}
	return router.Failed
}

// backendRequest builds the request to the backend server.
func (f *Forwarder) backendRequest(ctx context.Context, c *call, slot *router.Slot) *http.Request {
	in := c.request
	path, err := url.PathUnescape(c.path)
	if err != nil {
		path = c.path
	}
	out := &http.Request{
		Method:        in.Method,
		URL:           &url.URL{Scheme: "http", Host: slot.Backend.Address, Path: path, RawPath: c.path, RawQuery: in.URL.RawQuery},
		Host:          in.Host,
		Header:        make(http.Header, len(in.Header)+2),
		Body:          c.body.open(),
		ContentLength: c.body.length,
	}
	copyEndToEndHeaders(out.Header, in.Header)
	out.Header.Del("Expect")
	out.Header.Del(VerdictHeader)
	out.Header.Set(DeadlineHeader, time.Until(c.deadline).Round(time.Millisecond).String())
	// An existing entry, even an empty one, keeps the transport from adding its own.
	out.Header["User-Agent"] = in.Header["User-Agent"]
	if host, _, err := net.SplitHostPort(in.RemoteAddr); err == nil {
		out.Header.Add("X-Forwarded-For", host)
	}
	return out.WithContext(ctx)
}
