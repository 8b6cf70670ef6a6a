package responder

import (
	"context"
	"encoding/json"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
)

// keyRequest is the peer message that claims an idempotency key for owner.
type keyRequest struct {
	Key   string `json:"key"`
	Owner string `json:"owner"`
}

// Claim durably records that owner is about to send the non-idempotent request
// with the key; call it before the request is sent. If the key was claimed before,
// fresh is false and firstOwner is the owner that claimed it.
func (r *Responder) Claim(ctx context.Context, key, owner string) (fresh bool, firstOwner string, err error) {
	request := keyRequest{Key: key, Owner: owner}
	claim, err := forward(ctx, r, key, messenger.ClaimKey, request, func(ctx context.Context) (*reducer.KeyClaim, error) {
		return r.claimLocal(ctx, request)
	})
	if err != nil {
		return false, "", err
	}
	return claim.First, claim.Owner, nil
}

// claimLocal claims the key in its home shard, which this daemon must own.
func (r *Responder) claimLocal(ctx context.Context, request keyRequest) (*reducer.KeyClaim, error) {
	configuration := r.options.Configuration.Current()
	if len(configuration.Shards) == 0 {
		return nil, unavailable("not-ready", "no configuration with shards is known yet")
	}
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.KeyClaimRequested{
			Request: id, Shard: reducer.HomeShard(&configuration, request.Key), Key: request.Key, Owner: request.Owner,
		}
	})
	return reply.Key, err
}

func (r *Responder) handleClaimKey(ctx context.Context, params json.RawMessage) (any, error) {
	var request keyRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, bodyError(err)
	}
	return r.claimLocal(ctx, request)
}
