package gossiper

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// heartbeat is both request and answer of the method messenger.Ping.
type heartbeat struct {
	Name        string   `json:"name"` // of the sender
	Incarnation int64    `json:"incarnation"`
	Revision    int64    `json:"revision,omitempty"`
	Sum         uint64   `json:"sum"`
	Parts       []uint32 `json:"parts,omitempty"`   // request: digests of the parts of the sender's view
	Unknown     bool     `json:"unknown,omitempty"` // answer: the receiver does not know the sender as it is
	Target      string   `json:"target,omitempty"`  // request: ping this address on behalf of the sender
	Members     []member `json:"members,omitempty"`
}

// partSize is the number of members aimed at in a part of the view. Views that
// differ are compared part by part, so that few members have to be sent to
// find a single difference.
const partSize = 8

// partOf returns the part that a member belongs to.
func partOf(m member, parts int) int { return int(xxhash.Sum64String(m.Name) % uint64(parts)) }

// digests returns the digests of the parts of the view; g.mu is held.
func (g *Gossiper) digests(parts int) []uint32 {
	out := make([]uint32, parts)
	add := func(m member) { out[partOf(m, parts)] += uint32(m.digest()) }
	add(g.self)
	for _, e := range g.members {
		add(e.member)
	}
	return out
}

// differing returns a test for members of the parts in which the sender's view
// differs; g.mu is held.
func (g *Gossiper) differing(parts []uint32) func(member) bool {
	if len(parts) == 0 {
		return func(member) bool { return false }
	}
	own := g.digests(len(parts))
	return func(m member) bool {
		p := partOf(m, len(parts))
		return own[p] != parts[p]
	}
}

// overhead estimates the transport's share of one message: its segment, and
// half an acknowledgement, with IPv4 and TCP headers and time stamps.
const overhead = 52 + 26

// introductions is the least number of items in an answer to a host that knows
// few others. When many hosts join by one seed, its budget is used up at once; a few names let each of them
// go on elsewhere.
const introductions = 3

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
	least := 0
	if len(h.Parts) == 1 {
		least = introductions
	}
	out := g.compose(h.Name, g.differing(h.Parts), least)
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
// news as the budget allows, and at least so many items; g.mu is held.
func (g *Gossiper) compose(to string, differs func(member) bool, least int) heartbeat {
	out := heartbeat{
		Name:        g.self.Name,
		Incarnation: g.self.Incarnation,
		Revision:    g.self.Revision,
		Sum:         g.sum(),
	}
	size := encodedSize(out) + envelope + overhead
	now := time.Now()
	allowed := int(g.limit.TokensAt(now)) - size
	for _, m := range g.news(to, differs) {
		n := encodedSize(*m) + 1
		if n > allowed && len(out.Members) >= least {
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

// spend books bytes; an answer's least is sent in any case, and later pings
// make up for it.
func (g *Gossiper) spend(now time.Time, size int) {
	g.sent += int64(size)
	g.limit.ReserveN(now, min(size, g.limit.Burst()))
}

// news returns what to send, most urgent first: what the receiver is wrong
// about itself, what is new, and the members for which differs holds, in random
// order.
func (g *Gossiper) news(to string, differs func(member) bool) []*member {
	var first, fresh, rest []*member
	if g.self.spread > 0 {
		fresh = append(fresh, &g.self)
	} else if differs(g.self) {
		rest = append(rest, &g.self)
	}
	for _, name := range g.names() {
		e := g.members[name]
		switch {
		case name == to && e.State != alive:
			first = append(first, &e.member)
		case e.spread > 0:
			fresh = append(fresh, &e.member)
		case e.State != dead && differs(e.member):
			rest = append(rest, &e.member)
		}
	}
	// Shuffled first, or all hosts would pass on the same names first.
	g.random.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	slices.SortStableFunc(fresh, func(a, b *member) int { return b.spread - a.spread })
	g.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return slices.Concat(first, fresh, rest)
}

// names returns the members' names sorted, so that a seed gives one order; the
// list is valid while g.mu is held.
func (g *Gossiper) names() []string { return g.sorted }

// ping calls the host at address, or has it ping target.
func (g *Gossiper) ping(ctx context.Context, address, target string) error {
	g.mu.Lock()
	h := g.compose(g.nameOf(address), g.differing(nil), 0)
	if g.differs {
		h.Parts = g.digests(len(g.members)/partSize + 1)
		g.spend(time.Now(), encodedSize(h.Parts))
	}
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
	g.differs = answer.Sum != g.sum()
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
