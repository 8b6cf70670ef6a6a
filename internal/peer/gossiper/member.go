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

// state of a member, in the order in which it prevails at one incarnation.
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

// member is what hosts tell each other about one of them.
type member struct {
	Name        string   `json:"name"`
	Domain      string   `json:"domain"`
	Region      string   `json:"region"`
	Address     string   `json:"address"`
	Shards      []string `json:"shards,omitempty"`
	Leaving     bool     `json:"leaving,omitempty"`
	Incarnation int64    `json:"incarnation"` // raised by the member itself only
	State       state    `json:"state,omitempty"`
	Revision    int64    `json:"-"` // of the configuration; sent by the member itself only

	spread int // times that this is still to be sent on
}

// entry is a member other than self.
type entry struct {
	member
	since time.Time // of the state
}

func newMember(p reducer.Peer) member {
	return member{
		Name:        p.Name,
		Domain:      p.Domain,
		Region:      p.Region,
		Address:     p.Address,
		Shards:      p.Shards,
		Leaving:     p.Leaving,
		Incarnation: time.Now().UnixMilli(), // greater than that of an earlier process
		spread:      1,
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

// prevails reports whether m is newer than o.
func (m member) prevails(o member) bool {
	return m.Incarnation > o.Incarnation || m.Incarnation == o.Incarnation && m.State > o.State
}

// digest is a hash that adds up over members, so that two views compare in
// 8 bytes. Suspicions are left out, as they pass.
func (m member) digest() uint64 {
	if m.State == dead {
		return 0
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(m.Incarnation))
	return xxhash.Sum64String(m.Name + string(b[:]))
}

// sum is the digest of the whole view; g.mu is held.
func (g *Gossiper) sum() uint64 { return g.self.digest() + g.others }

// refresh computes what is derived from the members; g.mu is held.
func (g *Gossiper) refresh() {
	g.others = 0
	g.sorted = g.sorted[:0]
	for name, e := range g.members {
		g.others += e.digest()
		g.sorted = append(g.sorted, name)
	}
	slices.Sort(g.sorted)
}

// alive returns the members that are not dead; g.mu is held.
func (g *Gossiper) alive() []reducer.Peer {
	out := []reducer.Peer{g.self.peer()}
	for _, e := range g.members {
		if e.State != dead {
			out = append(out, e.peer())
		}
	}
	slices.SortFunc(out, func(a, b reducer.Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// learn takes in what another host said; g.mu is held.
func (g *Gossiper) learn(m member) {
	if m.Name == "" || m.State > dead {
		return
	}
	if m.Name == g.self.Name {
		g.refute(m)
		return
	}
	e := g.members[m.Name]
	switch {
	case e != nil && !m.prevails(e.member), e == nil && m.State == dead:
		return
	case e == nil:
		e = &entry{}
		g.members[m.Name] = e
		// When many join at once, the comparison of views brings their names
		// with far fewer bytes than passing on each of them.
		m.spread = 1
	default:
		m.spread = g.spreads()
	}
	if route, ok := g.routes[m.Name]; ok {
		m.Address = route
	}
	if e.State != m.State {
		g.log.Info().Str("member", m.Name).Stringer("state", m.State).Msg("Member changed.")
	}
	e.member, e.since = m, time.Now()
	g.refresh()
	signal(g.changed)
}

// refute answers news about this host that is not its own.
func (g *Gossiper) refute(m member) {
	own := m.State == alive && m.Incarnation <= g.self.Incarnation
	if own || m.Incarnation < g.self.Incarnation {
		return
	}
	g.self.Incarnation = m.Incarnation
	g.renew()
}

// mark changes the state of a member on this host's own evidence; g.mu is
// held.
func (g *Gossiper) mark(name string, incarnation int64, s state) {
	e := g.members[name]
	if e == nil || e.Incarnation != incarnation || e.State >= s {
		return
	}
	m := e.member
	m.State = s
	g.learn(m)
}

// expire turns suspects into dead members and forgets old ones; g.mu is held.
func (g *Gossiper) expire(now time.Time) {
	for name, e := range g.members {
		switch {
		case e.State == suspect && now.Sub(e.since) > g.patience():
			g.mark(name, e.Incarnation, dead)
		case e.State == dead && now.Sub(e.since) > forgetAfter:
			delete(g.members, name)
			g.refresh()
		}
	}
}

// excuse moves suspicions on by the time that this host itself was paused, in
// which it could not hear a refutation; g.mu is held.
func (g *Gossiper) excuse(pause time.Duration) {
	for _, e := range g.members {
		if e.State == suspect {
			e.since = e.since.Add(pause)
		}
	}
}
