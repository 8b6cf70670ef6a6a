package messenger

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Call implements Caller. If ctx has no deadline, the call ends after
// Options.Timeout. If the open connection turns out to be closed before anything was
// written, Call dials once more.
func (n *Node) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.options.Timeout)
		defer cancel()
	}
	body, err := json.Marshal(params)
	if err != nil {
		return callError(classifier.NotRun, "params", err)
	}
	if int64(len(body)) > n.options.Limit {
		return refusalError("large", "message exceeds the limit")
	}
	err = n.tryCall(ctx, address, method, body, result)
	if errors.Is(err, errNotWritten) {
		err = n.tryCall(ctx, address, method, body, result)
	}
	if errors.Is(err, errNotWritten) {
		return callError(classifier.NotRun, "unreachable", err)
	}
	return err
}

// errNotWritten is returned by tryCall if it wrote nothing of the call, so that a
// repetition is safe.
var errNotWritten = errors.New("messenger: connection closed before the call")

// tryCall makes one attempt of a call. It drops a connection that is closed, or on
// which nothing at all arrived before ctx ended.
func (n *Node) tryCall(ctx context.Context, address, method string, body json.RawMessage, result any) error {
	c, err := n.connect(ctx, address)
	if err != nil {
		return callError(classifier.NotRun, "unreachable", err)
	}
	before := c.received.Load()
	dispatched, err := c.exchange(ctx, method, body, result)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rpcErr):
		return decodeError(rpcErr)
	case !dispatched:
		n.dropConnection(address, c)
		return errNotWritten
	case ctx.Err() != nil:
		if c.received.Load() == before {
			// Nothing was received at all, so the connection may be dead without a
			// reset, as after the loss of a network path.
			n.dropConnection(address, c)
		}
		return callError(classifier.MayHaveRun, "timeout", ctx.Err())
	}
	return callError(classifier.MayHaveRun, "lost", err)
}

// exchange sends one request and waits for its answer or the end of ctx. It reports
// false if certainly nothing was written. It writes on a goroutine of its own, as a
// write to a peer that does not read blocks when the buffers are full.
func (c *connection) exchange(ctx context.Context, method string, body json.RawMessage, result any) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	if c.isClosed() {
		return false, jsonrpc2.ErrClosed
	}
	type dispatchResult struct {
		waiter jsonrpc2.Waiter
		err    error
	}
	out := make(chan dispatchResult, 1)
	go func() {
		w, err := c.rpc.DispatchCall(ctx, method, body)
		out <- dispatchResult{w, err}
	}()
	select {
	case d := <-out:
		if d.err != nil {
			return true, d.err
		}
		return true, d.waiter.Wait(ctx, result)
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

// callError returns the error of a call that failed without an answer from the peer.
func callError(v classifier.Verdict, code string, err error) *classifier.Error {
	return &classifier.Error{Verdict: v, Code: code, Message: "call to peer failed", Err: err}
}
