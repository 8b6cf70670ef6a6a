// Package registrar is a stand-in for the platform's host list, for tests and
// the demo.
//
// The list is read as it was a set time ago. A view rewrites it for readers
// in one region or failure domain, so that addresses elsewhere lead through a
// link with a delay:
//
//	r, err := registrar.New("127.0.0.1:0", time.Second)
//	r.Set(hosts)
//	r.View("fnq-cns", map[string]string{real: relay}) // read at http://ADDRESS/fnq-cns
package registrar

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Registrar is the host list.
type Registrar struct {
	Address string        // ip:port
	Done    chan struct{} // closed when it has ended

	lag    time.Duration
	server *listener.Listener

	mu     sync.Mutex
	past   []version                    // by time, the latest last
	views  map[string]map[string]string // relays by address, by view
	outage bool
	calls  int64
}

type version struct {
	since time.Time
	hosts []describer.Host
}

// New serves an empty list on address; changes show after lag.
func New(address string, lag time.Duration) (*Registrar, error) {
	r := &Registrar{lag: lag, views: make(map[string]map[string]string)}
	m := http.NewServeMux()
	m.Handle("GET /v1/hosts", listener.Handle(r.serve))
	m.Handle("GET /{view}/v1/hosts", listener.Handle(r.serve))
	m.Handle("PUT /v1/hosts", listener.Handle(func(_ *http.Request, in []describer.Host) (struct{}, error) {
		r.Set(in)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/change", listener.Handle(func(_ *http.Request, in change) (struct{}, error) {
		r.SetState(in.Name, in.State)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/view", listener.Handle(func(_ *http.Request, in view) (struct{}, error) {
		r.SetView(in.Name, in.Relays)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/outage", listener.Handle(func(_ *http.Request, in struct {
		Outage bool `json:"outage"`
	},
	) (struct{}, error) {
		r.SetOutage(in.Outage)
		return struct{}{}, nil
	}))
	server, err := listener.New(address, m)
	if err != nil {
		return nil, err
	}
	r.server, r.Address, r.Done = server, server.Address, server.Done
	return r, nil
}

type change struct {
	Name  string              `json:"name"`
	State describer.HostState `json:"state"` // empty removes the host
}

type view struct {
	Name   string            `json:"name"`
	Relays map[string]string `json:"relays"` // by the address that each replaces
}

// Close ends the host list.
func (r *Registrar) Close() error { return r.server.Close() }

// Set replaces the list. The first one shows at once.
func (r *Registrar) Set(hosts []describer.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(slices.Clone(hosts))
}

// SetState sets one host's state; an empty state removes the host.
func (r *Registrar) SetState(name string, state describer.HostState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := slices.Clone(r.latest())
	i := slices.IndexFunc(hosts, func(h describer.Host) bool { return h.Name == name })
	switch {
	case i < 0:
		return
	case state == "":
		hosts = slices.Delete(hosts, i, i+1)
	default:
		hosts[i].State = state
	}
	r.set(hosts)
}

// SetView registers a list under a name in which the addresses that are keys of
// relays are replaced.
func (r *Registrar) SetView(name string, relays map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.views[name] = relays
}

// SetOutage switches an outage on or off.
func (r *Registrar) SetOutage(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage = on
}

// Calls returns how often the list was read.
func (r *Registrar) Calls() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *Registrar) set(hosts []describer.Host) {
	r.past = append(r.past, version{time.Now(), hosts})
}

func (r *Registrar) latest() []describer.Host {
	if len(r.past) == 0 {
		return nil
	}
	return r.past[len(r.past)-1].hosts
}

// visible returns the list as it was a lag ago and forgets older ones.
func (r *Registrar) visible() []describer.Host {
	seen := time.Now().Add(-r.lag)
	for len(r.past) > 1 && !r.past[1].since.After(seen) {
		r.past = r.past[1:]
	}
	if len(r.past) == 0 {
		return nil
	}
	return r.past[0].hosts
}

func (r *Registrar) serve(q *http.Request, _ struct{}) ([]describer.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.outage {
		return nil, listener.ErrDropResponse
	}
	hosts := slices.Clone(r.visible())
	if hosts == nil {
		hosts = []describer.Host{}
	}
	relays := r.views[q.PathValue("view")]
	for i, h := range hosts {
		hosts[i].Address = through(relays, h.Address)
		hosts[i].Control = through(relays, h.Control)
	}
	return hosts, nil
}

func through(relays map[string]string, address string) string {
	if relay, ok := relays[address]; ok {
		return relay
	}
	return address
}
