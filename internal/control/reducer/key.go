package reducer

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// claimKey records that a non-idempotent request with this idempotency key is about
// to be sent. Only the first claim of a key is answered with First, and only after it is
// durable; later claims get the owner of the first.
func (s *State) claimKey(e KeyClaimRequested) {
	sh := s.shards[e.Shard]
	if sh != nil && sh.view != nil && sh.ownership == owning {
		if first, ok := sh.view.keys[e.Key]; ok {
			sh.journal.whenDurable(followUp{request: e.Request, key: &KeyClaim{Owner: first.owner}})
			return
		}
	}
	if sh = s.writableShard(e.Request, e.Shard); sh == nil {
		return
	}
	sh.appendRecord(describer.Record{Kind: describer.KeyClaimed, Key: e.Key, Owner: e.Owner})
	sh.journal.whenDurable(followUp{request: e.Request, key: &KeyClaim{First: true, Owner: e.Owner}})
}
