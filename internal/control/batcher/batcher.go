// Package batcher chooses how many candidates one request asks about, if the service that
// judges them takes a constant time for a request and more for each candidate.
//
// # Algorithm
//
// One candidate a request wastes the constant time, all of them in one request delay the
// first start until the last candidate is judged. [Size] computes the approvals that a
// request can expect, as far as they are needed, for each second that it takes. It returns
// the smallest request that is nearly as good as the best.
//
//	n := batcher.Size(4, approvals, func(n int) time.Duration { return setup + time.Duration(n)*each })
package batcher

import (
	"slices"
	"time"
)

const (
	goodShare = 0.8                   // approvals a second that are enough, as a share of the most
	overhead  = 20 * time.Millisecond // of a request, in addition to its duration
)

// Size returns how many of the candidates a request asks about, in their order: at least 1,
// and at most all. needed is the number of approvals that are of use. approvals holds the
// probability that each candidate is approved; it must not be empty. duration returns the
// duration of a request about n candidates, not negative.
func Size(needed int, approvals []float64, duration func(n int) time.Duration) int {
	rates := make([]float64, len(approvals))
	expected := expectedApprovals(max(needed, 1), approvals)
	for i := range rates {
		rates[i] = expected[i] / (duration(i+1) + overhead).Seconds()
	}
	best := slices.Max(rates)
	return 1 + slices.IndexFunc(rates, func(rate float64) bool { return rate >= goodShare*best })
}

// expectedApprovals returns the expected number of approvals of the first 1, 2, ...
// candidates, of which at most needed count.
func expectedApprovals(needed int, approvals []float64) []float64 {
	exactly := make([]float64, needed) // probability of each number of approvals below needed
	exactly[0] = 1
	below := 1.0 // probability of fewer than needed
	out := make([]float64, len(approvals))
	sum := 0.0
	for i, p := range approvals {
		sum += p * below
		out[i] = sum
		below -= p * exactly[needed-1]
		for k := needed - 1; k > 0; k-- {
			exactly[k] += p * (exactly[k-1] - exactly[k])
		}
		exactly[0] *= 1 - p
	}
	return out
}
