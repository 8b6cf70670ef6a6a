package reducer

import (
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/escalator"
)

// ownership is how far this daemon is with a shard.
type ownership uint8

const (
	foreign   ownership = iota // not owned here
	claiming                   // Claim without an answer yet
	owning                     // owned, book present
	releasing                  // giving up, nothing is decided any more
)

func (o ownership) String() string {
	switch o {
	case foreign:
		return "foreign"
	case claiming:
		return "claiming"
	case owning:
		return "owned"
	case releasing:
		return "releasing"
	}
	return fmt.Sprintf("ownership(%d)", uint8(o))
}

// shard is one shard of the own failure domain. The fields below the line
// exist only while it is owned.
type shard struct {
	state   *State
	id      string
	config  describer.Shard
	phase   ownership
	tryAt   time.Time // of the next claim
	tries   int
	heldAt  time.Time     // since when a live peer says that it owns the shard, or the latest claim
	freeAt  time.Time     // since when no live peer says that it owns the shard
	tenure  time.Duration // before it may be handed over to a better placed daemon
	closing bool          // the last record is written; no lease is granted or renewed any more
	handing bool          // Release was emitted

	epoch    int64
	book     *book
	claimed  time.Time
	released describer.Record // the former owner's last one, if it gave the shard up
	sequence int64            // of tokens
	workers  map[string]*worker
	order    []*worker // sorted by name
	fleet    *accountant.Fleet
	teams    map[string]*team
	journal  journal
	passed   time.Time // when tasks were last placed
	idle     bool      // nothing changed since the last placement found nothing to do
	budget   *escalator.Budget
	rooms    []reservation        // for urgent tasks
	proposed map[string]time.Time // proposals that the configuration doesn't show yet
}

// settle decides and flushes after each event.
func (h *shard) settle() {
	if h.book == nil {
		return
	}
	h.place()
	if h.phase == releasing {
		h.closeLedger()
	}
	h.flush()
	if h.phase == releasing {
		h.handOver()
	}
}

// append applies a record at once and makes it part of the next Append.
func (h *shard) append(r describer.Record) {
	r.Time = h.state.now
	h.journal.add(r)
	if t := h.book.task(r.Task); t != nil {
		t.batch = h.journal.next()
	}
	h.apply(r)
}

// isDeciding reports whether new decisions may be recorded.
func (h *shard) isDeciding() bool { return h.phase == owning && !h.state.stopping }

// lose forgets everything about the shard. Callers whose records are not
// known to be durable are told so.
func (h *shard) lose() {
	h.journal.abandon(h.state)
	wasHandingOver := h.phase == releasing
	h.phase = foreign
	h.book = nil
	h.workers = nil
	h.order = nil
	h.fleet = nil
	h.teams = nil
	h.rooms = nil
	h.journal = journal{}
	h.closing = false
	h.handing = false
	h.tries = 0
	h.tryAt = h.state.now.Add(claimRetry)
	if wasHandingOver {
		h.tryAt = h.state.now.Add(handOverPause)
	}
	h.state.published = false
}
