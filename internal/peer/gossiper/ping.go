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

// heartbeat is the request and the answer of the method messenger.Ping.
type heartbeat struct {
	Name          string   `json:"name"`               // name of the sender
	Incarnation   int64    `json:"incarnation"`        // incarnation of the sender
	Revision      int64    `json:"revision,omitempty"` // revision of the configuration in use on the sender
	ViewDigest    uint64   `json:"sum"`                // digest of the sender's view
	PartDigests   []uint32 `json:"parts,omitempty"`    // request: digests of the parts of the sender's view, sent when views differ
	SenderUnknown bool     `json:"unknown,omitempty"`  // answer: the receiver lacks the sender at this incarnation
	Target        string   `json:"target,omitempty"`   // request: address to ping for the sender
	Members       []member `json:"members,omitempty"`  // membership updates
}

// membersPerPart is the average number of members in a part of a view. Views that
// differ are compared part by part, so that few members have to be sent to resolve
// a single difference.
const membersPerPart = 8

// partIndex returns the part of a view that m belongs to, chosen by a hash of its
// name.
func partIndex(m member, parts int) int { return int(xxhash.Sum64String(m.Name) % uint64(parts)) }

// partDigests returns the digest of each part of the view. g.mu is held.
func (g *Gossiper) partDigests(parts int) []uint32 {
	out := make([]uint32, parts)
	add := func(m member) { out[partIndex(m, parts)] += uint32(m.digest()) }
	add(g.self)
	for _, e := range g.members {
		add(e.member)
	}
	return out
}

// inDifferingPart returns a predicate that holds for the members of those parts in
// which this view differs from the sender's, given by its part digests. g.mu is held.
func (g *Gossiper) inDifferingPart(parts []uint32) func(member) bool {
	if len(parts) == 0 {
		return func(member) bool { return false }
	}
	own := g.partDigests(len(parts))
	return func(m member) bool {
		p := partIndex(m, len(parts))
		return own[p] != parts[p]
	}
}

// transportOverhead is an estimate of the header bytes of one message: a segment
// with IPv4 and TCP headers and time stamps, and half an acknowledgement.
const transportOverhead = 52 + 26

// minJoinUpdates is the least number of updates in an answer to a host that knows
// few others, even if the budget is used up. When many hosts join through one seed,
// the seed's budget is used up at once, and a few members let each of them continue
// with other hosts.
const minJoinUpdates = 3

// envelopeSize is the size of the JSON-RPC text around a heartbeat, in bytes.
const envelopeSize = 60

// handlePing handles a ping from another host: it applies the updates, pings Target
// if set, and answers with updates of its own. It fails if Target did not answer.
func (g *Gossiper) handlePing(ctx context.Context, params json.RawMessage) (any, error) {
	var h heartbeat
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, &classifier.Error{Verdict: classifier.NotRun, Code: "malformed", Message: "heartbeat cannot be read", Err: err}
	}
	g.applyHeartbeat(h)
	if h.Target != "" {
		if err := g.ping(ctx, h.Target, ""); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	minUpdates := 0
	if len(h.PartDigests) == 1 { // the sender knows fewer than membersPerPart others
		minUpdates = minJoinUpdates
	}
	out := g.newHeartbeat(h.Name, g.inDifferingPart(h.PartDigests), minUpdates)
	out.SenderUnknown = !g.knows(h)
	return out, nil
}

// knows reports whether this host knows the sender at its incarnation or a later
// one. g.mu is held.
func (g *Gossiper) knows(h heartbeat) bool {
	e := g.members[h.Name]
	return e != nil && e.Incarnation >= h.Incarnation
}

// applyHeartbeat applies the updates of a heartbeat and reports a new configuration
// revision to Options.Seen.
func (g *Gossiper) applyHeartbeat(h heartbeat) {
	g.mu.Lock()
	for _, m := range h.Members {
		g.applyUpdate(m)
	}
	address, isNew := "", false
	if e := g.members[h.Name]; e != nil {
		address, isNew = e.Address, h.Revision > e.Revision
		if isNew {
			e.Revision = h.Revision
		}
		isNew = isNew || h.Revision > g.self.Revision
	}
	g.mu.Unlock()
	if isNew {
		g.options.Seen(address, h.Revision)
	}
}

