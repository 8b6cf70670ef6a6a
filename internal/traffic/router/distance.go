package router

import (
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Distance orders backend servers by how far away they are.
type Distance int

// Distances, nearest first.
const (
	SameDomain  Distance = iota // the entry host's failure domain
	SameRegion                  // another failure domain of the entry host's region
	OtherRegion                 // another region
	distances
)

func (d Distance) String() string {
	switch d {
	case SameDomain:
		return "domain"
	case SameRegion:
		return "region"
	case OtherRegion:
		return "afar"
	}
	return fmt.Sprintf("distance(%d)", int(d))
}

// serversByDistance groups the backend servers of a service.
type serversByDistance [distances][]*server

// areEvacuated reports whether there are backend servers and all are in evacuated
// failure domains.
func (d *serversByDistance) areEvacuated() bool {
	n := 0
	for _, servers := range d {
		for _, s := range servers {
			if !s.backend.Evacuated {
				return false
			}
			n++
		}
	}
	return n > 0
}

// serversOf returns the service's backend servers, or false if the service is not
// in the table. The lock must be held.
func (r *Router) serversOf(table *describer.RoutingTable, service string) (*serversByDistance, bool) {
	if table != r.table {
		r.reload(table)
	}
	out, ok := r.services[service]
	return out, ok
}

// reload groups the backend servers of a new routing table. It keeps the state of
// those that were in the old one.
func (r *Router) reload(table *describer.RoutingTable) {
	r.table = table
	r.services = make(map[string]*serversByDistance)
	if table == nil {
		return
	}
	servers := make(map[string]*server)
	for service, backends := range table.Services {
		byDistance := new(serversByDistance)
		for _, b := range backends {
			s := r.serverFor(b, servers)
			d := r.distance(b)
			byDistance[d] = append(byDistance[d], s)
		}
		r.services[service] = byDistance
	}
	r.servers = servers
}

// serverFor returns the state of the backend server, which is shared between
// services.
func (r *Router) serverFor(b describer.Backend, servers map[string]*server) *server {
	if s := servers[b.Worker]; s != nil {
		return s
	}
	s := r.servers[b.Worker]
	if s == nil {
		s = new(server)
	}
	s.backend = b
	servers[b.Worker] = s
	return s
}

// distance returns how far the backend server is from this entry host.
func (r *Router) distance(b describer.Backend) Distance {
	switch {
	case b.Domain == r.Options.Domain:
		return SameDomain
	case b.Region == r.Options.Region:
		return SameRegion
	}
	return OtherRegion
}
