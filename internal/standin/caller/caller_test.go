package caller

import "testing"

func TestIsUntrue(t *testing.T) {
	for _, c := range []struct {
		name       string
		tries      outcomes
		executions int
		untrue     bool
	}{
		{"denied and never run", outcomes{denied: 2}, 0, false},
		{"denied and run", outcomes{denied: 1}, 1, true},
		{"denied first, run by a later attempt", outcomes{denied: 1, others: 1}, 1, false},
		{"charge denied first, run by a later attempt", outcomes{charge: true, denied: 1, others: 1}, 1, false},
		{"charge run by more than the later attempt", outcomes{charge: true, denied: 1, others: 1}, 2, true},
		{"retried by an entry host", outcomes{denied: 1, others: 1}, 2, false},
		{"never denied", outcomes{others: 1}, 3, false},
	} {
		if got := c.tries.isUntrue(c.executions); got != c.untrue {
			t.Errorf("%s: %t, want %t", c.name, got, c.untrue)
		}
	}
}
