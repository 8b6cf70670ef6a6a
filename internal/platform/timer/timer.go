// Package timer adapts the timeouts of reads to how busy the connection is.
//
// # Load
//
// Many hosts read the same large value over one link. With a fixed limit for a whole
// response none of them completes once the responses take longer than that, and
// each attempt fills the link again. Here a limit applies to the time until a response begins,
// and it grows while reads expire:
//
//	var timeouts timer.Group
//	limit := timeouts.Limit("workers")
//	timeouts.Expired("workers")  // the next limit is twice as long
//	timeouts.Answered("workers") // back to Min
package timer

import (
	"sync"
	"time"
)

// Bounds of the limits. After an outage, a read that got no answer delays the next one by at
// most Max.
const (
	Min = time.Second
	Max = 3 * time.Second
)

// Group holds a limit for each kind of read. The zero value is ready for use. It is safe for
// concurrent use.
type Group struct {
	mu     sync.Mutex
	limits map[string]time.Duration // of the kinds whose last read has expired
}

// Limit returns how long the response to a read of the kind may take until it begins.
func (g *Group) Limit(kind string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.limits[kind], Min)
}

// Expired doubles the limit of the kind, up to Max.
func (g *Group) Expired(kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits == nil {
		g.limits = make(map[string]time.Duration)
	}
	g.limits[kind] = min(2*max(g.limits[kind], Min), Max)
}

// Answered resets the limit of the kind to Min.
func (g *Group) Answered(kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.limits, kind)
}
