package dialer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Pool holds the connections to one backend server.
type Pool struct {
	options *Options
	backend describer.Backend

	lock    sync.Mutex
	idle    []*carrier // most recently used last
	open    int        // carriers, idle and busy
	retired bool
}

// send hands the request to one carrier.
func (p *Pool) send(r *http.Request) (*http.Response, error) {
	c, err := p.take()
	if err != nil {
		return nil, err
	}
	answer, err := c.roundTrip(r)
	if err != nil {
		p.drop(c)
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, carrier: c, pool: p, last: answer.Close}
	if refusal := refused(answer); refusal != nil {
		answer.Body.Close()
		return nil, refusal
	}
	return answer, nil
}

// take returns the most recently used idle carrier or a new one.
func (p *Pool) take() (*carrier, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable() {
			return c, nil
		}
		p.open--
		c.close()
	}
	if p.open >= p.options.Connections(p.backend) {
		return nil, &classifier.Error{
			Verdict: classifier.NotRun,
			Status:  http.StatusServiceUnavailable,
			Code:    "connections",
			Message: "every connection lent for " + p.backend.Worker + " is in use",
		}
	}
	p.open++
	return newCarrier(p.options, p.backend.Address), nil
}

// put returns a carrier after a whole answer.
func (p *Pool) put(c *carrier) {
	p.lock.Lock()
	if p.retired || p.open > p.options.Connections(p.backend) || !c.usable() {
		p.open--
		p.lock.Unlock()
		c.close()
		return
	}
	c.used = time.Now()
	p.idle = append(p.idle, c)
	p.lock.Unlock()
}

func (p *Pool) drop(c *carrier) {
	c.close()
	p.lock.Lock()
	p.open--
	p.lock.Unlock()
}

func (p *Pool) size() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.open
}

func (p *Pool) retire() {
	p.lock.Lock()
	p.retired = true
	idle := p.idle
	p.idle = nil
	p.lock.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// probe checks each carrier that was idle for a whole interval. A carrier is
// out of the pool while its probe is under way, so no request waits on it.
func (p *Pool) probe(ctx context.Context) {
	for _, c := range p.stale() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, p.options.StallTimeout)
			defer cancel()
			if c.probe(ctx) {
				p.put(c)
				return
			}
			p.drop(c)
		}()
	}
}

// trim closes the longest idle carriers while more are open than are lent.
func (p *Pool) trim() {
	p.lock.Lock()
	excess := min(p.open-p.options.Connections(p.backend), len(p.idle))
	var out []*carrier
	if excess > 0 {
		out = append(out, p.idle[:excess]...)
		p.idle = p.idle[excess:]
	}
	p.lock.Unlock()
	for _, c := range out {
		p.drop(c)
	}
}

func (p *Pool) stale() []*carrier {
	p.lock.Lock()
	defer p.lock.Unlock()
	limit := time.Now().Add(-p.options.ProbeInterval)
	fresh := p.idle[:0:0]
	var out []*carrier
	for _, c := range p.idle {
		if c.used.After(limit) {
			fresh = append(fresh, c)
			continue
		}
		out = append(out, c)
	}
	p.idle = fresh
	return out
}
