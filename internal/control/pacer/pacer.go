// Package pacer decides how fast fillers may run beside serving tasks.
//
// # Algorithm
//
// Fillers are best-effort tasks that take the processor time that serving
// tasks leave unused. A few pairs of images interfere with each other by
// orders of magnitude, most hardly at all, and only the tail latency of the
// last half second shows it. [Decide] therefore compares that latency with the
// target. When it is too high, the fillers with the highest estimated
// interference are slowed first, by as much as the estimate requires, and the
// others keep their pace. When the latency has been over its target for too
// long, because the estimates are wrong, every filler on the worker is stopped.
package pacer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/ranker"
)

const (
	slowAbove        = 0.95 // latency ratio above which paces are reduced
	goalRatio        = 0.82 // latency ratio that paces are adjusted towards
	raiseBelow       = 0.75 // latency ratio below which paces may be raised
	raiseShare       = 0.5  // share of the headroom up to goalRatio that one raise may use
	minPace          = 8    // percent; a filler with a lower pace is stopped
	maxRaise         = 34   // percent; largest raise of one filler in one decision
	fullPace         = 100  // percent
	mildInterference = 0.05 // increase of the log tail latency at full pace below which a filler is not slowed
)

// stopAllAfter is how long a tail latency may be over its target before every
// filler is stopped.
const stopAllAfter = 1500 * time.Millisecond

// Filler is one filler on a worker.
type Filler struct {
	Pace         int     // percent of full speed, changed by Decide
	Interference float64 // estimated increase of the highest log tail latency at full pace
	// UpperInterference is an upper bound of Interference. Paces are raised by it, so
	// that a filler that hasn't been observed is tried carefully.
	UpperInterference float64
	Lateness          ranker.Lateness // late fillers are slowed before those that can still end in time
}

// Decide sets the paces of one worker's fillers. latencyRatio is the highest
// ratio of a tail latency of its serving tasks to the target, or 0 if it has no
// such tasks. over is how long a tail latency has been over its target.
func Decide(latencyRatio float64, over time.Duration, fillers []Filler) {
	switch {
	case over >= stopAllAfter:
		for i := range fillers {
			fillers[i].Pace = 0
		}
	case latencyRatio > slowAbove:
		slow(math.Log(latencyRatio/goalRatio), fillers)
	case latencyRatio < raiseBelow:
		headroom := math.Inf(1)
		if latencyRatio > 0 {
			headroom = math.Log(goalRatio/latencyRatio) * raiseShare
		}
		raise(headroom, fillers)
	}
}

// slowdownOrder returns the fillers' indexes, those to be slowed first at the
// front.
func slowdownOrder(fillers []Filler) []int {
	out := make([]int, len(fillers))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int {
		x, y := &fillers[a], &fillers[b]
		return cmp.Or(compareMild(x, y), cmp.Compare(y.Lateness, x.Lateness), cmp.Compare(y.Interference, x.Interference))
	})
	return out
}

// compareMild puts fillers without noticeable interference last.
func compareMild(a, b *Filler) int {
	switch {
	case a.Interference < mildInterference && b.Interference >= mildInterference:
		return 1
	case b.Interference < mildInterference && a.Interference >= mildInterference:
		return -1
	}
	return 0
}

// slow reduces paces until they are expected to lower the log tail latency by
// excess.
func slow(excess float64, fillers []Filler) {
	for _, i := range slowdownOrder(fillers) {
		f := &fillers[i]
		if f.Interference < mildInterference || excess <= 0 {
			return
		}
		contribution := f.Interference * float64(f.Pace) / fullPace
		if contribution <= excess {
			f.Pace = 0
		} else {
			f.Pace = stopIfTooSlow(int(float64(f.Pace) * (1 - excess/contribution)))
		}
		excess -= contribution
	}
}

// raise raises paces until they are expected to increase the log tail latency
// by headroom, in the reverse order of slow.
func raise(headroom float64, fillers []Filler) {
	sorted := slowdownOrder(fillers)
	slices.Reverse(sorted)
	for _, i := range sorted {
		f := &fillers[i]
		if f.Pace >= fullPace {
			continue
		}
		step := min(fullPace-f.Pace, maxRaise)
		worst := max(f.Interference, f.UpperInterference)
		if worst >= mildInterference {
			step = int(min(float64(step), headroom/worst*fullPace))
		}
		if f.Pace+step < minPace {
			continue
		}
		f.Pace += step
		headroom -= max(worst, 0) * float64(step) / fullPace
		if headroom <= 0 {
			return
		}
	}
}

// stopIfTooSlow returns 0 for a pace below minPace.
func stopIfTooSlow(percent int) int {
	if percent < minPace {
		return 0
	}
	return percent
}
