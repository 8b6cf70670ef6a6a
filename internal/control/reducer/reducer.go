// Package reducer is the control plane of a daemon as a pure function.
//
// # Model
//
// The caller owns a [State] and feeds it one [Event] at a time; each returns
// the [Effect] values to be carried out. Nothing in this package does I/O,
// reads a clock or starts a goroutine, so a sequence of events gives the same
// effects every time.
//
//	s := reducer.New(options)
//	for event := range events {
//		execute(s.Reduce(event))
//	}
package reducer

import (
	"time"
)

// Options are what a State needs to know from its daemon's settings.
type Options struct {
	Daemon string // this daemon's name in membership
	Domain string // its failure domain
	Region string

	TaskLease    time.Duration // granted to workers with each renewal
	LeaseMargin  time.Duration // for clock drift, added before a lapsed run counts as over
	SyncInterval time.Duration // between inventories of one worker
}
