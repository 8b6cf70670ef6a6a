// Package pacer decides how fast fillers may work beside tasks that serve.
//
// # Load pattern
//
// Fillers take the processor time that serving tasks leave unused. How much
// they disturb a serving task differs by image and changes within seconds,
// and shows only in the tail latency of the last half second. The pace falls
// by half while a tail is near its target and recovers by steps when the tail
// is clearly below, so a burst of the serving task's own load costs fillers a
// second or two rather than the serving task its target.
package pacer

// Shares of the target, and steps of the pace in percent.
const (
	high     = 0.85 // of the target: fillers slow down
	low      = 0.65 // of the target: fillers may speed up
	step     = 25
	smallest = 7 // below it, a filler rests
	full     = 100
)

// Input is what the pace of one filler depends on.
type Input struct {
	Tail    float64 // worst tail on the worker, as a share of its target; 0 without serving tasks
	Percent int     // present pace
}

// Decide returns the pace to set, 0 to 100.
func Decide(in Input) int {
	switch {
	case in.Tail >= 1:
		return rest(in.Percent / 4)
	case in.Tail > high:
		return rest(in.Percent / 2)
	case in.Tail < low:
		return min(in.Percent+step, full)
	}
	return in.Percent
}

func rest(percent int) int {
	if percent < smallest {
		return 0
	}
	return percent
}
