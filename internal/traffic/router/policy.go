package router

import "math/rand/v2"

// Candidate is a backend server with a free slot.
type Candidate struct {
	InFlight     int     // requests in flight from this entry host
	Limit        int     // most requests in flight, at least InFlight + 1
	Interference float64 // expected slow-down by other work on the worker, 0.1 means 10 %
	Latency      float64 // recent mean in seconds, 0 if unknown

	server *server
}

// Policy selects a backend server. Choose returns the index of one of the
// candidates, of which there is at least one.
type Policy interface {
	Choose(c []Candidate, random *rand.Rand) int
}

// LeastLoaded chooses the candidate with the smallest share of slots in use,
// scaled by interference and by latency far above the lowest. Ties are broken at
// random, so that entry hosts with the same view spread their requests.
type LeastLoaded struct{}

// latencyTolerance is the multiple of the lowest latency up to which latency has no
// influence.
const latencyTolerance = 2

// Choose implements Policy.
func (LeastLoaded) Choose(c []Candidate, random *rand.Rand) int {
	best, ties := 0, 0
	lowest := 0.0
	threshold := latencyTolerance * minLatency(c)
	for i := range c {
		score := float64(c[i].InFlight+1) / float64(c[i].Limit) * (1 + c[i].Interference)
		if c[i].Latency > threshold {
			score *= c[i].Latency / threshold
		}
		switch {
		case i == 0 || score < lowest:
			best, lowest, ties = i, score, 1
		case score == lowest:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// minLatency returns the lowest of the known latencies, 0 if none is known.
func minLatency(c []Candidate) float64 {
	least := 0.0
	for i := range c {
		if c[i].Latency > 0 && (least == 0 || c[i].Latency < least) {
			least = c[i].Latency
		}
	}
	return least
}

// Random chooses at random. It is a baseline for comparisons.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(c []Candidate, random *rand.Rand) int { return random.IntN(len(c)) }

// RoundRobin chooses the candidates in turn. It is a baseline for comparisons.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(c []Candidate, _ *rand.Rand) int {
	r.next++
	return r.next % len(c)
}
