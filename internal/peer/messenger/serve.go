package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// acceptPause keeps a failing listener, such as one without file descriptors,
// from spinning.
const acceptPause = 50 * time.Millisecond

func (n *Node) accept() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			n.log.Warn().Err(err).Msg("Accepting failed.")
			time.Sleep(acceptPause)
			continue
		}
		n.serve(c)
	}
}

func (n *Node) serve(c net.Conn) {
	l := n.newLink(c)
	n.mu.Lock()
	closed := n.closed
	if !closed {
		n.served[l] = struct{}{}
		n.tasks.Add(1)
	}
	n.mu.Unlock()
	if closed {
		l.close()
		return
	}
	go func() {
		defer n.tasks.Done()
		<-l.rpc.DisconnectNotify()
		n.mu.Lock()
		delete(n.served, l)
		n.mu.Unlock()
	}()
}

// dispatcher hands the requests of one connection to handlers.
type dispatcher struct {
	node *Node
	busy chan struct{}
}

// Handle implements jsonrpc2.Handler. It must not block, as it runs on the
// reading goroutine of the connection.
func (d *dispatcher) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case d.busy <- struct{}{}:
	default:
		go d.answer(ctx, c, r, nil, refusal("overloaded", "too many calls on this connection"))
		return
	}
	if !d.node.begin() {
		<-d.busy
		return
	}
	go func() {
		defer d.node.tasks.Done()
		defer func() { <-d.busy }()
		result, err := d.run(ctx, r)
		d.answer(ctx, c, r, result, err)
	}()
}

func (d *dispatcher) run(ctx context.Context, r *jsonrpc2.Request) (result any, err error) {
	d.node.mu.Lock()
	h := d.node.handlers[r.Method]
	d.node.mu.Unlock()
	if h == nil {
		return nil, refusal("unknown", fmt.Sprintf("no method %q", r.Method))
	}
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	defer func() {
		if p := recover(); p != nil {
			d.node.log.Error().Str("method", r.Method).Interface("panic", p).Msg("Handler panicked.")
			err = &classifier.Error{Verdict: classifier.MayHaveRun, Code: "internal", Message: "handler failed"}
		}
	}()
	return h(ctx, params)
}

func (d *dispatcher) answer(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, result any, err error) {
	if r.Notif {
		return
	}
	if err == nil {
		err = c.Reply(ctx, r.ID, result)
		if err == nil || errors.Is(err, jsonrpc2.ErrClosed) {
			return
		}
	}
	if e := c.ReplyWithError(ctx, r.ID, encodeError(err)); e != nil {
		d.node.log.Debug().Err(e).Str("method", r.Method).Msg("Answer not sent.")
	}
}

// begin counts a task unless the node is closed.
func (n *Node) begin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.tasks.Add(1)
	return true
}

func refusal(code, message string) *classifier.Error {
	return &classifier.Error{Verdict: classifier.NotRun, Code: code, Message: message}
}
