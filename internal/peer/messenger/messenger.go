// Package messenger carries calls between entry hosts as JSON-RPC 2.0 over
// TCP, and counts their bytes on the wire.
package messenger

import (
	"context"
	"encoding/json"
)

// Caller sends a call to a peer. Failures are *classifier.Error values: NotRun
// when the connection could not be made or the peer refused the call.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Handler answers one method. A *classifier.Error keeps its verdict across
// the wire.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Methods between peers. Each part registers its own handler; the wire types
// stand beside it.
const (
	Ping      = "ping"      // gossiper: heartbeat and membership
	Configure = "configure" // distributor: configuration push and pull
	Submit    = "submit"    // job to the owner of its shard
	Inquire   = "inquire"
	Cancel    = "cancel"
	ClaimKey  = "claim" // idempotency key to the owner of its shard
	Lend      = "lend"  // slots of workers, from the owner of their shard
	Steps     = "steps" // plan steps on a shard
	Report    = "report"
)
