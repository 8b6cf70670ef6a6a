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

// acceptRetryDelay is the time between attempts to accept while they fail, for
// example because the process has no file descriptors left.
const acceptRetryDelay = 50 * time.Millisecond

// acceptConnections serves incoming connections until the listener is closed.
func (n *Node) acceptConnections() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			n.log.Warn().Err(err).Msg("connection accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.serveConnection(conn)
	}
}

// serveConnection starts to serve an incoming connection, and tracks it until it
// ends. It does not block.
func (n *Node) serveConnection(conn net.Conn) {
	c := n.newConnection(conn)
	n.mu.Lock()
	closed := n.closed
	if !closed {
		n.incoming[c] = struct{}{}
		n.tasks.Add(1)
	}
	n.mu.Unlock()
	if closed {
		c.close()
		return
	}
	go func() {
		defer n.tasks.Done()
		<-c.rpc.DisconnectNotify()
		n.mu.Lock()
		delete(n.incoming, c)
		n.mu.Unlock()
	}()
}

// dispatcher passes the requests of one connection to the handlers of the node.
type dispatcher struct {
	node  *Node
	slots chan struct{} // semaphore of Options.Pending calls
}

// Handle implements jsonrpc2.Handler. It must not block, as it runs on the goroutine
// that reads from the connection. It refuses a call when all slots are taken, and
// does not answer once the node is closed.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case d.slots <- struct{}{}:
	default:
		go d.reply(ctx, conn, r, nil, refusalError("overloaded", "too many calls on this connection"))
		return
	}
	if !d.node.startTask() {
		<-d.slots
		return
	}
	go func() {
		defer d.node.tasks.Done()
		defer func() { <-d.slots }()
		result, err := d.callHandler(ctx, r)
		d.reply(ctx, conn, r, result, err)
	}()
}

// callHandler calls the handler of the requested method. A panic of the handler
// becomes an error with the verdict MayHaveRun.
func (d *dispatcher) callHandler(ctx context.Context, r *jsonrpc2.Request) (result any, err error) {
	d.node.mu.Lock()
	h := d.node.handlers[r.Method]
	d.node.mu.Unlock()
	if h == nil {
		return nil, refusalError("unknown", fmt.Sprintf("no method %q", r.Method))
	}
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	defer func() {
		if p := recover(); p != nil {
			d.node.log.Error().Str("method", r.Method).Interface("panic", p).Msg("handler panicked")
			err = &classifier.Error{Verdict: classifier.MayHaveRun, Code: "internal", Message: "handler failed"}
		}
	}()
	return h(ctx, params)
}

// reply sends the result, or err if it is not nil. If the result cannot be sent, for
// example because it cannot be encoded, it sends that error instead.
func (d *dispatcher) reply(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, result any, err error) {
	if r.Notif {
		return
	}
	if err == nil {
		err = conn.Reply(ctx, r.ID, result)
		if err == nil || errors.Is(err, jsonrpc2.ErrClosed) {
			return
		}
	}
	if e := conn.ReplyWithError(ctx, r.ID, encodeError(err)); e != nil {
		d.node.log.Debug().Err(e).Str("method", r.Method).Msg("reply not sent")
	}
}

// startTask adds a task that Done waits for, and reports whether it may start. It
// may not once the node is closed.
func (n *Node) startTask() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.tasks.Add(1)
	return true
}

// refusalError returns an error that promises that the call was not executed.
func refusalError(code, message string) *classifier.Error {
	return &classifier.Error{Verdict: classifier.NotRun, Code: code, Message: message}
}
