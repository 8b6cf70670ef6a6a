package lender

import (
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// ask is the call of an entry host that wants slots of a shard's workers.
// Sequence grows from call to call, so that one overtaken by a later is known.
type ask struct {
	Host     string `json:"host"`
	Born     int64  `json:"born"` // tells processes of one name apart
	Sequence int64  `json:"sequence"`
	Shard    string `json:"shard"`
	Wants    []want `json:"wants"`
}

type want struct {
	Worker string `json:"worker"`
	Want   int    `json:"want"`
	Held   int    `json:"held"` // lent slots that may still be occupied
}

// loans is the answer.
type loans struct {
	Epoch int64         `json:"epoch"`
	Term  time.Duration `json:"term"`
	Loans []grant       `json:"loans"`
}

type grant struct {
	Worker string `json:"worker"`
	Slots  int    `json:"slots"`
}

var (
	errMalformed = &classifier.Error{Verdict: classifier.NotRun, Status: http.StatusBadRequest, Code: "malformed", Message: "lender: not a request for slots"}
	errNotOwner  = &classifier.Error{Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, Code: "owner", Message: "lender: the shard is owned elsewhere"}
)

// books holds the loans of all shards that this daemon owns.
type books struct {
	wait time.Duration // before a new owner lends
	term time.Duration

	lock   sync.Mutex
	shards map[string]*book
}

// book holds the loans of one shard in one epoch.
type book struct {
	epoch   int64
	opens   time.Time // when every loan of former owners has lapsed
	seen    map[holder]int64
	workers map[string]map[holder]*loan
}

// holder is one process of an entry host.
type holder struct {
	host string
	born int64
}

// loan is what one holder may occupy of one worker.
type loan struct {
	slots int
	want  int
	until time.Time
}

// lend answers one call. It fails for a call that a later one has overtaken,
// and when ownership has become uncertain.
func (x *books) lend(a *ask, epoch int64, table *describer.RoutingTable, valid func() bool, now time.Time) (*loans, bool) {
	x.lock.Lock()
	defer x.lock.Unlock()
	b := x.shards[a.Shard]
	if b == nil || b.epoch < epoch {
		b = newBook(epoch, now.Add(x.wait))
		x.shards[a.Shard] = b
	}
	h := holder{a.Host, a.Born}
	if b.epoch != epoch || a.Sequence <= b.seen[h] || !valid() {
		return nil, false
	}
	b.seen[h] = a.Sequence
	out := &loans{Epoch: epoch, Term: x.term}
	slots := lendable(table, a.Shard)
	for _, w := range a.Wants {
		total := slots[w.Worker]
		if now.Before(b.opens) {
			total = 0
		}
		out.Loans = append(out.Loans, grant{w.Worker, b.lend(h, w, total, now, x.term)})
	}
	return out, true
}

func newBook(epoch int64, opens time.Time) *book {
	return &book{
		epoch:   epoch,
		opens:   opens,
		seen:    make(map[holder]int64),
		workers: make(map[string]map[holder]*loan),
	}
}

// lend sets the holder's loan of one worker. What the holder may still occupy
// stays counted when the loan shrinks, until the holder says that it is free
// or the former loan has lapsed.
func (b *book) lend(h holder, w want, total int, now time.Time, term time.Duration) int {
	all := b.workers[w.Worker]
	if all == nil {
		all = make(map[holder]*loan)
		b.workers[w.Worker] = all
	}
	others := 0
	for o, l := range all {
		if now.After(l.until) {
			delete(all, o)
		} else if o != h {
			others += l.slots
		}
	}
	mine := all[h]
	if mine == nil {
		mine = new(loan)
		all[h] = mine
	}
	mine.want = max(w.Want, 0)
	slots := max(0, min(fair(all, h, total), total-others))
	mine.slots = max(slots, min(w.Held, mine.slots))
	mine.until = now.Add(term)
	if mine.slots == 0 && mine.want == 0 {
		delete(all, h)
	}
	return slots
}

// fair returns the holder's max-min fair share of total.
func fair(all map[holder]*loan, h holder, total int) int {
	mine := all[h].want
	for level := 0; ; level++ {
		if level == mine {
			return mine
		}
		sum := 0
		for _, l := range all {
			sum += min(l.want, level+1)
		}
		if sum > total {
			return level + spare(all, h, level, total)
		}
	}
}

// spare hands the slots that do not suffice for one more each to the holders
// with the smallest names, so that all calls agree on it.
func spare(all map[holder]*loan, h holder, level, total int) int {
	left := total
	before := 0
	for o, l := range all {
		left -= min(l.want, level)
		if l.want > level && (o.host < h.host || o.host == h.host && o.born < h.born) {
			before++
		}
	}
	if before < left {
		return 1
	}
	return 0
}

// lendable returns the slots outside the base pool for the shard's workers
// that are open.
func lendable(table *describer.RoutingTable, shard string) map[string]int {
	out := make(map[string]int)
	for _, backends := range table.Services {
		for _, b := range backends {
			if b.Shard == shard && !b.Closed {
				out[b.Worker] = b.Slots - pool(b)
			}
		}
	}
	return out
}

// pool returns the size of a worker's base pool.
func pool(b describer.Backend) int { return b.Slots / 2 }

// share returns the part of the worker's base pool for one of count seats.
// What does not divide evenly goes to seats that differ from worker to worker.
func share(b describer.Backend, number, count int) int {
	size := pool(b)
	out := size / count
	if (number+offset(b.Worker))%count < size%count {
		out++
	}
	return out
}
