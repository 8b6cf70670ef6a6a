package holder

import "dotterelcart.dev/dotterelcart/internal/control/reducer"

// Whether the store is reached decides on what an owner may still do, so it
// must not be reported before a loss of shards that the same contact brings to
// light. While shards are held, only the lease can tell: it was renewed, or it
// is gone and every owner record has been written again.

// noted runs after each store call.
func (h *Holder) noted(operation string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !ok:
		h.reach(false, operation == renewal)
	case operation == renewal:
		// See renewed.
	case !h.isHolding():
		h.reach(true, false)
	case !h.reached:
		h.lease.Poke()
	}
}

// renewed runs after each successful renewal.
func (h *Holder) renewed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settle(true)
}

// settle reports the store as reached unless some shard may turn out to be
// lost; h.mu is held.
func (h *Holder) settle(again bool) {
	for _, s := range h.seats {
		if s.asserting {
			return
		}
	}
	h.reach(true, again)
}

// reach reports a change, or also the same again; h.mu is held.
func (h *Holder) reach(ok, again bool) {
	if h.known && h.reached == ok && !again {
		return
	}
	h.known, h.reached = true, ok
	h.post(reducer.StoreChecked{Reachable: ok})
}

// isHolding reports whether there is a shard to lose; h.mu is held.
func (h *Holder) isHolding() bool {
	for _, s := range h.seats {
		if s.ledger != nil {
			return true
		}
	}
	return false
}
