// Package dialer sends requests to backend servers over connections that it
// bounds, probes and replaces, and gives a verdict for every failure.
//
// # Model
//
// Each backend server has a [Pool] of connections. A connection carries one
// request at a time and is an http.Transport of its own that is limited to a
// single net.Conn, so the pool decides which connection a request takes, and
// whether the first byte was handed to it is known exactly:
//
//	answer, err := d.Send(backend, request)
//	if classifier.Of(err) == classifier.NotRun {
//		// no byte left this process, or the backend server refused
//	}
//
// # Silence
//
// A busy connection without progress for Options.Silence fails with code
// "silent" and is closed. Time in which the caller withholds its own body or
// does not take the answer does not count. An idle connection is probed with
// HEAD on [HealthPath], which must not run work, and closed if no answer comes.
package dialer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// HealthPath is where backend servers answer probes, with any status and
// without running work.
const HealthPath = "/healthz"

// Defaults of Options.
const (
	DefaultStallTimeout   = 5 * time.Second
	DefaultConnectTimeout = 2 * time.Second
	DefaultMaxAge         = 10 * time.Minute
)

// Options are the bounds of connections. Zero fields take the defaults.
type Options struct {
	StallTimeout   time.Duration // longest time without progress on a busy connection
	ConnectTimeout time.Duration // longest time to open a connection
	MaxAge         time.Duration // older connections are not used again
	ProbeInterval  time.Duration // idle connections are probed this often; half of Silence if 0
	// Connections returns how many connections to the backend server may be
	// open; nil takes all that it has.
	Connections func(b describer.Backend) int
	// Dial opens a connection; nil takes TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer holds the pools of all backend servers.
type Dialer struct {
	Options Options
	Done    chan struct{} // closed when the prober has ended

	lock  sync.Mutex
	pools map[string]*Pool
	stop  context.CancelFunc
}

// New returns a dialer that probes idle connections until Close.
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
		d.probe(ctx)
	}()
	return d
}

// Send sends r to b and returns the answer, whose body the caller must close.
// Failures are *classifier.Error values. A request is handed to at most one
// connection.
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

// Close closes idle connections and ends the prober. Busy connections close
// with their requests.
func (d *Dialer) Close() error {
	d.stop()
	<-d.Done
	for _, p := range d.all() {
		p.retire()
	}
	return nil
}

// Prune drops the pools of workers for which known is false.
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

func (d *Dialer) all() []*Pool {
	d.lock.Lock()
	defer d.lock.Unlock()
	var out []*Pool
	for _, p := range d.pools {
		out = append(out, p)
	}
	return out
}

func (d *Dialer) probe(ctx context.Context) {
	tick := time.NewTicker(d.Options.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range d.all() {
			p.trim()
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
