// Package registrar is a stand-in for the platform's host list, for tests and the
// demo.
//
// Readers get the list as it was a set time ago. A view replaces addresses for the
// readers in one region or failure domain, so that their connections to other
// places lead through a link with a delay:
//
//	r, err := registrar.New("127.0.0.1:0", time.Second)
//	r.Set(hosts)
//	r.SetView("fnq-cns", map[string]string{real: relay}) // read at http://ADDRESS/fnq-cns
package registrar

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Registrar serves the host list over HTTP. It is safe for concurrent use.
type Registrar struct {
	Address string        // ip:port
	Done    chan struct{} // closed once the server has ended

	delay  time.Duration // time until readers see a change
	server *listener.Listener

	mu       sync.Mutex
	versions []version                    // oldest first; readers get the first
	views    map[string]map[string]string // replacement of each address, by view name
	outage   bool
	reads    int64
}

// version is the list from a point in time until that of the next version.
type version struct {
	since time.Time
	hosts []describer.Host
}

// New serves an empty list on address. Readers see a change after the delay.
func New(address string, delay time.Duration) (*Registrar, error) {
	r := &Registrar{delay: delay, views: make(map[string]map[string]string)}
	m := http.NewServeMux()
	m.Handle("GET /v1/hosts", listener.Handle(r.serve))
	m.Handle("GET /{view}/v1/hosts", listener.Handle(r.serve))
	m.Handle("PUT /v1/hosts", listener.Handle(func(_ *http.Request, in []describer.Host) (struct{}, error) {
		r.Set(in)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/change", listener.Handle(func(_ *http.Request, in stateChange) (struct{}, error) {
		r.SetState(in.Name, in.State)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/view", listener.Handle(func(_ *http.Request, in viewRequest) (struct{}, error) {
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

// stateChange is the body of a request to change the state of a host.
type stateChange struct {
	Name  string              `json:"name"`
	State describer.HostState `json:"state"` // empty to remove the host
}

// viewRequest is the body of a request to set a view.
type viewRequest struct {
	Name   string            `json:"name"`
	Relays map[string]string `json:"relays"` // the address to show in place of each key
}

// Close ends the server.
func (r *Registrar) Close() error { return r.server.Close() }

// Set replaces the list. Readers see the first list at once.
func (r *Registrar) Set(hosts []describer.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addVersion(slices.Clone(hosts))
}

// SetState sets the state of the named host, if the list contains it. An empty state
// removes the host.
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
	r.addVersion(hosts)
}

// SetView defines a view of the list in which the addresses that are keys of relays
// are replaced by their values. The caller must not change relays afterwards.
func (r *Registrar) SetView(name string, relays map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.views[name] = relays
}

// SetOutage starts or ends an outage, during which reads of the list fail.
func (r *Registrar) SetOutage(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage = on
}

// Reads returns how often the list was read, reads during an outage included.
func (r *Registrar) Reads() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// addVersion makes hosts the latest list. The caller holds the lock.
func (r *Registrar) addVersion(hosts []describer.Host) {
	r.versions = append(r.versions, version{time.Now(), hosts})
}

// latest returns the latest list, whether readers see it yet or not.
func (r *Registrar) latest() []describer.Host {
	if len(r.versions) == 0 {
		return nil
	}
	return r.versions[len(r.versions)-1].hosts
}

// visible returns the list as it was a delay ago, and drops older versions.
func (r *Registrar) visible() []describer.Host {
	cutoff := time.Now().Add(-r.delay)
	for len(r.versions) > 1 && !r.versions[1].since.After(cutoff) {
		r.versions = r.versions[1:]
	}
	if len(r.versions) == 0 {
		return nil
	}
	return r.versions[0].hosts
}

// serve answers a read of the list, with the replacements of the view in its path.
func (r *Registrar) serve(req *http.Request, _ struct{}) ([]describer.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.outage {
		return nil, listener.ErrDropResponse
	}
	hosts := slices.Clone(r.visible())
	if hosts == nil {
		hosts = []describer.Host{}
	}
	replacements := r.views[req.PathValue("view")]
	for i, h := range hosts {
		hosts[i].Address = replace(replacements, h.Address)
		hosts[i].Control = replace(replacements, h.Control)
	}
	return hosts, nil
}

// replace returns the replacement of address, or address if there is none.
func replace(replacements map[string]string, address string) string {
	if replacement, ok := replacements[address]; ok {
		return replacement
	}
	return address
}
