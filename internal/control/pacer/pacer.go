// Package pacer decides how fast fillers may work beside tasks that serve.
//
// # Load pattern
//
// Fillers take the processor time that serving tasks leave unused. A few pairs
// of images disturb each other by orders of magnitude, most hardly at all, and
// it shows only in the tail latency of the last half second. So the pace of
// those that are believed to do the harm falls first, by what the belief says
// is needed, and the others keep working. A tail that stays over its target
// although the believed culprits rest stops every filler on the worker.
package pacer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/ranker"
)

// Shares of the target, paces in percent, and times.
const (
	high    = 0.95 // tail at which paces fall
	aim     = 0.82 // tail that paces fall or rise towards
	low     = 0.75 // tail below which paces may rise
	caution = 0.5  // part of the room up to aim that one rise may use
	resting = 8    // a lower pace is none at all
	rise    = 34   // most that a pace rises at once
	full    = 100
	mild    = 0.05 // expected growth of the log tail at full pace that is not worth a cut
)

// overLimit is how long a tail may be over its target before every filler rests.
const overLimit = 1500 * time.Millisecond

// Filler is one filler on a worker.
type Filler struct {
	Pace         int     // percent
	Interference float64 // expected growth of the logarithm of the worst tail, at full pace
	Lateness     ranker.Lateness
}

// Decide sets the paces on one worker. tail is the worst tail of its serving
// tasks as a share of the target, 0 without such tasks; over is for how long
// one has been over its target.
func Decide(tail float64, over time.Duration, fillers []Filler) {
	switch {
	case over >= overLimit:
		for i := range fillers {
			fillers[i].Pace = 0
		}
	case tail > high:
		slow(math.Log(tail/aim), fillers)
	case tail < low:
		room := math.Inf(1)
		if tail > 0 {
			room = math.Log(aim/tail) * caution
		}
		hasten(room, fillers)
	}
}

// order lists the fillers' indexes in the order in which they give way.
func order(fillers []Filler) []int {
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

// compareMild puts fillers that do no harm last.
func compareMild(a, b *Filler) int {
	switch {
	case a.Interference < mild && b.Interference >= mild:
		return 1
	case b.Interference < mild && a.Interference >= mild:
		return -1
	}
	return 0
}

// slow takes excess away from the log tail, from the most harmful on.
func slow(excess float64, fillers []Filler) {
	for _, i := range order(fillers) {
		f := &fillers[i]
		if f.Interference < mild || excess <= 0 {
			return
		}
		share := f.Interference * float64(f.Pace) / full
		if share <= excess {
			f.Pace = 0
		} else {
			f.Pace = rested(int(float64(f.Pace) * (1 - excess/share)))
		}
		excess -= share
	}
}

// hasten raises paces as far as the room allows, the least harmful first.
func hasten(room float64, fillers []Filler) {
	sorted := order(fillers)
	slices.Reverse(sorted)
	for _, i := range sorted {
		f := &fillers[i]
		if f.Pace >= full {
			continue
		}
		step := min(full-f.Pace, rise)
		if f.Interference >= mild {
			step = int(min(float64(step), room/f.Interference*full))
		}
		if f.Pace+step < resting {
			continue
		}
		f.Pace += step
		room -= max(f.Interference, 0) * float64(step) / full
		if room <= 0 {
			return
		}
	}
}

func rested(percent int) int {
	if percent < resting {
		return 0
	}
	return percent
}
