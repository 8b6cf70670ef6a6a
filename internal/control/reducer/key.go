package reducer

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// claimKey records that a non-idempotent request is about to be sent. Only
// the first claim of a key is fresh, and only once it is durable.
func (s *State) claimKey(e KeyClaimRequested) {
	h := s.shards[e.Shard]
	if h != nil && h.book != nil && h.phase == owning {
		if first, ok := h.book.keys[e.Key]; ok {
			h.journal.then(consequence{request: e.Request, key: &KeyClaim{Owner: first.owner}})
			return
		}
	}
	if h = s.deciding(e.Request, e.Shard); h == nil {
		return
	}
	h.append(describer.Record{Kind: describer.KeyClaimed, Key: e.Key, Owner: e.Owner})
	h.journal.then(consequence{request: e.Request, key: &KeyClaim{First: true, Owner: e.Owner}})
}
