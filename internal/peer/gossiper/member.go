package gossiper

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
)

// state is the state of a member. At the same incarnation, a greater state
// supersedes a smaller one.
type state uint8

const (
	alive state = iota
	suspect
	dead
)

func (s state) String() string {
	switch s {
	case alive:
		return "alive"
	case suspect:
		return "suspect"
	case dead:
		return "dead"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// member is the state of one host that hosts send to each other.
type member struct {
	Name        string   `json:"name"`
	Domain      string   `json:"domain"`
	Region      string   `json:"region"`
	Address     string   `json:"address"`
	Shards      []string `json:"shards,omitempty"`
	Leaving     bool     `json:"leaving,omitempty"`
	Incarnation int64    `json:"incarnation"` // only the member itself raises it
	State       state    `json:"state,omitempty"`
	Revision    int64    `json:"-"` // revision of the member's configuration; only its own heartbeats carry it

	transmitsLeft int // remaining number of times to send this update to other hosts
}

// entry is a member other than this host.
type entry struct {
	member
	since time.Time // time of the last update applied, moved on by extendSuspicions
}

func newMember(p reducer.Peer) member {
	return member{
		Name:          p.Name,
		Domain:        p.Domain,
		Region:        p.Region,
		Address:       p.Address,
		Shards:        p.Shards,
		Leaving:       p.Leaving,
		Incarnation:   time.Now().UnixMilli(), // greater than those of earlier processes of this name
		transmitsLeft: 1,
	}
}

func (m member) peer() reducer.Peer {
	return reducer.Peer{
		Name:    m.Name,
		Domain:  m.Domain,
		Region:  m.Region,
		Address: m.Address,
		Shards:  m.Shards,
		Leaving: m.Leaving,
	}
}

// supersedes reports whether m is a newer update than o.
func (m member) supersedes(o member) bool {
	return m.Incarnation > o.Incarnation || m.Incarnation == o.Incarnation && m.State > o.State
}

// digest returns a hash of the name and incarnation, or 0 for a dead member. The
// digest of a view is the sum over its members, so that hosts compare their views
// with 8 bytes. Suspect members hash like alive ones, as suspicions are temporary.
func (m member) digest() uint64 {
	if m.State == dead {
		return 0
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(m.Incarnation))
	return xxhash.Sum64String(m.Name + string(b[:]))
}

// viewDigest returns the digest of all members and this host. g.mu is held.
func (g *Gossiper) viewDigest() uint64 { return g.self.digest() + g.membersDigest }

// reindex recomputes sortedNames and membersDigest after a change of members. g.mu
// is held.
func (g *Gossiper) reindex() {
	g.membersDigest = 0
	g.sortedNames = g.sortedNames[:0]
	for name, e := range g.members {
		g.membersDigest += e.digest()
		g.sortedNames = append(g.sortedNames, name)
	}
	slices.Sort(g.sortedNames)
}

// aliveMembers returns this host and the members that are not dead, sorted by name.
// g.mu is held.
func (g *Gossiper) aliveMembers() []reducer.Peer {
	out := []reducer.Peer{g.self.peer()}
	for _, e := range g.members {
		if e.State != dead {
			out = append(out, e.peer())
		}
	}
	slices.SortFunc(out, func(a, b reducer.Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// applyUpdate applies an update about a member, unless it is stale or malformed, or
// about an unknown member that is dead. An update about this host may be refuted.
// g.mu is held.
func (g *Gossiper) applyUpdate(m member) {
	if m.Name == "" || m.State > dead {
		return
	}
	if m.Name == g.self.Name {
		g.refute(m)
		return
	}
	e := g.members[m.Name]
	switch {
	case e != nil && !m.supersedes(e.member), e == nil && m.State == dead:
		return
	case e == nil:
		e = &entry{}
		g.members[m.Name] = e
		// A new member is sent on only once: when many hosts join at the same time,
		// the comparison of views finds them with far fewer bytes.
		m.transmitsLeft = 1
	default:
		m.transmitsLeft = g.transmitLimit()
	}
	if address, ok := g.addressByName[m.Name]; ok {
		m.Address = address
	}
	if e.State != m.State {
		g.log.Info().Str("member", m.Name).Stringer("state", m.State).Msg("member state changed")
	}
	e.member, e.since = m, time.Now()
	g.reindex()
	signal(g.changed)
}

// refute overrides an update about this host that did not come from this process,
// such as a suspicion, with a greater incarnation. g.mu is held.
func (g *Gossiper) refute(m member) {
	own := m.State == alive && m.Incarnation <= g.self.Incarnation
	if own || m.Incarnation < g.self.Incarnation {
		return
	}
	g.self.Incarnation = m.Incarnation
	g.announceSelf()
}

// setState raises the state of a member that this host itself found suspect or
// dead. It does nothing if the member has another incarnation by now. g.mu is held.
func (g *Gossiper) setState(name string, incarnation int64, s state) {
	e := g.members[name]
	if e == nil || e.Incarnation != incarnation || e.State >= s {
		return
	}
	m := e.member
	m.State = s
	g.applyUpdate(m)
}

// expireMembers confirms the death of members whose suspicion was not refuted in
// time, and deletes members that have been dead for deadRetention. g.mu is held.
func (g *Gossiper) expireMembers(now time.Time) {
	for name, e := range g.members {
		switch {
		case e.State == suspect && now.Sub(e.since) > g.suspicionTimeout():
			e.since = now // the next confirmation, if this one is not carried out
			m := e.member
			g.startTask(func() { g.confirmDeath(m) })
		case e.State == dead && now.Sub(e.since) > deadRetention:
			delete(g.members, name)
			g.reindex()
		}
	}
}

// extendSuspicions extends all suspicions by a time in which this process was
// paused, as it could not receive refutations then. g.mu is held.
func (g *Gossiper) extendSuspicions(pause time.Duration) {
	for _, e := range g.members {
		if e.State == suspect {
			e.since = e.since.Add(pause)
		}
	}
}
