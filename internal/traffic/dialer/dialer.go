// Package dialer sends requests to backend servers over pooled connections. It
// bounds the number of connections, probes idle ones and detects stalled ones, and
// gives every error a verdict that says whether the request may have run.
//
// # Model
//
// Each backend server has a [Pool] of connections. A connection carries one
// request at a time and has an http.Transport of its own that may use only this
// net.Conn. So the pool decides which connection a request uses, and it is known
// exactly whether any byte of the request was handed to the connection:
//
//	response, err := d.Send(backend, request)
//	if classifier.VerdictOf(err) == classifier.NotRun {
//		// no byte was sent, or the backend server refused the request
//	}
//
// # Stalled connections
//
// A request that makes no progress for Options.StallTimeout fails with code
// "silent", and its connection is closed. Time in which the caller does not send
// its request body or does not read the response is not counted. An idle
// connection is probed with HEAD on [HealthPath] and closed if there is no
// response.
package dialer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// HealthPath is the path of probes. Backend servers must respond to it, with any
// status and without running work.
const HealthPath = "/healthz"

// Defaults of Options.
const (
	DefaultStallTimeout   = 5 * time.Second
	DefaultConnectTimeout = 2 * time.Second
	DefaultMaxAge         = 10 * time.Minute
)

// Options configure the connections. Zero fields take defaults.
type Options struct {
	StallTimeout   time.Duration // longest time without progress during a request
	ConnectTimeout time.Duration // longest time to open a connection
	MaxAge         time.Duration // older connections get no further request
	ProbeInterval  time.Duration // idle connections are probed this often; 0 means half of StallTimeout
	// Connections returns how many connections to the backend server may be
	// open; nil means all that the backend server accepts.
	Connections func(b describer.Backend) int
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer sends requests to backend servers. It is safe for concurrent use.
type Dialer struct {
	Options Options
	Done    chan struct{} // closed when probing has ended

	lock  sync.Mutex
	pools map[string]*Pool // by worker
	stop  context.CancelFunc
}

// New returns a dialer that probes its idle connections until Close.
func New(o Options) *Dialer {
	ctx, stop := context.WithCancel(context.Background())
	d := &Dialer{
		Options: withDefaults(o),
		Done:    make(chan struct{}),
		pools:   make(map[string]*Pool),
		stop:    stop,
	}
	go func() {
		defer close(d.Done)
		d.runProbes(ctx)
	}()
	return d
}

// Send sends the request to the backend server and returns the response, whose
// body the caller must close. Errors are *classifier.Error values. The request is
// sent over one connection only.
func (d *Dialer) Send(b describer.Backend, r *http.Request) (*http.Response, error) {
	return d.pool(b).send(r)
}

// OpenConnections returns the number of open connections to the worker.
func (d *Dialer) OpenConnections(worker string) int {
	d.lock.Lock()
	p := d.pools[worker]
	d.lock.Unlock()
	if p == nil {
		return 0
	}
	return p.size()
}

// Close stops probing and closes idle connections. Busy connections close at the
// end of their requests.
func (d *Dialer) Close() error {
	d.stop()
	<-d.Done
	for _, p := range d.allPools() {
		p.retire()
	}
	return nil
}

// Prune drops the pools of workers for which known returns false.
func (d *Dialer) Prune(known func(worker string) bool) {
	d.lock.Lock()
	var gone []*Pool
	for worker, p := range d.pools {
		if !known(worker) {
			gone = append(gone, p)
			delete(d.pools, worker)
		}
	}
	d.lock.Unlock()
	for _, p := range gone {
		p.retire()
	}
}

// pool returns the pool for the backend server. When the worker's address has
// changed, it replaces the pool.
func (d *Dialer) pool(b describer.Backend) *Pool {
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.pools[b.Worker]
	if p != nil && p.backend.Address == b.Address {
		return p
	}
	if p != nil {
		go p.retire()
	}
	p = &Pool{options: &d.Options, backend: b}
	d.pools[b.Worker] = p
	return p
}

// allPools returns the current pools.
func (d *Dialer) allPools() []*Pool {
	d.lock.Lock()
	defer d.lock.Unlock()
	var out []*Pool
	for _, p := range d.pools {
		out = append(out, p)
	}
	return out
}

// runProbes closes excess connections and probes idle ones until ctx ends.
func (d *Dialer) runProbes(ctx context.Context) {
	tick := time.NewTicker(d.Options.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range d.allPools() {
			p.closeExcess()
			p.probe(ctx)
		}
	}
}

func withDefaults(o Options) Options {
	if o.StallTimeout <= 0 {
		o.StallTimeout = DefaultStallTimeout
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.MaxAge <= 0 {
		o.MaxAge = DefaultMaxAge
	}
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = o.StallTimeout / 2
	}
	if o.Connections == nil {
		o.Connections = func(b describer.Backend) int { return b.Connections }
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}
