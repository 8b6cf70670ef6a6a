package forwarder

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/router"
)

// attemptResult is how one of two concurrent attempts ended.
type attemptResult struct {
	index    int // 0 for the first attempt, 1 for the hedge
	response *backendResponse
	err      error
}

// sendHedged sends the request to the slot's backend server. If the request is
// idempotent and takes unusually long, it also sends it to a second one; the first
// response wins.
func (f *Forwarder) sendHedged(ctx context.Context, c *call, slot *router.Slot, avoid map[string]bool) (*backendResponse, error) {
	avoid[slot.Backend.Worker] = true
	if f.Options.HedgeRatio < 0 || !c.idempotent || c.body.source != nil {
		return f.sendAttempt(ctx, c, slot)
	}
	delay := f.stats.hedgeDelay(c.service)
	if delay == 0 {
		return f.sendAttempt(ctx, c, slot)
	}
	return f.raceHedge(ctx, c, slot, avoid, delay)
}

// raceHedge runs the first attempt, and the second one if there is no response
// after delay. It returns the first response, or the last error.
func (f *Forwarder) raceHedge(ctx context.Context, c *call, slot *router.Slot, avoid map[string]bool, delay time.Duration) (*backendResponse, error) {
	results := make(chan attemptResult, 2)
	var cancels []context.CancelFunc
	start := func(p *router.Slot) {
		index := len(cancels)
		ctx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		go func() {
			response, err := f.sendAttempt(ctx, c, p)
			results <- attemptResult{index, response, err}
		}()
	}
	start(slot)
	running, mayHaveRun := 1, false
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if slot := f.takeHedgeSlot(c, avoid); slot != nil {
				running++
				f.metrics.countHedge(c)
				start(slot)
			}
		case r := <-results:
			running--
			if r.err != nil && running > 0 {
				mayHaveRun = mayHaveRun || classifier.VerdictOf(r.err) != classifier.NotRun
				continue
			}
			if r.err != nil {
				return nil, withEarlierAttempts(r.err, mayHaveRun)
			}
			if running > 0 {
				cancels[1-r.index]()
				go discardLoser(results)
			}
			return r.response, nil
		}
	}
}

// takeHedgeSlot takes a slot of another backend server in this entry host's
// region, or returns nil if none is free, the hedge budget is used up or a backend
// server has broken off under the request.
func (f *Forwarder) takeHedgeSlot(c *call, avoid map[string]bool) *router.Slot {
	if c.broken.Load() > 0 || !f.hedges.TryWithdraw() {
		return nil
	}
	request := f.slotRequest(c, avoid)
	request.Take = func(bool) (*router.Slot, error) {
		return f.Router.Take(f.table(), router.Request{Service: c.service, Deadline: c.deadline, Avoid: avoid})
	}
	slot, err := f.Limiter.TryAcquire(request)
	if err != nil {
		return nil
	}
	avoid[slot.Backend.Worker] = true
	return slot
}

// discardLoser waits for the slower attempt and discards its response.
func discardLoser(results <-chan attemptResult) {
	if r := <-results; r.response != nil {
		r.response.discard()
	}
}

// releaseUnused gives back a slot for which no request was sent.
func (f *Forwarder) releaseUnused(c *call, slot *router.Slot) {
	slot.Release(router.Unknown)
	f.Limiter.Release(c.service, 0)
}
