package lender

import (
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// leaseRequest asks the owner of a shard for slots of the shard's workers.
// Sequence grows with each request of a process, so that the owner can refuse
// one that arrives after a later one.
type leaseRequest struct {
	Host        string   `json:"host"`
	Incarnation int64    `json:"born"` // start time, differs between processes of the same host name
	Sequence    int64    `json:"sequence"`
	Shard       string   `json:"shard"`
	Demands     []demand `json:"wants"`
}

// demand is what an entry host asks for of one worker.
type demand struct {
	Worker string `json:"worker"`
	Want   int    `json:"want"` // leased slots asked for
	Held   int    `json:"held"` // leased slots that may still be in use
}

// leaseReply is the response to a leaseRequest.
type leaseReply struct {
	Epoch  int64         `json:"epoch"` // number of the shard's ownership, grows with each new owner
	Term   time.Duration `json:"term"`  // lifetime of the leases
	Grants []grant       `json:"loans"`
}

// grant is the size of the lease on one worker.
type grant struct {
	Worker string `json:"worker"`
	Slots  int    `json:"slots"`
}

var (
	errMalformed = &classifier.Error{Verdict: classifier.NotRun, Status: http.StatusBadRequest, Code: "malformed", Message: "lender: not a request for slots"}
	errNotOwner  = &classifier.Error{Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, Code: "owner", Message: "lender: the shard is owned elsewhere"}
)

// grantTable holds the leases granted for all shards that this daemon owns.
type grantTable struct {
	startupDelay time.Duration // a new owner grants no slots for so long
	term         time.Duration // lifetime of a lease

	lock   sync.Mutex
	shards map[string]*shardGrants
}

// shardGrants holds the leases granted for one shard in one epoch.
type shardGrants struct {
	epoch        int64
	grantsFrom   time.Time                        // every lease of former owners has expired by then
	lastSequence map[holder]int64                 // number of each holder's latest request
	leases       map[string]map[holder]*slotLease // by worker
}

// holder is one process of an entry host.
type holder struct {
	host        string
	incarnation int64
}

// slotLease is one holder's lease on slots of one worker.
type slotLease struct {
	slots   int // slots that the holder may still use
	wanted  int // slots that the holder asked for
	expires time.Time
}

// grant answers one request. It returns false if a later request of the holder
// was answered before, or if the ownership of the shard is no longer certain.
func (t *grantTable) grant(request *leaseRequest, epoch int64, table *describer.RoutingTable, isOwner func() bool, now time.Time) (*leaseReply, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	s := t.shards[request.Shard]
	if s == nil || s.epoch < epoch {
		s = newShardGrants(epoch, now.Add(t.startupDelay))
		t.shards[request.Shard] = s
	}
	h := holder{request.Host, request.Incarnation}
	if s.epoch != epoch || request.Sequence <= s.lastSequence[h] || !isOwner() {
		return nil, false
	}
	s.lastSequence[h] = request.Sequence
	reply := &leaseReply{Epoch: epoch, Term: t.term}
	slots := lendableSlots(table, request.Shard)
	for _, d := range request.Demands {
		total := slots[d.Worker]
		if now.Before(s.grantsFrom) {
			total = 0
		}
		reply.Grants = append(reply.Grants, grant{d.Worker, s.grant(h, d, total, now, t.term)})
	}
	return reply, true
}

func newShardGrants(epoch int64, grantsFrom time.Time) *shardGrants {
	return &shardGrants{
		epoch:        epoch,
		grantsFrom:   grantsFrom,
		lastSequence: make(map[holder]int64),
		leases:       make(map[string]map[holder]*slotLease),
	}
}

// grant renews the holder's lease on one worker and returns its size. When the
// lease shrinks, slots that may still be in use stay counted until the holder
// reports them free or the former lease has expired.
func (s *shardGrants) grant(h holder, d demand, total int, now time.Time, term time.Duration) int {
	all := s.leases[d.Worker]
	if all == nil {
		all = make(map[holder]*slotLease)
		s.leases[d.Worker] = all
	}
	others := 0
	for o, l := range all {
		if now.After(l.expires) {
			delete(all, o)
		} else if o != h {
			others += l.slots
		}
	}
	own := all[h]
	if own == nil {
		own = new(slotLease)
		all[h] = own
	}
	own.wanted = max(d.Want, 0)
	slots := max(0, min(fairShare(all, h, total), total-others))
	own.slots = max(slots, min(d.Held, own.slots))
	own.expires = now.Add(term)
	if own.slots == 0 && own.wanted == 0 {
		delete(all, h)
	}
	return slots
}

// fairShare returns the holder's max-min fair share of total slots. It raises a
// level, the slots that every holder gets unless it wants fewer, until the sum
// would exceed total.
func fairShare(all map[holder]*slotLease, h holder, total int) int {
	wanted := all[h].wanted
	for level := 0; ; level++ {
		if level == wanted {
			return wanted
		}
		sum := 0
		for _, l := range all {
			sum += min(l.wanted, level+1)
		}
		if sum > total {
			return level + extraSlot(all, h, level, total)
		}
	}
}

// extraSlot returns 1 if the holder gets one of the slots that remain when all
// have level slots, else 0. They go to the holders that sort first, so that
// separate requests lead to the same division.
func extraSlot(all map[holder]*slotLease, h holder, level, total int) int {
	remaining := total
	before := 0
	for o, l := range all {
		remaining -= min(l.wanted, level)
		if l.wanted > level && (o.host < h.host || o.host == h.host && o.incarnation < h.incarnation) {
			before++
		}
	}
	if before < remaining {
		return 1
	}
	return 0
}

// lendableSlots returns, by worker, the slots outside the base pool of the
// shard's workers that accept requests.
func lendableSlots(table *describer.RoutingTable, shard string) map[string]int {
	out := make(map[string]int)
	for _, backends := range table.Services {
		for _, b := range backends {
			if b.Shard == shard && !b.Closed {
				out[b.Worker] = b.Slots - basePool(b)
			}
		}
	}
	return out
}

// basePool returns the number of slots in the worker's base pool.
func basePool(b describer.Backend) int { return b.Slots / 2 }

// baseShare returns the slots of the worker's base pool that belong to share
// index of count. The remainder goes to different shares from worker to worker.
func baseShare(b describer.Backend, index, count int) int {
	size := basePool(b)
	out := size / count
	if (index+workerOffset(b.Worker))%count < size%count {
		out++
	}
	return out
}
