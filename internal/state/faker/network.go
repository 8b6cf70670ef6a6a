package faker

import (
	"context"
	"encoding/json"
	"sync"

	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Network connects nodes by address, in memory. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	nodes       map[string]*Node
	partitioned map[[2]string]bool // keys are the addresses of caller and receiver
}

// NewNetwork returns a network without nodes.
func NewNetwork() *Network {
	return &Network{nodes: map[string]*Node{}, partitioned: map[[2]string]bool{}}
}

// AddNode adds a node at an address and returns it. It replaces a node that was
// added there before.
func (n *Network) AddNode(address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := &Node{Address: address, network: n, handlers: map[string]messenger.Handler{}}
	n.nodes[address] = node
	return node
}

// RemoveNode removes the node at an address. Calls to the address then fail at
// once, with verdict NotRun.
func (n *Network) RemoveNode(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetPartitioned separates two addresses or connects them again. Calls between
// separated addresses fail when their contexts end.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = partitioned
	n.partitioned[[2]string{b, a}] = partitioned
}

// find returns the node at the address to, and whether the two addresses are
// partitioned.
func (n *Network) find(from, to string) (node *Node, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[to], n.partitioned[[2]string{from, to}]
}

// Node is an in-memory substitute for a messenger.Node.
type Node struct {
	Address string
	network *Network

	mu       sync.Mutex
	handlers map[string]messenger.Handler
	sent     int64 // number of bytes sent
}

// Handle registers the handler of a method.
func (n *Node) Handle(method string, h messenger.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// SentBytes returns the number of bytes that the node has sent as parameters and
// results.
func (n *Node) SentBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// countSent adds the bytes to those sent.
func (n *Node) countSent(b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent += int64(len(b))
}

// Call implements messenger.Caller.
func (n *Node) Call(ctx context.Context, address, method string, params, result any) error {
	body, err := json.Marshal(params)
	if err != nil {
		return err
	}
	n.countSent(body)
	peer, partitioned := n.network.find(n.Address, address)
	if partitioned {
		<-ctx.Done()
		return &classifier.Error{Code: "timeout", Message: "network is partitioned", Err: ctx.Err()}
	}
	if peer == nil {
		return &classifier.Error{Verdict: classifier.NotRun, Code: "unreachable", Message: "no node at address"}
	}
	return peer.serve(ctx, method, body, result)
}

// serve calls the handler of a method and decodes its result into result.
func (n *Node) serve(ctx context.Context, method string, body []byte, result any) error {
	n.mu.Lock()
	h := n.handlers[method]
	n.mu.Unlock()
	if h == nil {
		return &classifier.Error{Verdict: classifier.NotRun, Code: "unknown", Message: "no handler for method"}
	}
	out, err := h(ctx, body)
	if err != nil {
		return err
	}
	b, err := json.Marshal(out)
	if err != nil {
		return err
	}
	n.countSent(b)
	if result == nil {
		return nil
	}
	return json.Unmarshal(b, result)
}

// NodeAt returns the node at an address, or nil.
func (n *Network) NodeAt(address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}
