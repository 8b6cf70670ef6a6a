// Package messenger carries calls between entry hosts as JSON-RPC 2.0 over
// TCP, and counts their bytes on the wire.
//
// # Model
//
// A [Node] serves its own methods and calls those of others. It keeps one
// connection to each address that it calls and dials again when that
// connection has ended or gone silent. Every failure has a verdict: NotRun
// when no byte of the call was handed to a connection or when the peer refused
// it, MayHaveRun when the answer was lost.
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

// Defaults of Options.
const (
	DefaultTimeout = 5 * time.Second
	DefaultIdle    = 15 * time.Minute
	DefaultLimit   = 4 << 20 // bytes
	DefaultPending = 256
)

// Options configure a Node. Zero values take the defaults.
type Options struct {
	Listen   string       // ip:port; unused with Listener
	Listener net.Listener // owned by the node from New on
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Timeout  time.Duration // of a call whose context has no deadline, and of a write
	Idle     time.Duration // a connection with nothing received for so long is closed
	Limit    int64         // largest message, bytes
	Pending  int           // calls served at once for each connection; more are refused
	Log      zerolog.Logger
}

// Node serves and calls methods. It is safe for concurrent use.
type Node struct {
	Address string        // listening on, ip:port
	Done    chan struct{} // closed when all connections and handlers have ended

	options  Options
	log      zerolog.Logger
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	meter    *meter
	tasks    sync.WaitGroup

	mu       sync.Mutex
	handlers map[string]Handler
	links    map[string]*link   // by address called
	served   map[*link]struct{} // accepted
	closed   bool
}

// New listens and starts to serve. A call to a method without handler is
// refused with NotRun, so handlers may be added later.
func New(o Options) (*Node, error) {
	o.fill()
	l, err := listen(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Address:  l.Addr().String(),
		Done:     make(chan struct{}),
		options:  o,
		log:      o.Log.With().Str("part", "messenger").Logger(),
		listener: l,
		ctx:      ctx,
		cancel:   cancel,
		meter:    newMeter(),
		handlers: map[string]Handler{},
		links:    map[string]*link{},
		served:   map[*link]struct{}{},
	}
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		n.accept()
	}()
	go func() {
		<-ctx.Done()
		n.tasks.Wait()
		close(n.Done)
	}()
	return n, nil
}

// Handle registers the handler of a method, replacing an earlier one.
func (n *Node) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// Sent returns the bytes written so far for each method, answers included.
// Transport headers are not counted.
func (n *Node) Sent() map[string]int64 { return n.meter.read(sent) }

// Received returns the bytes read so far for each method, answers included.
func (n *Node) Received() map[string]int64 { return n.meter.read(received) }

// Close ends all connections. Calls under way fail; Done closes when their
// handlers have returned.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	links := make([]*link, 0, len(n.links)+len(n.served))
	for _, l := range n.links {
		links = append(links, l)
	}
	for l := range n.served {
		links = append(links, l)
	}
	n.mu.Unlock()
	err := n.listener.Close()
	n.cancel()
	for _, l := range links {
		l.close()
	}
	return err
}

func (o *Options) fill() {
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
		// control budget; deadlines of calls find dead connections instead.
		d := &net.Dialer{KeepAlive: -1}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
}

func listen(o Options) (net.Listener, error) {
	if o.Listener != nil {
		return o.Listener, nil
	}
	c := net.ListenConfig{KeepAlive: -1}
	return c.Listen(context.Background(), "tcp", o.Listen)
}
