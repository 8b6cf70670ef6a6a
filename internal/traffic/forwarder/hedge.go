package forwarder

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/router"
)

// result is how one of two attempts ended.
type result struct {
	answer *answer
	err    error
}

// attempt sends the request to the place and, for an idempotent request that
// takes unusually long, to a second one. The first answer wins.
func (f *Forwarder) attempt(ctx context.Context, c *call, place *router.Place, avoid map[string]bool) (*answer, error) {
	avoid[place.Backend.Worker] = true
	if err := f.claim(ctx, c); err != nil {
		f.giveBack(c, place)
		return nil, err
	}
	if f.Options.Hedge < 0 || !c.idempotent || c.body.source != nil {
		return f.dispatch(ctx, c, place)
	}
	delay := f.delays.hedge(c.service)
	if delay == 0 {
		return f.dispatch(ctx, c, place)
	}
	return f.race(ctx, c, place, avoid, delay)
}

func (f *Forwarder) race(ctx context.Context, c *call, place *router.Place, avoid map[string]bool, delay time.Duration) (*answer, error) {
	ends := make(chan result, 2)
	run := func(p *router.Place) {
		a, err := f.dispatch(ctx, c, p)
		ends <- result{a, err}
	}
	go run(place)
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second := f.second(c, avoid); second != nil {
				running++
				f.metrics.hedged(c)
				go run(second)
			}
		case r := <-ends:
			running--
			if r.err != nil && running > 0 {
				continue
			}
			if running > 0 {
				go discard(ends)
			}
			return r.answer, r.err
		}
	}
}

// second takes another place if one is free and the budget allows it.
func (f *Forwarder) second(c *call, avoid map[string]bool) *router.Place {
	if !f.hedges.Take() {
		return nil
	}
	place, err := f.Limiter.Try(f.request(c, avoid))
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

func (f *Forwarder) giveBack(c *call, place *router.Place) {
	place.Release(router.Unknown)
	f.Limiter.Release(c.service, 0)
}
