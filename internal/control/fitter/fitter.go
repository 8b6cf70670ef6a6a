// Package fitter chooses a worker for a task.
//
// # Load pattern
//
// Serving tasks, short tasks and fillers share workers. Tasks that count
// against the capacity go where the most room is left, so that no worker is
// crowded while others idle; fillers go where the most processor time is
// unused. Data on a rack, and tasks that talk to each other, draw a task to
// its rack as far as there is room.
package fitter

import "dotterelcart.dev/dotterelcart/internal/control/describer"

// Candidate is what one worker has left.
type Candidate struct {
	Free         describer.Resources
	Capacity     describer.Resources
	UnusedCPU    int64   // CPU that fillers may still ask for, millicores
	SameImage    float64 // share of the serving tasks there that are of the task's image
	Interference float64 // expected growth of the log tail of a serving task there by the task
	Rack         string
	Closed       bool // takes no tasks
}

// Request is what one task asks for.
type Request struct {
	Reserved  describer.Resources // against the worker's free room
	FillerCPU int64               // CPU out of the unused, millicores
	Rack      string              // preferred; empty is any
}

// Fits reports whether the task can go there.
func (n *Request) Fits(r *Candidate) bool {
	if r.Closed || !n.Reserved.Fits(r.Free) {
		return false
	}
	return n.FillerCPU <= r.UnusedCPU
}

// Choose returns the index of the best room for which allowed holds, or -1.
func Choose(rooms []Candidate, n Request, allowed func(i int) bool) int {
	best, bestScore := -1, 0.0
	for i := range rooms {
		r := &rooms[i]
		if !n.Fits(r) || !allowed(i) {
			continue
		}
		if score := n.score(r); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// kinBonus draws serving tasks of one image together, so that other workers
// have none that a filler of a certain image would disturb.
const kinBonus = 1.5

// harmMalus draws a filler to workers whose tasks it does not disturb.
const harmMalus = 3

// rackBonus outweighs every difference of room.
const rackBonus = 10

func (n *Request) score(r *Candidate) float64 {
	score := share(r.Free.CPU-n.Reserved.CPU, r.Capacity.CPU)
	if n.FillerCPU > 0 {
		score = share(r.UnusedCPU-n.FillerCPU, r.Capacity.CPU)
	}
	score += kinBonus*r.SameImage - harmMalus*r.Interference
	if n.Rack != "" && n.Rack == r.Rack {
		score += rackBonus
	}
	return score
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Reserve books the task in the room.
func (r *Candidate) Reserve(n *Request) {
	r.Free = r.Free.Sub(n.Reserved)
	r.UnusedCPU -= n.FillerCPU + n.Reserved.CPU
}
