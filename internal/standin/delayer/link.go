package delayer

import (
	"slices"
	"sync"
	"time"
)

// CutMode says how a link is cut.
type CutMode uint8

// Ways to cut a link.
const (
	None      CutMode = iota // the link passes data
	Drop                     // open connections are closed and new ones reset
	Blackhole                // data is held until the link heals, as if TCP retransmitted it
)

// String returns the name of the mode as requests to a Hub write it.
func (m CutMode) String() string { return [...]string{"none", "drop", "blackhole"}[m] }

// Link is a network link between two failure domains, as seen from one of its
// ends.
type Link struct {
	delay time.Duration // one-way delay
	rate  float64       // bytes per second each way; 0 is unlimited
	up    *direction    // towards the relays' targets
	down  *direction    // back to the clients
	state *linkState
}

// linkState is shared by the views of a link from both its ends.
type linkState struct {
	mu      sync.Mutex
	mode    CutMode
	changed chan struct{} // closed and replaced when mode changes
	relays  []*Relay
}

// direction limits the rate of one direction of a link and counts its bytes.
type direction struct {
	mu     sync.Mutex
	idleAt time.Time // when all bytes reserved so far have been sent
	bytes  int64     // bytes reserved since the link was made
}

// NewLink returns a link with a one-way delay and a rate each way, in bytes per
// second; a rate of 0 is unlimited.
func NewLink(delay time.Duration, rate float64) *Link {
	return &Link{
		delay: delay, rate: rate,
		up: &direction{}, down: &direction{},
		state: &linkState{changed: make(chan struct{})},
	}
}

// Reverse returns the same link as seen from its other end.
func (l *Link) Reverse() *Link {
	out := *l
	out.up, out.down = l.down, l.up
	return &out
}

// Cut cuts the link in the given mode until the next call of Cut or Heal.
func (l *Link) Cut(m CutMode) {
	s := l.state
	s.mu.Lock()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
	relays := slices.Clone(s.relays)
	s.mu.Unlock()
	if m == Drop {
		for _, r := range relays {
			r.closeConns()
		}
	}
}

// Heal makes the link pass data again.
func (l *Link) Heal() { l.Cut(None) }

// Bytes returns the bytes taken for sending towards the targets and back since the
// link was made, including any that a cut lost.
func (l *Link) Bytes() (up, down int64) { return l.up.total(), l.down.total() }

// addRelay records a relay whose connections Cut closes.
func (l *Link) addRelay(r *Relay) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	l.state.relays = append(l.state.relays, r)
}

// cutMode returns how the link is cut, and a channel that is closed at the next
// change.
func (l *Link) cutMode() (CutMode, <-chan struct{}) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.mode, l.state.changed
}

// reserve takes the time to send n bytes at rate, after all bytes reserved before,
// and returns when the last of them has been sent.
func (d *direction) reserve(n int, rate float64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += int64(n)
	now := time.Now()
	if rate <= 0 {
		return now
	}
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	d.idleAt = d.idleAt.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return d.idleAt
}

// total returns the bytes reserved since the link was made.
func (d *direction) total() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}
