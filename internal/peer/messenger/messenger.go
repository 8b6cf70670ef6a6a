// Package messenger implements calls between entry hosts (hosts that run a daemon)
// as JSON-RPC 2.0 over TCP, and counts the bytes that they take on the wire.
//
// # Model
//
// A [Node] serves its own methods and calls those of other nodes. It keeps one
// connection open to each address that it calls. It dials again when that
// connection has ended, or when a call over it timed out and nothing was received.
// Every failure has a verdict: NotRun when no byte of the call was written or the
// peer refused it, MayHaveRun when the answer was lost.
//
//	node, err := messenger.New(messenger.Options{Listen: "127.0.0.1:0"})
//	node.Handle("ping", func(ctx context.Context, params json.RawMessage) (any, error) {
//		return "pong", nil
//	})
//	err = node.Call(ctx, "127.0.0.1:7000", "ping", nil, &answer)
package messenger

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Caller sends a call to the peer at address (ip:port) and decodes its answer into
// result, unless that is nil. Errors are *classifier.Error values. Their verdict is
// NotRun if no connection could be made or the peer refused the call.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Handler serves one method. It may be called concurrently. A *classifier.Error that
// it returns reaches the caller with its verdict, status, code, message, field and
// retry time; any other error gets the verdict MayHaveRun.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Names of the methods between peers. The package that serves a method registers its
// handler and declares its request and answer types.
const (
	Ping      = "ping"      // heartbeat with membership updates, served by gossiper
	Configure = "configure" // push or pull of a configuration, served by distributor
	Submit    = "submit"    // submits a job to the owner of its shard
	Inquire   = "inquire"   // asks the owner of a job's shard for its status
	Cancel    = "cancel"    // cancels a job through the owner of its shard
	ClaimKey  = "claim"     // claims an idempotency key with the owner of its shard
	Lend      = "lend"      // borrows slots of workers from the owner of their shard, served by lender
	Steps     = "steps"     // asks a daemon for its part of the plan of an operator's action
	Report    = "report"    // asks a daemon for the status of its shards
)

// Default values of Options.
const (
	DefaultTimeout = 5 * time.Second
	DefaultIdle    = 15 * time.Minute
	DefaultLimit   = 4 << 20 // bytes
	DefaultPending = 256     // calls
)

// Options configure a Node. Zero values take the defaults.
type Options struct {
	Listen   string       // ip:port to listen on; unused if Listener is set
	Listener net.Listener // used instead of Listen; the node closes it

	// Dial connects to a peer. The default dials TCP without keepalive probes.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	Timeout time.Duration // timeout of a write, and of a call whose context has no deadline
	Idle    time.Duration // idle timeout: closes a connection on which nothing was received for this time
	Limit   int64         // maximum size of a message, in bytes
	Pending int           // maximum number of calls served concurrently per connection; more are refused
	Log     zerolog.Logger
}

// Node serves methods and calls those of other nodes. It is safe for concurrent use.
// Close must be called to release its listener and connections.
type Node struct {
	Address string        // ip:port that the node listens on
	Done    chan struct{} // closed when all connections and handlers have ended

	options  Options
	log      zerolog.Logger
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	counter  *byteCounter
	tasks    sync.WaitGroup

	mu       sync.Mutex
	handlers map[string]Handler       // handlers by method
	outgoing map[string]*connection   // connections that this node dialed, by address
	incoming map[*connection]struct{} // connections accepted by the listener
	closed   bool
}

// New listens on the address or listener of o and starts to serve. A call to a method
// without a handler is refused with the verdict NotRun, so handlers may be added
// later.
func New(o Options) (*Node, error) {
	o.setDefaults()
	listener, err := listen(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Address:  listener.Addr().String(),
		Done:     make(chan struct{}),
		options:  o,
		log:      o.Log.With().Str("part", "messenger").Logger(),
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		counter:  newByteCounter(),
		handlers: map[string]Handler{},
		outgoing: map[string]*connection{},
		incoming: map[*connection]struct{}{},
	}
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		n.acceptConnections()
	}()
	go func() {
		<-ctx.Done()
		n.tasks.Wait()
		close(n.Done)
	}()
	return n, nil
}

// Handle registers the handler of a method. It replaces an earlier one.
func (n *Node) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// Sent returns the number of bytes written so far by method, including answers to
// calls of the method but no transport headers.
func (n *Node) Sent() map[string]int64 { return n.counter.snapshot(sent) }

// Received returns the number of bytes read so far by method, including answers.
func (n *Node) Received() map[string]int64 { return n.counter.snapshot(received) }

// Close closes the listener and all connections. Calls in progress fail. Done is
// closed when their handlers have returned. Later calls of Close do nothing.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	connections := make([]*connection, 0, len(n.outgoing)+len(n.incoming))
	for _, c := range n.outgoing {
		connections = append(connections, c)
	}
	for c := range n.incoming {
		connections = append(connections, c)
	}
	n.mu.Unlock()
	err := n.listener.Close()
	n.cancel()
	for _, c := range connections {
		c.close()
	}
	return err
}

// setDefaults replaces zero values by the defaults.
func (o *Options) setDefaults() {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Idle <= 0 {
		o.Idle = DefaultIdle
	}
	if o.Limit <= 0 {
		o.Limit = DefaultLimit
	}
	if o.Pending <= 0 {
		o.Pending = DefaultPending
	}
	if o.Dial == nil {
		// Keepalive probes on several hundred idle connections would use up the
		// budget of control traffic. Call deadlines detect dead connections instead.
		d := &net.Dialer{KeepAlive: -1}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
}

// listen returns o.Listener, or a listener on o.Listen.
func listen(o Options) (net.Listener, error) {
	if o.Listener != nil {
		return o.Listener, nil
	}
	c := net.ListenConfig{KeepAlive: -1}
	return c.Listen(context.Background(), "tcp", o.Listen)
}
