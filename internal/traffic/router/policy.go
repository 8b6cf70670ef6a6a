package router

import "math/rand/v2"

// Candidate is a backend server with a free slot.
type Candidate struct {
	InFlight     int     // requests in flight from this entry host
	Limit        int     // of requests in flight, at least Flight + 1
	Interference float64 // expected relative slow-down, 0 is none
	Latency      float64 // recent mean in seconds, 0 is unknown

	server *server
}

// Policy chooses one of the candidates, of which there is at least one, and
// returns its index.
type Policy interface {
	Choose(c []Candidate, random *rand.Rand) int
}

// LeastLoaded chooses the smallest share of slots in use, scaled by the
// expected slow-down and by latency that stands out. Equal candidates are
// chosen at random, so that entry hosts with the same view do not pick the
// same one.
type LeastLoaded struct{}

// noise is how far above the least a latency may be without counting.
const noise = 2

// Choose implements Policy.
func (LeastLoaded) Choose(c []Candidate, random *rand.Rand) int {
	best, ties := 0, 0
	lowest := 0.0
	usual := noise * leastLatency(c)
	for i := range c {
		score := float64(c[i].InFlight+1) / float64(c[i].Limit) * (1 + c[i].Interference)
		if c[i].Latency > usual {
			score *= c[i].Latency / usual
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

// leastLatency returns the least of the known latencies.
func leastLatency(c []Candidate) float64 {
	least := 0.0
	for i := range c {
		if c[i].Latency > 0 && (least == 0 || c[i].Latency < least) {
			least = c[i].Latency
		}
	}
	return least
}

// Random chooses blindly. It is a baseline.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(c []Candidate, random *rand.Rand) int { return random.IntN(len(c)) }

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(c []Candidate, _ *rand.Rand) int {
	r.next++
	return r.next % len(c)
}
