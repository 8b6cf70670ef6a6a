package router

import (
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Distance orders backend servers by how far away they are.
type Distance int

// Distances, nearest first.
const (
	SameDomain  Distance = iota // own failure domain
	SameRegion                  // another failure domain of the own region
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

// rows holds a service's backend servers by distance.
type rows [distances][]*server

// rows returns the service's rows, remade when the table has changed. What is
// known about a backend server lives on from table to table.
func (r *Router) rows(table *describer.RoutingTable, service string) (*rows, bool) {
	if table != r.table {
		r.load(table)
	}
	out, ok := r.view[service]
	return out, ok
}

func (r *Router) load(table *describer.RoutingTable) {
	r.table = table
	r.view = make(map[string]*rows)
	if table == nil {
		return
	}
	seen := make(map[string]*server)
	for service, backends := range table.Services {
		view := new(rows)
		for _, b := range backends {
			s := r.server(b, seen)
			d := r.distance(b)
			view[d] = append(view[d], s)
		}
		r.view[service] = view
	}
	r.servers = seen
}

func (r *Router) server(b describer.Backend, seen map[string]*server) *server {
	if s := seen[b.Worker]; s != nil {
		return s
	}
	s := r.servers[b.Worker]
	if s == nil {
		s = new(server)
	}
	s.backend = b
	seen[b.Worker] = s
	return s
}

func (r *Router) distance(b describer.Backend) Distance {
	switch {
	case b.Domain == r.Options.Domain:
		return SameDomain
	case b.Region == r.Options.Region:
		return SameRegion
	}
	return OtherRegion
}
