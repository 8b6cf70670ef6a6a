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

// send makes attempts until one brings the head of an answer, or until the
// verdict, the retry budget or the deadline forbids another.
func (f *Forwarder) send(ctx context.Context, c *call) (*answer, error) {
	f.retries.Deposit()
	f.hedges.Deposit()
	tries := retrier.New()
	avoid := make(map[string]bool)
	sent := false
	for {
		place, err := f.acquire(ctx, c, avoid)
		if err != nil {
			return nil, withHistory(err, sent)
		}
		if err := f.claim(ctx, c); err != nil {
			f.giveBack(c, place)
			return nil, err
		}
		out, err := f.attempt(ctx, c, place, avoid)
		if err == nil {
			return out, nil
		}
		again := retrier.IsRetryable(err, c.idempotent) && c.body.isReplayable()
		if !again || ctx.Err() != nil || !f.retries.TryWithdraw() || !tries.Wait(ctx) {
			return nil, withHistory(err, sent)
		}
		sent = sent || classifier.VerdictOf(err) != classifier.NotRun
		c.retries++
	}
}

// withHistory keeps a failure from promising "not run" for a request of which
// an earlier attempt may have run, and says when to come back.
func withHistory(err error, sent bool) error {
	out := *asFailure(err)
	if sent {
		out.Verdict = classifier.MayHaveRun
	}
	if out.RetryAfter == 0 && out.Verdict == classifier.NotRun {
		out.RetryAfter = time.Second
	}
	return &out
}

// acquire waits for a place in the order of the limiter.
func (f *Forwarder) acquire(ctx context.Context, c *call, avoid map[string]bool) (*router.Slot, error) {
	start := time.Now()
	place, err := f.Limiter.Acquire(ctx, f.request(c, avoid))
	c.queued += time.Since(start)
	if err == nil {
		return place, nil
	}
	return nil, admission(ctx, err)
}

func (f *Forwarder) request(c *call, avoid map[string]bool) limiter.Request[*router.Slot] {
	return limiter.Request[*router.Slot]{
		Service:  c.service,
		Tenant:   c.tenant,
		Class:    c.class,
		Weight:   c.weight,
		Deadline: c.ends,
		Take:     func(late bool) (*router.Slot, error) { return f.take(c, avoid, late) },
	}
}

// take seeks a place in the own region, and in others if the request would
// miss its deadline here.
func (f *Forwarder) take(c *call, avoid map[string]bool, late bool) (*router.Slot, error) {
	table := f.table()
	q := router.Request{Service: c.service, Deadline: c.ends, Avoid: avoid, CrossRegion: late}
	q.Bytes = max(c.body.length, 0) + f.delays.bytes(c.service)
	place, err := f.Router.Take(table, q)
	if errors.Is(err, router.ErrNoBackend) && !late {
		q.CrossRegion = true
		place, err = f.Router.Take(table, q)
	}
	if errors.Is(err, router.ErrNoBackend) && len(avoid) > 0 {
		clear(avoid)
		place, err = f.Router.Take(table, q)
	}
	if errors.Is(err, router.ErrNoSlot) {
		return nil, limiter.ErrBusy
	}
	return place, err
}

// admission turns the reasons for which there is no place into failures.
func admission(ctx context.Context, err error) error {
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
	case errors.Is(err, router.ErrLinkBudget):
		out.Code = "link"
		out.Message = "only other regions have room, and the link's budget is used up"
	default:
		out.Code = "unavailable"
		out.Message = "no backend server is open"
	}
	return out
}

// dispatch sends one attempt to one backend server.
func (f *Forwarder) dispatch(ctx context.Context, c *call, place *router.Slot) (*answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	out := &answer{forwarder: f, call: c, place: place, cancel: cancel, start: time.Now()}
	response, err := f.Dialer.Send(place.Backend, f.outgoing(ctx, c, place)) //nolint:bodyclose // answer.close does
	if err != nil {
		out.release(f.outcome(ctx, c, err, time.Since(out.start)))
		return nil, err
	}
	out.Response = response
	f.delays.observe(c.service, time.Since(out.start))
	return out, nil
}

func (f *Forwarder) outcome(ctx context.Context, c *call, err error, took time.Duration) router.Outcome {
	e := asFailure(err)
	switch {
	case e.Code == "refused":
		return router.Overloaded
	case e.Code == "connections":
		return router.Unknown
	case ctx.Err() != nil && took < f.delays.slow(c.service):
		return router.Unknown
	}
	return router.Failed
}

// outgoing makes the request for the backend server.
func (f *Forwarder) outgoing(ctx context.Context, c *call, place *router.Slot) *http.Request {
	in := c.request
	path, err := url.PathUnescape(c.path)
	if err != nil {
		path = c.path
	}
	out := &http.Request{
		Method:        in.Method,
		URL:           &url.URL{Scheme: "http", Host: place.Backend.Address, Path: path, RawPath: c.path, RawQuery: in.URL.RawQuery},
		Host:          in.Host,
		Header:        make(http.Header, len(in.Header)+2),
		Body:          c.body.open(),
		ContentLength: c.body.length,
	}
	passHeaders(out.Header, in.Header)
	out.Header.Del("Expect")
	out.Header.Del(VerdictHeader)
	out.Header.Set(DeadlineHeader, time.Until(c.ends).Round(time.Millisecond).String())
	out.Header["User-Agent"] = in.Header["User-Agent"]
	if host, _, err := net.SplitHostPort(in.RemoteAddr); err == nil {
		out.Header.Add("X-Forwarded-For", host)
	}
	return out.WithContext(ctx)
}
