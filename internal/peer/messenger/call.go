package messenger

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Call implements Caller. A context without deadline gets Options.Timeout. It
// dials again, once, when the kept connection turns out to be closed before
// anything was written.
func (n *Node) Call(ctx context.Context, address, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.options.Timeout)
		defer cancel()
	}
	body, err := json.Marshal(params)
	if err != nil {
		return failed(classifier.NotRun, "params", err)
	}
	if int64(len(body)) > n.options.Limit {
		return refusal("large", "message exceeds the limit")
	}
	err = n.attempt(ctx, address, method, body, result)
	if errors.Is(err, errNotBegun) {
		err = n.attempt(ctx, address, method, body, result)
	}
	if errors.Is(err, errNotBegun) {
		return failed(classifier.NotRun, "unreachable", err)
	}
	return err
}

// errNotBegun says that nothing of the call was written.
var errNotBegun = errors.New("messenger: connection closed before the call")

func (n *Node) attempt(ctx context.Context, address, method string, body json.RawMessage, result any) error {
	l, err := n.link(ctx, address)
	if err != nil {
		return failed(classifier.NotRun, "unreachable", err)
	}
	before := l.read.Load()
	begun, err := l.exchange(ctx, method, body, result)
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return decodeError(refused)
	case !begun:
		n.drop(address, l)
		return errNotBegun
	case ctx.Err() != nil:
		if l.read.Load() == before {
			// Nothing came back at all: the path may have lost the connection.
			n.drop(address, l)
		}
		return failed(classifier.MayHaveRun, "timeout", ctx.Err())
	}
	return failed(classifier.MayHaveRun, "lost", err)
}

// exchange sends one request and waits for its answer or the context. It
// writes on a goroutine of its own, since a write to a silent connection
// blocks once its buffer is full.
func (l *link) exchange(ctx context.Context, method string, body json.RawMessage, result any) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	if l.isClosed() {
		return false, jsonrpc2.ErrClosed
	}
	type dispatched struct {
		waiter jsonrpc2.Waiter
		err    error
	}
	out := make(chan dispatched, 1)
	go func() {
		w, err := l.rpc.DispatchCall(ctx, method, body)
		out <- dispatched{w, err}
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

func failed(v classifier.Verdict, code string, err error) *classifier.Error {
	return &classifier.Error{Verdict: v, Code: code, Message: "call to peer failed", Err: err}
}
