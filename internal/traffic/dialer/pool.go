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
	idle    []*clientConn // idle connections, most recently used last
	open    int           // number of connections, idle and busy
	retired bool          // connections are closed instead of kept
}

// send sends the request over one connection.
func (p *Pool) send(r *http.Request) (*http.Response, error) {
	c, err := p.get()
	if err != nil {
		return nil, err
	}
	response, err := c.roundTrip(r)
	if err != nil {
		p.drop(c)
		return nil, err
	}
	response.Body = &responseBody{ReadCloser: response.Body, conn: c, pool: p, closeAfter: response.Close}
	if refusal := refusalError(response); refusal != nil {
		response.Body.Close()
		return nil, refusal
	}
	return response, nil
}

// get returns the most recently used idle connection, or a new one. It fails with
// verdict NotRun when all connections are in use.
func (p *Pool) get() (*clientConn, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.isUsable() {
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
	return newClientConn(p.options, p.backend.Address), nil
}

// put makes the connection available for another request, or closes it.
func (p *Pool) put(c *clientConn) {
	p.lock.Lock()
	if p.retired || p.open > p.options.Connections(p.backend) || !c.isUsable() {
		p.open--
		p.lock.Unlock()
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.lock.Unlock()
}

// drop closes a connection that can't be used again.
func (p *Pool) drop(c *clientConn) {
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

// retire closes all connections: idle ones now, busy ones at the end of their
// request.
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

// probe checks every connection that has been idle for ProbeInterval. It is out of
// the pool meanwhile, so no request waits for a probe.
func (p *Pool) probe(ctx context.Context) {
	for _, c := range p.takeStale() {
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

// closeExcess closes idle connections, least recently used first, while more are
// open than allowed.
func (p *Pool) closeExcess() {
	p.lock.Lock()
	excess := min(p.open-p.options.Connections(p.backend), len(p.idle))
	var out []*clientConn
	if excess > 0 {
		out = append(out, p.idle[:excess]...)
		p.idle = p.idle[excess:]
	}
	p.lock.Unlock()
	for _, c := range out {
		p.drop(c)
	}
}

// takeStale removes from the pool the connections that are due for a probe.
func (p *Pool) takeStale() []*clientConn {
	p.lock.Lock()
	defer p.lock.Unlock()
	limit := time.Now().Add(-p.options.ProbeInterval)
	fresh := p.idle[:0:0]
	var out []*clientConn
	for _, c := range p.idle {
		if c.idleSince.After(limit) {
			fresh = append(fresh, c)
			continue
		}
		out = append(out, c)
	}
	p.idle = fresh
	return out
}
