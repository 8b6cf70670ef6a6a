package delayer

import (
	"slices"
	"sync"
	"time"
)

// CutMode is how a link is cut.
type CutMode uint8

// Ways to cut a link.
const (
	None      CutMode = iota
	Drop              // connections are reset and new ones refused
	Blackhole         // bytes wait for the link to heal, as TCP sends them again
)

func (c CutMode) String() string { return [...]string{"none", "drop", "blackhole"}[c] }

// Link joins two places. Its direction up leads towards the relays' targets.
type Link struct {
	delay time.Duration // one way
	rate  float64       // bytes a second each way; 0 is unlimited
	up    *direction
	down  *direction
	state *state
}

// state is what both views of a link share.
type state struct {
	mu      sync.Mutex
	cut     CutMode
	changed chan struct{} // closed at the next change
	relays  []*Relay
}

// direction is the queue and the count of one way.
type direction struct {
	mu    sync.Mutex
	free  time.Time // when the bytes reserved so far have been sent
	bytes int64
}

// NewLink returns a link with a one-way delay and a rate each way, in bytes a
// second; a rate of 0 is unlimited.
func NewLink(delay time.Duration, rate float64) *Link {
	return &Link{
		delay: delay, rate: rate,
		up: &direction{}, down: &direction{},
		state: &state{changed: make(chan struct{})},
	}
}

// Reverse returns the same link seen from its other end.
func (l *Link) Reverse() *Link {
	out := *l
	out.up, out.down = l.down, l.up
	return &out
}

// Cut cuts the link until Heal.
func (l *Link) Cut(c CutMode) {
	s := l.state
	s.mu.Lock()
	s.cut = c
	close(s.changed)
	s.changed = make(chan struct{})
	relays := slices.Clone(s.relays)
	s.mu.Unlock()
	if c == Drop {
		for _, r := range relays {
			r.drop()
		}
	}
}

// Heal lets the link pass again.
func (l *Link) Heal() { l.Cut(None) }

// Bytes returns the bytes carried towards the targets and back.
func (l *Link) Bytes() (up, down int64) { return l.up.count(), l.down.count() }

func (l *Link) add(r *Relay) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	l.state.relays = append(l.state.relays, r)
}

func (l *Link) present() (CutMode, <-chan struct{}) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.cut, l.state.changed
}

// reserve queues n bytes and returns when the last of them has been sent.
func (d *direction) reserve(n int, rate float64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += int64(n)
	now := time.Now()
	if rate <= 0 {
		return now
	}
	if d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return d.free
}

func (d *direction) count() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}
