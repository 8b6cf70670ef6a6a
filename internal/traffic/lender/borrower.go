package lender

import (
	"context"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
)

// workerSlots tracks which slots of one worker this entry host may use and how
// many are in use.
type workerSlots struct {
	backend     describer.Backend
	leased      int       // slots granted by the shard's owner
	expires     time.Time // end of the lease on the leased slots
	leasedInUse int
	baseInUse   int
	peak        int  // most slots in use at once since the last renewal
	missed      int  // requests that found no slot since then
	requested   int  // slots asked for in the latest renewal
	unfulfilled bool // the latest renewal failed or granted less than requested, so missed requests trigger no other
}

// Limit implements router.SlotSource.
func (l *Lender) Limit(b describer.Backend) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := time.Now()
	base, _ := l.baseSlots(b, now)
	return base + l.worker(b).usableLeased(now.Add(l.Options.Grace))
}

// Acquire implements router.SlotSource. It takes a leased slot if possible:
// base slots also serve requests whose deadline is after the end of the lease.
func (l *Lender) Acquire(b describer.Backend, deadline time.Time) (release func(), ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	w := l.worker(b)
	now := time.Now()
	if w.leasedInUse < w.usableLeased(now.Add(l.Options.Grace)) && !deadline.After(w.expires) {
		w.leasedInUse++
		w.updatePeak()
		return func() { l.release(&w.leasedInUse) }, true
	}
	if base, until := l.baseSlots(b, now); w.baseInUse < base && !deadline.After(until) {
		w.baseInUse++
		w.updatePeak()
		return func() { l.release(&w.baseInUse) }, true
	}
	w.missed++
	if !w.unfulfilled {
		l.triggerRenewal()
	}
	return nil, false
}

func (l *Lender) release(inUse *int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	*inUse--
}

// triggerRenewal makes run renew the leases now. It does not block.
func (l *Lender) triggerRenewal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// worker returns the slots of b's worker; the lock must be held.
func (l *Lender) worker(b describer.Backend) *workerSlots {
	w := l.workers[b.Worker]
	if w == nil {
		w = new(workerSlots)
		l.workers[b.Worker] = w
	}
	w.backend = b
	return w
}

// baseSlots returns the worker's slots that belong to this entry host's base
// share, and the end of the share lease.
func (l *Lender) baseSlots(b describer.Backend, now time.Time) (int, time.Time) {
	if l.share == nil || b.Domain != l.Options.Domain {
		return 0, time.Time{}
	}
	index, count, until := l.share.Held(now)
	if count == 0 {
		return 0, time.Time{}
	}
	return baseShare(b, index, count), until
}

// usableLeased returns the number of leased slots at the given time, 0 if the
// lease has expired by then.
func (w *workerSlots) usableLeased(at time.Time) int {
	if !at.Before(w.expires) {
		return 0
	}
	return w.leased
}

func (w *workerSlots) updatePeak() { w.peak = max(w.peak, w.leasedInUse+w.baseInUse) }

// heldLeased returns how many leased slots this entry host may still occupy,
// with requests or with open connections.
func (w *workerSlots) heldLeased(now time.Time, connections, base int) int {
	held := max(w.usableLeased(now), w.leasedInUse)
	if w.backend.Slots > 0 && w.backend.Connections > 0 {
		slots := (connections*w.backend.Slots + w.backend.Connections - 1) / w.backend.Connections
		held = max(held, slots-base)
	}
	return held
}

// activeShards returns the shards from which slots are wanted or held. It drops
// workers of which neither is true.
func (l *Lender) activeShards() []string {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := time.Now()
	var out []string
	for worker, w := range l.workers {
		if w.peak == 0 && w.missed == 0 && w.leasedInUse+w.baseInUse == 0 && w.usableLeased(now) == 0 {
			delete(l.workers, worker)
			continue
		}
		if !slices.Contains(out, w.backend.Shard) {
			out = append(out, w.backend.Shard)
		}
	}
	return out
}

// renew sends one lease request to the shard's owner. If it fails, the current
// leases stay valid until they expire.
func (l *Lender) renew(ctx context.Context, shard string) {
	table := l.table()
	if table == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.Options.Interval)
	defer cancel()
	request := l.newRequest(shard)
	sent := time.Now()
	reply, err := l.send(ctx, table, request)
	if err != nil {
		l.log.Debug().Err(err).Str("shard", shard).Msg("slot lease renewal failed")
		l.setUnfulfilled(shard)
		return
	}
	if l.apply(reply, sent) {
		l.onGrowth()
	}
}

// send passes the request to the shard's owner, which may be this daemon.
func (l *Lender) send(ctx context.Context, table *describer.RoutingTable, request *leaseRequest) (*leaseReply, error) {
	if _, ok := table.Owned[request.Shard]; ok {
		return l.grant(request)
	}
	address, ok := table.Owners[request.Shard]
	if !ok {
		return nil, errNotOwner
	}
	reply := new(leaseReply)
	return reply, l.caller.Call(ctx, address, messenger.Lend, request, reply)
}

// newRequest builds the lease request for a shard. It asks for the peak number
// of slots in use, one for each missed request, and one in reserve, less the base
// slots.
func (l *Lender) newRequest(shard string) *leaseRequest {
	connections := l.connections(shard)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.sequence++
	now := time.Now()
	request := &leaseRequest{Host: l.Options.Name, Incarnation: l.incarnation, Sequence: l.sequence, Shard: shard}
	for worker, w := range l.workers {
		if w.backend.Shard != shard {
			continue
		}
		base, _ := l.baseSlots(w.backend, now)
		d := demand{Worker: worker, Held: w.heldLeased(now, connections[worker], base)}
		if w.peak+w.missed > 0 && !l.closing {
			d.Want = max(0, w.peak+min(w.missed, w.backend.Slots)+1-base)
		}
		w.peak = w.leasedInUse + w.baseInUse
		w.missed = 0
		w.requested = d.Want
		request.Demands = append(request.Demands, d)
	}
	return request
}

// setUnfulfilled keeps missed requests from triggering renewals of the shard's
// leases before the next interval.
func (l *Lender) setUnfulfilled(shard string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, w := range l.workers {
		if w.backend.Shard == shard {
			w.unfulfilled = true
		}
	}
}

// connections returns the number of open connections to each of the shard's
// workers. It must not hold the lock while it calls openConnections, whose
// implementation calls Limit under locks of its own.
func (l *Lender) connections(shard string) map[string]int {
	l.lock.Lock()
	out := make(map[string]int)
	for worker, w := range l.workers {
		if w.backend.Shard == shard {
			out[worker] = 0
		}
	}
	open := l.openConnections
	l.lock.Unlock()
	for worker := range out {
		out[worker] = open(worker)
	}
	return out
}

// apply stores the granted leases and reports whether one has grown. A reply
// from a former owner is safe to apply: the new owner grants nothing until those
// leases have expired.
func (l *Lender) apply(reply *leaseReply, sent time.Time) (grown bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	expires := sent.Add(min(reply.Term, l.Options.Term) - l.Options.Margin)
	for _, g := range reply.Grants {
		w := l.workers[g.Worker]
		if w == nil {
			continue
		}
		grown = grown || g.Slots > w.leased
		w.leased = g.Slots
		w.expires = expires
		w.unfulfilled = g.Slots < w.requested
	}
	return grown
}