// newHeartbeat returns a heartbeat for the host with the given name. It contains as
// many updates as the budget allows, but at least minUpdates if there are that many.
// differs selects members to send besides the recent updates. The size of the
// heartbeat is charged to the budget, and each update in it counts as transmitted
// once. g.mu is held.
func (g *Gossiper) newHeartbeat(to string, differs func(member) bool, minUpdates int) heartbeat {
	out := heartbeat{
		Name:        g.self.Name,
		Incarnation: g.self.Incarnation,
		Revision:    g.self.Revision,
		ViewDigest:  g.viewDigest(),
	}
	size := encodedSize(out) + envelopeSize + transportOverhead
	now := time.Now()
	allowed := int(g.limiter.TokensAt(now)) - size
	for _, m := range g.pendingUpdates(to, differs) {
		n := encodedSize(*m) + 1
		if n > allowed && len(out.Members) >= minUpdates {
			break
		}
		allowed -= n
		size += n
		m.transmitsLeft--
		out.Members = append(out.Members, *m)
	}
	g.recordSent(now, size)
	return out
}

// recordSent charges bytes to the budget. The balance may become negative, as the
// least number of updates is sent in any case; later pings wait until it has
// recovered. g.mu is held.
func (g *Gossiper) recordSent(now time.Time, size int) {
	g.sentBytes += int64(size)
	g.limiter.ReserveN(now, min(size, g.limiter.Burst()))
}

// pendingUpdates returns the updates to send, most urgent first: the receiver itself
// if it is not alive in this view, so that it can refute; updates with transmissions
// left, the most first; and the members for which differs holds, in random order.
// g.mu is held.
func (g *Gossiper) pendingUpdates(to string, differs func(member) bool) []*member {
	var first, fresh, rest []*member
	if g.self.transmitsLeft > 0 {
		fresh = append(fresh, &g.self)
	} else if differs(g.self) {
		rest = append(rest, &g.self)
	}
	for _, name := range g.names() {
		e := g.members[name]
		switch {
		case name == to && e.State != alive:
			first = append(first, &e.member)
		case e.transmitsLeft > 0:
			fresh = append(fresh, &e.member)
		case e.State != dead && differs(e.member):
			rest = append(rest, &e.member)
		}
	}
	// Without the shuffle, all hosts would send the same names first. The stable sort
	// keeps the shuffled order among equals.
	g.random.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	slices.SortStableFunc(fresh, func(a, b *member) int { return b.transmitsLeft - a.transmitsLeft })
	g.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return slices.Concat(first, fresh, rest)
}

// names returns the names of the members in sorted order, so that runs with the same
// seed choose the same members. The list is valid while g.mu is held.
func (g *Gossiper) names() []string { return g.sortedNames }

// ping pings the host at address. If target is not empty, that host pings target on
// behalf of this one before it answers.
func (g *Gossiper) ping(ctx context.Context, address, target string) error {
	g.mu.Lock()
	h := g.newHeartbeat(g.nameByAddress(address), g.inDifferingPart(nil), 0)
	if g.viewsDiffer {
		h.PartDigests = g.partDigests(len(g.members)/membersPerPart + 1)
		g.recordSent(time.Now(), encodedSize(h.PartDigests))
	}
	g.mu.Unlock()
	h.Target = target
	ctx, cancel := context.WithTimeout(ctx, g.pingTimeout(target))
	defer cancel()
	var answer heartbeat
	if err := g.node.Call(ctx, address, messenger.Ping, h, &answer); err != nil {
		return err
	}
	g.applyHeartbeat(answer)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.viewsDiffer = answer.ViewDigest != g.viewDigest()
	if answer.SenderUnknown {
		g.self.transmitsLeft = max(g.self.transmitsLeft, 1)
	}
	return nil
}

// nameByAddress returns the name of the member at address, or "". g.mu is held.
func (g *Gossiper) nameByAddress(address string) string {
	for name, e := range g.members {
		if e.Address == address {
			return name
		}
	}
	return ""
}

// pingTimeout returns the timeout of a ping: half an interval, or a whole one for an
// indirect ping, which consists of two pings.
func (g *Gossiper) pingTimeout(target string) time.Duration {
	if target == "" {
		return g.options.Interval / 2
	}
	return g.options.Interval
}

// encodedSize returns the size of v as JSON, in bytes.
func encodedSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}
