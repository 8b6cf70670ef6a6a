package caller

import "testing"

// TestIsUntrue checks hasFalseDenial: a request counts as falsely denied if it was
// executed more often than its other attempts can explain.
func TestIsUntrue(t *testing.T) {
	for _, c := range []struct {
		name       string
		attempts   attemptCounts
		executions int
		want       bool
	}{
		{"denied and never run", attemptCounts{denied: 2}, 0, false},
		{"denied and run", attemptCounts{denied: 1}, 1, true},
		{"denied first, run by a later attempt", attemptCounts{denied: 1, others: 1}, 1, false},
		{"charge denied first, run by a later attempt", attemptCounts{charge: true, denied: 1, others: 1}, 1, false},
		{"charge run by more than the later attempt", attemptCounts{charge: true, denied: 1, others: 1}, 2, true},
		{"retried by an entry host", attemptCounts{denied: 1, others: 1}, 2, false},
		{"never denied", attemptCounts{others: 1}, 3, false},
	} {
		if got := c.attempts.hasFalseDenial(c.executions); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
