package faker

import (
	"context"
	"encoding/json"
	"sync"

	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Network joins nodes by address, in memory.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Node
	cut   map[[2]string]bool
}

// NewNetwork returns a network without nodes.
func NewNetwork() *Network {
	return &Network{nodes: map[string]*Node{}, cut: map[[2]string]bool{}}
}

// AddNode returns the node at an address, a new one in place of an older.
func (n *Network) AddNode(address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := &Node{Address: address, network: n, handlers: map[string]messenger.Handler{}}
	n.nodes[address] = node
	return node
}

// RemoveNode ends the node at an address; calls to it fail at once with NotRun.
func (n *Network) RemoveNode(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetPartitioned separates two addresses or joins them again. Calls between separated
// addresses end with their context.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

func (n *Network) find(from, to string) (node *Node, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[to], n.cut[[2]string{from, to}]
}

// Node calls and serves like a messenger.Node.
type Node struct {
	Address string
	network *Network

	mu       sync.Mutex
	handlers map[string]messenger.Handler
	sent     int64
}

// Handle registers a handler.
func (n *Node) Handle(method string, h messenger.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// SentBytes returns the bytes of params and answers sent.
func (n *Node) SentBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

func (n *Node) count(b []byte) {
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
	n.count(body)
	peer, cut := n.network.find(n.Address, address)
	if cut {
		<-ctx.Done()
		return &classifier.Error{Code: "timeout", Message: "cut", Err: ctx.Err()}
	}
	if peer == nil {
		return &classifier.Error{Verdict: classifier.NotRun, Code: "unreachable", Message: "no node"}
	}
	return peer.answer(ctx, method, body, result)
}

func (n *Node) answer(ctx context.Context, method string, body []byte, result any) error {
	n.mu.Lock()
	h := n.handlers[method]
	n.mu.Unlock()
	if h == nil {
		return &classifier.Error{Verdict: classifier.NotRun, Code: "unknown", Message: "no method"}
	}
	out, err := h(ctx, body)
	if err != nil {
		return err
	}
	b, err := json.Marshal(out)
	if err != nil {
		return err
	}
	n.count(b)
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
