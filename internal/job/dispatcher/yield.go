package dispatcher

import (
	"slices"
	"time"
)

// Bounds of yielding.
const (
	lastingShare = 0.9             // of the workers' CPU that lasting tasks may reserve; the rest is for tasks that end
	endingMemory = time.Minute     // for which their limit stands after a task that ends has started: bursts come back
	yieldTime    = 4 * time.Second // for which a yielding task leaves all room to others; users notice a longer gap
	yieldPlaces  = 2               // places for it that have to be free before it takes one after that, so that one is left
)

// lastingLimit is the CPU that lasting tasks may reserve out of capacity, both
// in millicores. It leaves room for tasks that end, if the shard has such; a
// new owner does not know.
func (s *Shard) lastingLimit(capacity int64) int64 {
	last := s.claimed
	if s.ending.After(last) {
		last = s.ending
	}
	if s.now.Sub(last) > endingMemory {
		return capacity
	}
	return int64(lastingShare * float64(capacity))
}

// isYielding reports whether the step's tasks last, would take more than their
// limit, and so leave the room to others for now. Where a service has several
// shards, only jobs that may still be moved yield: the others can run nowhere
// else, and the shard does not know whether another has room.
func (p *placement) isYielding(st *step) bool {
	switch {
	case st.job.moving:
		return true
	case !st.spec.Lasting || st.mayExceed:
		return false
	case p.s.options.Domain != "":
		return p.isToMove(st.job)
	}
	return p.lasting+st.needs.lasting > p.limit
}

// mayExceedLimit reports whether tasks of the step may start above the limit: they
// have yielded for yieldTime and there is more room than one of them needs.
func (p *placement) mayExceedLimit(st *step) bool {
	if !st.spec.Lasting || p.lasting+st.needs.lasting <= p.limit {
		return false
	}
	t := st.firstWaiting()
	return t != nil && p.s.now.Sub(t.since) >= yieldTime && p.places(st, t) >= yieldPlaces
}

// places counts how often a task would fit, up to yieldPlaces.
func (p *placement) places(st *step, t *task) int {
	rooms := slices.Clone(p.rooms)
	defer func() { p.rooms = rooms }()
	need := st.fitterNeed()
	n := 0
	for n < yieldPlaces {
		i := p.choose(st, t, need)
		if i < 0 {
			break
		}
		p.rooms[i].Reserve(&need)
		n++
	}
	return n
}
