// Package rotator divides the time of a resource that serves one user at a time, so that
// a slow flow of uses doesn't keep the others from it.
//
// # Algorithm
//
// Start-time fair queueing: each use has a start tag, the larger of the finish tag of the
// flow's last use and the tag of the use that was begun last in any flow. The use with the
// smallest start tag goes first, and its finish tag is its start tag plus its duration. A
// flow that waits is passed over until the others have had as much time as it, and a flow
// that hasn't used the resource for a while gets no credit for that.
//
//	var turns rotator.Turns[string]
//	if turns.Start("menus") < turns.Start("tours") {
//		turns.Begin("menus", 2*time.Second)
//	}
package rotator

import (
	"maps"
	"time"
)

// Turns orders the uses of a resource by flows. The zero value has seen no use.
type Turns[K comparable] struct {
	now    time.Duration       // start tag of the last use
	finish map[K]time.Duration // finish tags after now
}

// Start returns the start tag that a use of the flow would have. The smallest goes first.
func (t *Turns[K]) Start(flow K) time.Duration { return max(t.now, t.finish[flow]) }

// Begin records a use of the flow that is expected to take d.
func (t *Turns[K]) Begin(flow K, d time.Duration) {
	if t.finish == nil {
		t.finish = make(map[K]time.Duration)
	}
	t.now = t.Start(flow)
	t.finish[flow] = t.now + d
	maps.DeleteFunc(t.finish, func(_ K, finish time.Duration) bool { return finish <= t.now })
}
