package describer

import "fmt"

// Role is the role of a host.
type Role string

// Roles of hosts in the host list.
const (
	Entry  Role = "entry"  // accepts requests of callers and runs a daemon
	Worker Role = "worker" // runs backend servers and tasks
)

// HostState is a host's state in the host list, which is updated with a delay.
type HostState string

// Host states.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving" // about to be removed
)

// Host is one entry of the platform's host list.
type Host struct {
	Name        string    `json:"name"`
	Role        Role      `json:"role"`
	Region      string    `json:"region"`
	Domain      string    `json:"domain"` // failure domain
	Rack        string    `json:"rack,omitempty"`
	State       HostState `json:"state"`
	Address     string    `json:"address"`     // ip:port for callers (entry) or service requests (worker)
	Control     string    `json:"control"`     // ip:port for peers (entry) or the worker interface (worker)
	Capacity    Resources `json:"capacity"`    // workers only
	Slots       int       `json:"slots"`       // maximum number of concurrent requests; workers only
	Connections int       `json:"connections"` // maximum number of open connections; workers only
	Services    []string  `json:"services"`    // services of the worker's backend server
}

// Backend is a worker as a target of service requests, as published to the
// traffic side.
type Backend struct {
	Worker       string
	Address      string // ip:port
	Region       string
	Domain       string
	Shard        string
	Slots        int     // maximum number of concurrent requests
	Connections  int     // maximum number of open connections
	Interference float64 // expected relative slowdown by batch tasks on the worker; 0 means none
	Closed       bool    // whether it gets no new requests: leaving, draining, drained or evacuated
	Evacuated    bool    // whether its failure domain is evacuated; Closed is set as well
}

// RoutingTable is what the traffic side needs for routing. It is never changed
// after publication.
type RoutingTable struct {
	Revision int64                // revision of the configuration that it was made from
	Services map[string][]Backend // backends by service name, sorted by worker name
	Owners   map[string]string    // control address of the owner by shard, as far as known
	Owned    map[string]int64     // epoch by shard, for the shards that this daemon owns
	Ready    bool                 // whether this daemon may be sent requests
	Stopping bool                 // a planned stop has begun; requests that still arrive are served
}

// Backends returns the backends of a service, or an error if the service is
// unknown. The caller must not change the slice.
func (t *RoutingTable) Backends(service string) ([]Backend, error) {
	b, ok := t.Services[service]
	if !ok {
		return nil, fmt.Errorf("describer: unknown service %q", service)
	}
	return b, nil
}
