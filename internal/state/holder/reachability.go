package holder

import "dotterelcart.dev/dotterelcart/internal/control/reducer"

// What an owner may still do depends on whether the store is reachable. So when
// the store responds again, the shards that were lost in the meantime must be
// reported before the store is reported as reachable. While the holder owns
// shards, a single response does not show whether they were lost. That is known
// after a renewal of the lease, or, if the lease is gone, after all owner
// records were written again.

// onStoreCall is called after each store call. It is not called for canceled
// calls.
func (h *Holder) onStoreCall(operation string, responded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !responded:
		h.reportReachable(false, operation == renewOperation)
	case operation == renewOperation:
		// onRenewal reports it.
	case !h.ownsShards():
		h.reportReachable(true, false)
	case !h.reachable:
		h.lease.Poke()
	}
}

// onRenewal is called after each successful renewal of the lease.
func (h *Holder) onRenewal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportSettled(true)
}

// reportSettled reports the store as reachable unless an owner record is still
// being restored, since that may show that a shard is lost; h.mu is held.
func (h *Holder) reportSettled(repeat bool) {
	for _, s := range h.shards {
		if s.restoring {
			return
		}
	}
	h.reportReachable(true, repeat)
}

// reportReachable queues a StoreChecked event if reachable has changed, or in
// any case if repeat is set; h.mu is held.
func (h *Holder) reportReachable(reachable, repeat bool) {
	if h.reachableKnown && h.reachable == reachable && !repeat {
		return
	}
	h.reachableKnown, h.reachable = true, reachable
	h.queueEvent(reducer.StoreChecked{Reachable: reachable})
}

// ownsShards reports whether the holder owns at least one shard; h.mu is held.
func (h *Holder) ownsShards() bool {
	for _, s := range h.shards {
		if s.ledger != nil {
			return true
		}
	}
	return false
}
