// Package ranker orders the waiting tasks of jobs.
//
// # Order
//
// Under overload more work waits than the workers have capacity for. Work of a
// more urgent priority always goes first. Within a priority, work that can
// still meet its objective goes before work that is already late, and that
// before work whose end is of no use any more; otherwise a burst would make
// all of it a little late. Work of a job that has begun counts as being in time
// for as long as its end is of use; otherwise a lasting overload would begin many
// jobs and end few of them. Among equals the earliest objective goes first, so
// nothing starves that can still be served.
package ranker

import (
	"cmp"
	"time"
)

// Lateness says whether a piece of work can still end in time.
type Lateness uint8

// Degrees of lateness, in the order in which work is served.
const (
	OnTime  Lateness = iota // expected to meet its objective, or begun and not overdue
	Late                    // expected after its objective but within its grace period
	Overdue                 // expected after its grace period, when its result is of no use
)

// String returns the name of the lateness.
func (l Lateness) String() string {
	return [...]string{"on-time", "late", "overdue"}[l]
}

// Work is a group of waiting tasks that are ranked together.
type Work struct {
	Priority   int           // 0 is the most urgent
	Objective  time.Time     // wanted end
	GraceEnd   time.Time     // latest end that is still of use
	Remaining  time.Duration // estimated time from its start to its end
	Accepted   time.Time
	Begun      bool   // a part of its job has been started, so that work would be lost
	NoDeadline bool   // always OnTime, as for serving tasks, which are of use for as long as they run
	ID         string // breaks ties
}

// Lateness returns how late the work would end if it started now.
func (w *Work) Lateness(now time.Time) Lateness {
	end := now.Add(w.Remaining)
	switch {
	case w.NoDeadline:
		return OnTime
	case !end.After(w.Objective):
		return OnTime
	case end.After(w.GraceEnd):
		return Overdue
	case w.Begun:
		return OnTime
	}
	return Late
}

// Compare returns a negative number if a goes before b, a positive one if b
// goes before a, and 0 if they have the same ID and rank.
func Compare(now time.Time, a, b *Work) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Lateness(now), b.Lateness(now)),
		a.Objective.Compare(b.Objective),
		a.Accepted.Compare(b.Accepted),
		cmp.Compare(a.ID, b.ID),
	)
}
