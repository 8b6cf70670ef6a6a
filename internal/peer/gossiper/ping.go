package gossiper

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// heartbeat is both request and answer of the method messenger.Ping.
type heartbeat struct {
	Name        string   `json:"name"` // of the sender
	Incarnation int64    `json:"incarnation"`
	Revision    int64    `json:"revision,omitempty"`
	Sum         uint64   `json:"sum"`
	Unknown     bool     `json:"unknown,omitempty"` // answer: the receiver does not know the sender as it is
	Target      string   `json:"target,omitempty"`  // request: ping this address on behalf of the sender
	Members     []member `json:"members,omitempty"`
}

// overhead estimates the transport's share of one message: its segment, and
// half an acknowledgement, with IPv4 and TCP headers and time stamps.
const overhead = 52 + 26

// envelope is the JSON-RPC text around a heartbeat, bytes.
const envelope = 60

// serve answers a ping.
func (g *Gossiper) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var h heartbeat
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, &classifier.Error{Verdict: classifier.NotRun, Code: "malformed", Message: "heartbeat cannot be read", Err: err}
	}
	g.take(h)
	if h.Target != "" {
		if err := g.ping(ctx, h.Target, ""); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.compose(h.Name, h.Sum)
	out.Unknown = !g.knows(h)
	return out, nil
}

// knows reports whether the sender is known as it is; g.mu is held.
func (g *Gossiper) knows(h heartbeat) bool {
	e := g.members[h.Name]
	return e != nil && e.Incarnation >= h.Incarnation
}

// take learns from a heartbeat.
func (g *Gossiper) take(h heartbeat) {
	g.mu.Lock()
	for _, m := range h.Members {
		g.learn(m)
	}
	address, news := "", false
	if e := g.members[h.Name]; e != nil {
		address, news = e.Address, h.Revision > e.Revision
		if news {
			e.Revision = h.Revision
		}
		news = news || h.Revision > g.self.Revision
	}
	g.mu.Unlock()
	if news {
		g.options.Seen(address, h.Revision)
	}
}

// compose makes a heartbeat for the host with the given name, with as much
// news as the budget allows; g.mu is held.
func (g *Gossiper) compose(to string, sum uint64) heartbeat {
	out := heartbeat{
		Name:        g.self.Name,
		Incarnation: g.self.Incarnation,
		Revision:    g.self.Revision,
		Sum:         g.sum(),
	}
	size := encodedSize(out) + envelope + overhead
	now := time.Now()
	allowed := int(g.limit.TokensAt(now)) - size
	for _, m := range g.news(to, sum != 0 && sum != out.Sum) {
		n := encodedSize(*m) + 1
		if n > allowed {
			break
		}
		allowed -= n
		size += n
		m.spread--
		out.Members = append(out.Members, *m)
	}
	g.spend(now, size)
	return out
}

// spend books bytes; the bare heartbeat of an answer is sent in any case.
func (g *Gossiper) spend(now time.Time, size int) {
	g.sent += int64(size)
	g.limit.ReserveN(now, min(size, g.limit.Burst()))
}

// news returns what to send, most urgent first: what the receiver is wrong
// about itself, what is new, and, when the views differ, the rest in random
// order.
func (g *Gossiper) news(to string, differs bool) []*member {
	var first, fresh, rest []*member
	if g.self.spread > 0 {
		fresh = append(fresh, &g.self)
	} else if differs {
		rest = append(rest, &g.self)
	}
	for _, name := range g.names() {
		e := g.members[name]
		switch {
		case name == to && e.State != alive:
			first = append(first, &e.member)
		case e.spread > 0:
			fresh = append(fresh, &e.member)
		case differs && e.State != dead:
			rest = append(rest, &e.member)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *member) int { return b.spread - a.spread })
	g.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return slices.Concat(first, fresh, rest)
}

// names returns the members' names sorted, so that a seed gives one order.
func (g *Gossiper) names() []string {
	out := make([]string, 0, len(g.members))
	for name := range g.members {
		out = append(out, name)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

// ping calls the host at address, or has it ping target.
func (g *Gossiper) ping(ctx context.Context, address, target string) error {
	g.mu.Lock()
	h := g.compose(g.nameOf(address), 0)
	g.mu.Unlock()
	h.Target = target
	ctx, cancel := context.WithTimeout(ctx, g.timeout(target))
	defer cancel()
	var answer heartbeat
	if err := g.node.Call(ctx, address, messenger.Ping, h, &answer); err != nil {
		return err
	}
	g.take(answer)
	g.mu.Lock()
	defer g.mu.Unlock()
	if answer.Unknown {
		g.self.spread = max(g.self.spread, 1)
	}
	return nil
}

func (g *Gossiper) nameOf(address string) string {
	for name, e := range g.members {
		if e.Address == address {
			return name
		}
	}
	return ""
}

// timeout of a ping; one through another host takes two.
func (g *Gossiper) timeout(target string) time.Duration {
	if target == "" {
		return g.options.Interval / 2
	}
	return g.options.Interval
}

func encodedSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}
