package lender

import (
	"context"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
)

// account is what this entry host may use of one worker and uses.
type account struct {
	backend  describer.Backend
	lent     int
	until    time.Time // of the loan
	usedLent int
	usedBase int
	peak     int  // most in use at once since the last renewal
	unmet    int  // requests that found no slot since then
	wanted   int  // in the latest call
	short    bool // the latest call failed or brought less: another at once won't help
}

// Limit implements router.Slots.
func (l *Lender) Limit(b describer.Backend) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := time.Now()
	base, _ := l.base(b, now)
	return base + l.account(b).usable(now.Add(l.Options.Grace))
}

// Acquire implements router.Slots. Lent slots go first: base slots also serve
// requests whose deadline is later than a loan's end.
func (l *Lender) Acquire(b describer.Backend, deadline time.Time) (release func(), ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	a := l.account(b)
	now := time.Now()
	if a.usedLent < a.usable(now.Add(l.Options.Grace)) && !deadline.After(a.until) {
		a.usedLent++
		a.note()
		return func() { l.release(&a.usedLent) }, true
	}
	if base, until := l.base(b, now); a.usedBase < base && !deadline.After(until) {
		a.usedBase++
		a.note()
		return func() { l.release(&a.usedBase) }, true
	}
	a.unmet++
	if !a.short {
		l.rouse()
	}
	return nil, false
}

func (l *Lender) release(used *int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	*used--
}

// rouse asks for more at once, and does not wait.
func (l *Lender) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Lender) account(b describer.Backend) *account {
	a := l.accounts[b.Worker]
	if a == nil {
		a = new(account)
		l.accounts[b.Worker] = a
	}
	a.backend = b
	return a
}

// base returns this entry host's share of the worker's base pool, and until
// when it lasts.
func (l *Lender) base(b describer.Backend, now time.Time) (int, time.Time) {
	if l.seat == nil || b.Domain != l.Options.Domain {
		return 0, time.Time{}
	}
	number, count, until := l.seat.Held(now)
	if count == 0 {
		return 0, time.Time{}
	}
	return share(b, number, count), until
}

func (a *account) usable(at time.Time) int {
	if !at.Before(a.until) {
		return 0
	}
	return a.lent
}

func (a *account) note() { a.peak = max(a.peak, a.usedLent+a.usedBase) }

// held returns the lent slots that this entry host may still occupy, with
// requests or with open connections.
func (a *account) held(now time.Time, open, base int) int {
	held := max(a.usable(now), a.usedLent)
	if a.backend.Slots > 0 && a.backend.Connections > 0 {
		slots := (open*a.backend.Slots + a.backend.Connections - 1) / a.backend.Connections
		held = max(held, slots-base)
	}
	return held
}

// shards returns the shards of which something is wanted or held.
func (l *Lender) shards() []string {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := time.Now()
	var out []string
	for worker, a := range l.accounts {
		if a.peak == 0 && a.unmet == 0 && a.usedLent+a.usedBase == 0 && a.usable(now) == 0 {
			delete(l.accounts, worker)
			continue
		}
		if !slices.Contains(out, a.backend.Shard) {
			out = append(out, a.backend.Shard)
		}
	}
	return out
}

// borrow makes one call to the shard's owner. A failure changes nothing: the
// loans in force last until their time.
func (l *Lender) borrow(ctx context.Context, shard string) {
	table := l.table()
	if table == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.Options.Interval)
	defer cancel()
	a := l.ask(shard)
	sent := time.Now()
	out, err := l.call(ctx, table, a)
	if err != nil {
		l.log.Debug().Err(err).Str("shard", shard).Msg("No loan.")
		l.setShort(shard)
		return
	}
	if l.take(out, sent) {
		l.grown()
	}
}

func (l *Lender) call(ctx context.Context, table *describer.RoutingTable, a *ask) (*loans, error) {
	if _, ok := table.Owned[a.Shard]; ok {
		return l.lend(a)
	}
	address, ok := table.Owners[a.Shard]
	if !ok {
		return nil, errNotOwner
	}
	out := new(loans)
	return out, l.caller.Call(ctx, address, messenger.Lend, a, out)
}

// ask says what is wanted: what was in use at the peak, what was missed, and
// one slot in reserve.
func (l *Lender) ask(shard string) *ask {
	open := l.opened(shard)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.sequence++
	now := time.Now()
	out := &ask{Host: l.Options.Name, Born: l.born, Sequence: l.sequence, Shard: shard}
	for worker, a := range l.accounts {
		if a.backend.Shard != shard {
			continue
		}
		base, _ := l.base(a.backend, now)
		w := want{Worker: worker, Held: a.held(now, open[worker], base)}
		if a.peak+a.unmet > 0 && !l.closing {
			w.Want = max(0, a.peak+min(a.unmet, a.backend.Slots)+1-base)
		}
		a.peak = a.usedLent + a.usedBase
		a.unmet = 0
		a.wanted = w.Want
		out.Wants = append(out.Wants, w)
	}
	return out
}

// setShort keeps unmet wants from causing calls before the next interval.
func (l *Lender) setShort(shard string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, a := range l.accounts {
		if a.backend.Shard == shard {
			a.short = true
		}
	}
}

// opened counts open connections. The lock is not held meanwhile, since the
// holder of the connections asks for limits under locks of its own.
func (l *Lender) opened(shard string) map[string]int {
	l.lock.Lock()
	out := make(map[string]int)
	for worker, a := range l.accounts {
		if a.backend.Shard == shard {
			out[worker] = 0
		}
	}
	open := l.open
	l.lock.Unlock()
	for worker := range out {
		out[worker] = open(worker)
	}
	return out
}

// take puts the answer to the latest call in force, and reports whether it
// brought more. That it may come from a former owner does no harm: its
// successor lends nothing until the loan has lapsed.
func (l *Lender) take(out *loans, sent time.Time) (grown bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	until := sent.Add(min(out.Term, l.Options.Term) - l.Options.Margin)
	for _, g := range out.Loans {
		account := l.accounts[g.Worker]
		if account == nil {
			continue
		}
		grown = grown || g.Slots > account.lent
		account.lent = g.Slots
		account.until = until
		account.short = g.Slots < account.wanted
	}
	return grown
}
