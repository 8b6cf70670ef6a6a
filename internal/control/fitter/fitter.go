// Package fitter chooses a worker for a task of a job.
//
// # Algorithm
//
// Serving tasks, short tasks and fillers share workers. Fillers are
// best-effort tasks that run on processor time that other tasks leave unused.
// [Choose] scores every worker on which the task fits: a task that reserves
// capacity goes where the largest share of processors is free, so that load
// stays balanced, and a filler goes where the most processor time is unused.
// While large work waits, its caller may ask for the opposite, [Request.BestFit].
// A preferred rack, for data locality or for tasks that communicate, outweighs
// that as long as a worker there has room.
package fitter

import (
	"cmp"
	"slices"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Candidate is what one worker has left for further tasks.
type Candidate struct {
	Free         describer.Resources // neither reserved by tasks nor kept back
	Capacity     describer.Resources
	UnusedCPU    int64   // millicores that fillers may still take
	SameImage    float64 // share of the worker's serving tasks that run the task's image, 0 to 1
	Interference float64 // expected increase of the log tail latency of the serving tasks there by the task
	Slowness     float64 // by how much longer than elsewhere recent runs took, as a fraction; 0 if not clearly
	Rack         string
	Closed       bool // accepts no tasks
	Cold         bool // slow for a while, since it has just returned to service
}

// Request is what one task needs.
type Request struct {
	Reserved  describer.Resources // taken from Candidate.Free
	FillerCPU int64               // millicores taken from Candidate.UnusedCPU
	Rack      string              // preferred rack; empty for none
	BestFit   bool                // prefers the worker with the least free capacity, so that large pieces remain
}

// Fits reports whether the candidate has room for the task.
func (r *Request) Fits(c *Candidate) bool {
	if c.Closed || !r.Reserved.Fits(c.Free) {
		return false
	}
	return r.FillerCPU <= c.UnusedCPU
}

// Choose returns the index of the best candidate for which allowed returns
// true, or -1 if the request fits on none.
func Choose(candidates []Candidate, r Request, allowed func(i int) bool) int {
	best, bestScore := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !r.Fits(c) || !allowed(i) {
			continue
		}
		if score := r.score(c); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Rank returns the indices of the candidates on which the request fits and for which allowed
// returns true, the best first.
func Rank(candidates []Candidate, r Request, allowed func(i int) bool) []int {
	var out []int
	scores := make([]float64, len(candidates))
	for i := range candidates {
		if c := &candidates[i]; r.Fits(c) && allowed(i) {
			out, scores[i] = append(out, i), r.score(c)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return out
}

// sameImageWeight groups serving tasks of one image on the same workers. That
// leaves other workers without tasks that fillers of a given image disturb.
const sameImageWeight = 1.5

// interferenceWeight keeps fillers off workers whose tasks they disturb.
const interferenceWeight = 3

// slownessWeight makes a worker on which runs take twice as long the last choice, as long as
// others have room.
const slownessWeight = 1

// rackBonus outweighs any difference in free capacity.
const rackBonus = 10

// coldPenalty outweighs any difference in free capacity and affinity, but not the rack.
const coldPenalty = 5

// score rates a candidate on which the task fits; higher is better.
func (r *Request) score(c *Candidate) float64 {
	score := share(c.Free.CPU-r.Reserved.CPU, c.Capacity.CPU)
	if r.FillerCPU > 0 {
		score = share(c.UnusedCPU-r.FillerCPU, c.Capacity.CPU)
	}
	if r.BestFit {
		score = -score
	}
	score += sameImageWeight*c.SameImage - interferenceWeight*c.Interference - slownessWeight*c.Slowness
	if r.Rack != "" && r.Rack == c.Rack {
		score += rackBonus
	}
	if c.Cold {
		score -= coldPenalty
	}
	return score
}

// share returns part as a share of whole, or 0 if there is none of it.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Reserve subtracts the task's needs from what the candidate has left.
func (c *Candidate) Reserve(r *Request) {
	c.Free = c.Free.Sub(r.Reserved)
	c.UnusedCPU -= r.FillerCPU + r.Reserved.CPU
}
