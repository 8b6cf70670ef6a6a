package forwarder

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/router"
)

// result is how one of two attempts ended.
type result struct {
	number int
	answer *answer
	err    error
}

// attempt sends the request to the place and, for an idempotent request that
// takes unusually long, to a second one. The first answer wins.
func (f *Forwarder) attempt(ctx context.Context, c *call, place *router.Slot, avoid map[string]bool) (*answer, error) {
	avoid[place.Backend.Worker] = true
	if f.Options.HedgeRatio < 0 || !c.idempotent || c.body.source != nil {
		return f.dispatch(ctx, c, place)
	}
	delay := f.delays.hedge(c.service)
	if delay == 0 {
		return f.dispatch(ctx, c, place)
	}
	return f.race(ctx, c, place, avoid, delay)
}

func (f *Forwarder) race(ctx context.Context, c *call, place *router.Slot, avoid map[string]bool, delay time.Duration) (*answer, error) {
	ends := make(chan result, 2)
	var cancels []context.CancelFunc
	run := func(p *router.Slot) {
		number := len(cancels)
		ctx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		go func() {
			a, err := f.dispatch(ctx, c, p)
			ends <- result{number, a, err}
		}()
	}
	run(place)
	running, sent := 1, false
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second := f.second(c, avoid); second != nil {
				running++
				f.metrics.hedged(c)
				run(second)
			}
		case r := <-ends:
			running--
			if r.err != nil && running > 0 {
				sent = sent || classifier.VerdictOf(r.err) != classifier.NotRun
				continue
			}
			if r.err != nil {
				return nil, withHistory(r.err, sent)
			}
			if running > 0 {
				cancels[1-r.number]()
				go discard(ends)
			}
			return r.answer, nil
		}
	}
}

// second takes another place in the own region if one is free and the budget
// allows it.
func (f *Forwarder) second(c *call, avoid map[string]bool) *router.Slot {
	if !f.hedges.TryWithdraw() {
		return nil
	}
	q := f.request(c, avoid)
	q.Take = func(bool) (*router.Slot, error) {
		return f.Router.Take(f.table(), router.Request{Service: c.service, Deadline: c.ends, Avoid: avoid})
	}
	place, err := f.Limiter.TryAcquire(q)
	if err != nil {
		return nil
	}
	avoid[place.Backend.Worker] = true
	return place
}

// discard closes the answer of the attempt that lost.
func discard(ends <-chan result) {
	if r := <-ends; r.answer != nil {
		r.answer.lost()
	}
}

func (f *Forwarder) giveBack(c *call, place *router.Slot) {
	place.Release(router.Unknown)
	f.Limiter.Release(c.service, 0)
}
