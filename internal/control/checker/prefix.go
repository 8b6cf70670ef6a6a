package checker

import (
	"strings"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// A job id follows a queue's prefix in a path. It consists of idLength characters of
// idDigits.
const (
	idLength = 16
	idDigits = "0123456789abcdefABCDEF"
)

// prefixNode is a node of a trie of the path prefixes of one host name.
type prefixNode struct {
	queue    int // index of the first queue with this prefix, -1 for none
	children map[byte]*prefixNode
}

// prefixTries holds the tries of all host names.
type prefixTries struct {
	roots map[string]*prefixNode // by host name
	steps int                    // visits of nodes, by which tests measure the work
}

func newPrefixTries() *prefixTries { return &prefixTries{roots: make(map[string]*prefixNode)} }

// check reports queues that requests don't reach, because the first queue with the same
// prefix, or queues with longer prefixes, take them.
func (t *prefixTries) check(f *findings, queues []specifier.Queue) {
	for i := range queues {
		q := &queues[i]
		if q.Hostname == "" || !strings.HasPrefix(q.Prefix, "/") {
			continue // reported as an invalid value
		}
		end := t.insert(q.Hostname, q.Prefix)
		if end.queue >= 0 {
			f.addError(queuePath("prefix")(i), "no request reaches the queue: queue %q has the same host name and prefix",
				queues[end.queue].Name)
			continue
		}
		end.queue = i
	}
	for i := range queues {
		q := &queues[i]
		end, shorter, rest := t.find(q.Hostname, q.Prefix)
		if end == nil || end.queue != i {
			continue
		}
		if t.isShadowed(end) {
			f.addError(queuePath("prefix")(i), "no job reaches the queue: queues with longer prefixes take all job ids")
		}
		if shorter >= 0 && len(rest) <= idLength && strings.Trim(rest, idDigits) == "" {
			f.addWarning(queuePath("prefix")(i), "takes the jobs of queue %q whose ids begin with %s", queues[shorter].Name, rest)
		}
	}
}

// insert returns the node of a prefix and adds it if it is missing.
func (t *prefixTries) insert(hostname, prefix string) *prefixNode {
	node := t.roots[hostname]
	if node == nil {
		node = &prefixNode{queue: -1}
		t.roots[hostname] = node
	}
	for i := range len(prefix) {
		t.steps++
		next := node.children[prefix[i]]
		if next == nil {
			next = &prefixNode{queue: -1}
			if node.children == nil {
				node.children = make(map[byte]*prefixNode, 1)
			}
			node.children[prefix[i]] = next
		}
		node = next
	}
	return node
}

// find returns the node of a prefix, the queue with the longest shorter prefix or -1, and
// the rest of the prefix after that of this queue.
func (t *prefixTries) find(hostname, prefix string) (node *prefixNode, shorter int, rest string) {
	node, shorter = t.roots[hostname], -1
	for i := 0; i < len(prefix) && node != nil; i++ {
		t.steps++
		if node.queue >= 0 {
			shorter, rest = node.queue, prefix[i:]
		}
		node = node.children[prefix[i]]
	}
	return node, shorter, rest
}

// isShadowed reports whether longer prefixes take every job id that follows the node's
// prefix.
func (t *prefixTries) isShadowed(node *prefixNode) bool {
	t.steps++
	if len(node.children) < len(idDigits) {
		return false
	}
	for i := range len(idDigits) {
		next := node.children[idDigits[i]]
		if next == nil || next.queue < 0 && !t.isShadowed(next) {
			return false
		}
	}
	return true
}
