package describer

import "fmt"

// Role tells entry hosts from workers.
type Role string

// Roles of hosts in the host list.
const (
	Entry  Role = "entry"
	Worker Role = "worker"
)

// HostState is a host's state in the host list, which lags.
type HostState string

// Host states.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
)

// Host is one line of the platform's host list.
type Host struct {
	Name        string    `json:"name"`
	Role        Role      `json:"role"`
	Region      string    `json:"region"`
	Domain      string    `json:"domain"` // failure domain
	Rack        string    `json:"rack,omitempty"`
	State       HostState `json:"state"`
	Address     string    `json:"address"`     // ip:port for callers (entry) or requests (worker)
	Control     string    `json:"control"`     // ip:port for peers (entry) or the worker interface (worker)
	Capacity    Resources `json:"capacity"`    // workers only
	Slots       int       `json:"slots"`       // requests served at once, workers only
	Connections int       `json:"connections"` // open at once, workers only
	Services    []string  `json:"services"`    // services that the backend server answers for
}

// Backend is a worker as a target of requests, published to the traffic side.
type Backend struct {
	Worker       string
	Address      string // ip:port
	Region       string
	Domain       string
	Shard        string
	Slots        int
	Connections  int
	Interference float64 // expected relative slow-down by colocated batch tasks, 0 is none
	Closed       bool    // no new requests: leaving, draining or drained
}

// RoutingTable is an immutable view for the traffic side.
type RoutingTable struct {
	Revision int64                // of the configuration it was made from
	Services map[string][]Backend // by service, sorted by worker name
	Owners   map[string]string    // shard to the control address of its owner, as far as known
	Owned    map[string]int64     // shards owned by this daemon, with the epoch
	Ready    bool                 // whether this daemon may be sent requests
	Stopping bool                 // a planned stop has begun; what still comes is served
}

// Backends returns the targets of a service.
func (t *RoutingTable) Backends(service string) ([]Backend, error) {
	b, ok := t.Services[service]
	if !ok {
		return nil, fmt.Errorf("describer: unknown service %q", service)
	}
	return b, nil
}
