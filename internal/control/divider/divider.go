// Package divider divides the workers of a service into shards, by what the
// entry hosts can carry.
//
// # Algorithm
//
// A shard is scheduled by one host. Large shards place work best: wide steps fit,
// and room in one rack serves all jobs. So [Divide] makes as few shards as the
// hosts can carry. It begins with one shard for the whole service and asks
// whether there is a host for it. If not, it divides the workers by region, then
// by failure domain, and then by racks, until each shard has a host that can
// carry it. A strong host gets a large shard, and a fleet of weak hosts many
// small ones. The same rule holds at each size.
//
// A shard never loses racks, since the runs on them belong to its jobs. Racks that
// come later join a shard of their failure domain or form a new one, see [Extend].
package divider

import (
	"cmp"
	"fmt"
	"slices"
)

// Rack is a group of workers that are always in the same shard.
type Rack struct {
	Name    string // unique in the service
	Domain  string // failure domain
	Region  string
	Workers int // number of registered workers
}

// Shard is a set of racks that one host schedules.
type Shard struct {
	Name    string
	Domain  string // failure domain; empty if the racks are in several
	Region  string // empty if the racks are in several regions
	Racks   []string
	Workers int // number of workers when the shard was made or last extended
}

// Divide returns the shards for all racks of a service.
func Divide(service string, racks []Rack, hosts []Host) []Shard {
	if len(racks) == 0 {
		return nil
	}
	racks = slices.Clone(racks)
	slices.SortFunc(racks, func(a, b Rack) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	return divide(service, racks, hosts)
}

// divide divides sorted racks.
func divide(service string, racks []Rack, hosts []Host) []Shard {
	whole := newShard(service, racks)
	near := nearby(whole.Domain, whole.Region, hosts)
	if maxLoad([]Shard{whole}, near) <= 1 {
		return []Shard{whole}
	}
	switch {
	case whole.Region == "":
		return divideBy(service, racks, hosts, func(r Rack) string { return r.Region })
	case whole.Domain == "":
		return divideBy(service, racks, hosts, func(r Rack) string { return r.Domain })
	}
	return divideDomain(service, racks, near)
}

// divideBy divides groups of racks with the same key on their own.
func divideBy(service string, racks []Rack, hosts []Host, key func(Rack) string) []Shard {
	var out []Shard
	for begin := 0; begin < len(racks); {
		end := begin + 1
		for end < len(racks) && key(racks[end]) == key(racks[begin]) {
			end++
		}
		for _, s := range divide(service, racks[begin:end], hosts) {
			if s.Name == service {
				s.Name = service + "@" + key(racks[begin])
			}
			out = append(out, s)
		}
		begin = end
	}
	return out
}

// divideDomain divides the racks of one failure domain into the smallest number
// of shards that the hosts can carry, or, if they can't carry it all, into the
// number that loads the busiest of them least.
func divideDomain(service string, racks []Rack, hosts []Host) []Shard {
	var best []Shard
	bestLoad := 0.0
	for n := 1; n <= len(racks); n++ {
		shards := split(service, racks, n)
		load := maxLoad(shards, hosts)
		if best == nil || load < bestLoad {
			best, bestLoad = shards, load
		}
		if load <= 1 {
			break
		}
	}
	return best
}

// split divides the racks of one failure domain into n shards of about the same
// number of workers.
func split(service string, racks []Rack, n int) []Shard {
	groups := make([][]Rack, n)
	counts := make([]int, n)
	bySize := slices.Clone(racks)
	slices.SortStableFunc(bySize, func(a, b Rack) int { return cmp.Compare(b.Workers, a.Workers) })
	for _, r := range bySize {
		i := slices.Index(counts, slices.Min(counts))
		groups[i] = append(groups[i], r)
		counts[i] += max(r.Workers, 1)
	}
	shards := make([]Shard, n)
	for i, group := range groups {
		shards[i] = newShard(service, group)
		shards[i].Name = service + "@" + racks[0].Domain
		if i > 0 {
			shards[i].Name += fmt.Sprintf(".%d", i+1)
		}
	}
	return shards
}

// newShard returns a shard of the racks, named like the service.
func newShard(service string, racks []Rack) Shard {
	s := Shard{Name: service, Domain: racks[0].Domain, Region: racks[0].Region}
	for _, r := range racks {
		s.Racks = append(s.Racks, r.Name)
		s.Workers += r.Workers
		if r.Domain != s.Domain {
			s.Domain = ""
		}
		if r.Region != s.Region {
			s.Region = ""
		}
	}
	return s
}

// Extend adds racks that no shard has yet. Each joins the smallest shard that has
// racks of its failure domain if a host can carry that shard, and otherwise forms
// a new shard. It returns the changed list; shards isn't modified.
func Extend(service string, shards []Shard, racks []Rack, hosts []Host) []Shard {
	shards = slices.Clone(shards)
	for _, r := range racks {
		near := nearby(r.Domain, r.Region, hosts)
		i := smallest(shards, r)
		if i < 0 || maxLoad([]Shard{{Workers: shards[i].Workers + r.Workers}}, near) > 1 {
			added := newShard(service, []Rack{r})
			added.Name = freeName(service+"@"+r.Domain, shards)
			shards = append(shards, added)
			continue
		}
		s := &shards[i]
		s.Racks = append(slices.Clone(s.Racks), r.Name)
		s.Workers += r.Workers
	}
	return shards
}

// smallest returns the index of the shard with the fewest workers among those that
// cover the rack's failure domain, or -1.
func smallest(shards []Shard, r Rack) int {
	best := -1
	for i, s := range shards {
		covers := s.Domain == r.Domain || s.Domain == "" && (s.Region == r.Region || s.Region == "")
		if covers && (best < 0 || s.Workers < shards[best].Workers) {
			best = i
		}
	}
	return best
}

// freeName returns the name, or the name with a number if a shard has it.
func freeName(name string, shards []Shard) string {
	isTaken := func(name string) bool {
		return slices.ContainsFunc(shards, func(s Shard) bool { return s.Name == name })
	}
	free := name
	for n := 2; isTaken(free); n++ {
		free = fmt.Sprintf("%s.%d", name, n)
	}
	return free
}
