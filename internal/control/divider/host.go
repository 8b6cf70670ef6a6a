package divider

import "time"

// What scheduling takes for each worker, with some ends of runs a second, and how
// much of a host's processor and link may be used for it.
const (
	workerCPU  = 2.0  // millicores
	workerLink = 30.0 // kbit/s
	maxUsage   = 0.6  // fraction of the host; the rest is for callers and bursts
)

// Host is an entry host and what it has to spend.
type Host struct {
	Name   string
	Domain string // failure domain
	Region string
	CPU    int64 // millicores; 0 if not known
	Link   int64 // kbit/s; 0 if not known
	Load   int   // number of workers in the shards that it owns
}

// Capacity returns for how many workers the host can schedule.
func (h *Host) Capacity() int {
	capacity := float64(unknownCapacity)
	if h.CPU > 0 {
		capacity = min(capacity, maxUsage*float64(h.CPU)/workerCPU)
	}
	if h.Link > 0 {
		capacity = min(capacity, maxUsage*float64(h.Link)/workerLink)
	}
	return max(int(capacity), 1)
}

// unknownCapacity is the capacity of a host of which nothing is known.
const unknownCapacity = 100_000

// nearby returns the hosts in the failure domain, or if there are none those in
// the region, or if there are none all. An empty name stands for all.
func nearby(domain, region string, hosts []Host) []Host {
	var inDomain, inRegion []Host
	for _, h := range hosts {
		if domain != "" && h.Domain == domain {
			inDomain = append(inDomain, h)
		}
		if region != "" && h.Region == region {
			inRegion = append(inRegion, h)
		}
	}
	switch {
	case len(inDomain) > 0:
		return inDomain
	case len(inRegion) > 0:
		return inRegion
	}
	return hosts
}

// maxLoad returns the load of the busiest host, as a fraction of its capacity, if
// each shard goes to the host that it loads least. Without hosts it is 0: nothing
// is known that would forbid the shards.
func maxLoad(shards []Shard, hosts []Host) float64 {
	if len(hosts) == 0 {
		return 0
	}
	workers := make([]int, len(hosts))
	capacity := make([]int, len(hosts))
	for i := range hosts {
		capacity[i] = hosts[i].Capacity()
	}
	busiest := 0.0
	for _, s := range shards {
		best, bestLoad := -1, 0.0
		for i := range hosts {
			load := float64(workers[i]+s.Workers) / float64(capacity[i])
			if best < 0 || load < bestLoad {
				best, bestLoad = i, load
			}
		}
		workers[best] += s.Workers
		busiest = max(busiest, bestLoad)
	}
	return busiest
}

// Delays before a host claims a shard without an owner.
const (
	loadDelay         = 100 * time.Millisecond // for a load of 1.5 times the capacity, quadratic above half of it
	overloadDelay     = 3 * time.Second        // in addition, for a load of twice the capacity, linear above it
	maxLoadDelay      = 3500 * time.Millisecond
	otherDomainDelay  = 300 * time.Millisecond
	otherRegionDelay  = 900 * time.Millisecond // in addition; hosts far from the store learn of a shard later
	tolerableLoad     = 0.5                    // fraction of the capacity that causes no delay
	releaseLoad       = 1.5                    // load from which on a host looks for another one
	releaseAdvantage  = 0.5                    // fraction of its load that the other one may have at most
	unknownShardCount = 20                     // workers assumed for a shard without a count
)

// ClaimDelay returns how long the host leaves a shard without an owner to others.
// It is shorter the less the shard would load the host, and in the shard's failure
// domain. A host that the shard would overload leaves it even to idle hosts of another
// region, to which it would have to release it later, see [BetterOwner]. Each host
// computes it on its own, so that mostly the best one claims.
func (h *Host) ClaimDelay(s *Shard) time.Duration {
	load := h.loadWith(s)
	excess := max(load-tolerableLoad, 0)
	overload := max(load-1, 0)
	delay := min(time.Duration(excess*excess*float64(loadDelay)+overload*float64(overloadDelay)), maxLoadDelay)
	if s.Domain != "" && s.Domain != h.Domain {
		delay += otherDomainDelay
	}
	if s.Region != "" && s.Region != h.Region {
		delay += otherRegionDelay
	}
	return delay
}

// loadWith returns the host's load if it also owned the shard, as a fraction of
// its capacity.
func (h *Host) loadWith(s *Shard) float64 {
	workers := s.Workers
	if workers == 0 {
		workers = unknownShardCount
	}
	return float64(h.Load+workers) / float64(h.Capacity())
}

// PlanDelay returns how long the host leaves it to others to divide a service.
func (h *Host) PlanDelay() time.Duration {
	return min(planDelay*referenceCapacity/time.Duration(h.Capacity()), maxPlanDelay)
}

// Delays before a host divides a service.
const (
	planDelay         = time.Second // of a host with the reference capacity
	referenceCapacity = 50          // workers
	maxPlanDelay      = 3 * time.Second
)

// BetterOwner reports whether another host would carry the shard much more easily
// than its owner, which is overloaded.
func BetterOwner(owner *Host, s *Shard, hosts []Host) bool {
	own := float64(owner.Load) / float64(owner.Capacity())
	if own < releaseLoad {
		return false
	}
	for i := range hosts {
		h := &hosts[i]
		if h.Name != owner.Name && h.loadWith(s) <= min(releaseAdvantage*own, 1) {
			return true
		}
	}
	return false
}
