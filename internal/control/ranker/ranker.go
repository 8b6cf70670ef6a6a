// Package ranker orders waiting work.
//
// # Load pattern
//
// More work waits than there is room. Work of a more urgent priority goes
// first. Within a priority, work that can still meet its objective goes before
// work that is late, and that before work whose delay no longer makes a
// difference: otherwise a burst makes everything a little late. Among equals
// the earlier objective goes first, so nothing starves that can be served.
package ranker

import (
	"cmp"
	"time"
)

// Lateness says what a piece of work can still achieve.
type Lateness uint8

// Standings, best first.
const (
	OnTime Lateness = iota // can meet its objective
	Late                   // still earns something
	Overdue
)

func (s Lateness) String() string {
	return [...]string{"on-time", "late", "overdue"}[s]
}

// Work is a piece of waiting work.
type Work struct {
	Priority   int // 0 goes first
	Objective  time.Time
	GraceEnd   time.Time     // until when an end still earns something
	Remaining  time.Duration // shortest time to its end
	Accepted   time.Time
	NoDeadline bool   // never late: it earns for as long as it runs
	ID         string // settles ties
}

// Lateness is what the work can still achieve when it starts now.
func (w *Work) Lateness(now time.Time) Lateness {
	end := now.Add(w.Remaining)
	switch {
	case w.NoDeadline:
		return OnTime
	case !end.After(w.Objective):
		return OnTime
	case !end.After(w.GraceEnd):
		return Late
	}
	return Overdue
}

// Compare orders two pieces of work; a negative result puts a first.
func Compare(now time.Time, a, b *Work) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Lateness(now), b.Lateness(now)),
		a.Objective.Compare(b.Objective),
		a.Accepted.Compare(b.Accepted),
		cmp.Compare(a.ID, b.ID),
	)
}
