package timer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLimitsGrowByKind guards against reads that never complete because their limit stays
// shorter than a busy link needs, and against one kind of read changing another's limit.
func TestLimitsGrowByKind(t *testing.T) {
	g := NewWithT(t)
	var timeouts Group
	limits := make([]time.Duration, 0, 4)
	for range 4 {
		limits = append(limits, timeouts.Limit("a"))
		timeouts.Expired("a")
	}
	g.Expect(limits).To(Equal([]time.Duration{Min, 2 * Min, Max, Max}))
	g.Expect(timeouts.Limit("b")).To(Equal(Min))
	timeouts.Answered("a")
	g.Expect(timeouts.Limit("a")).To(Equal(Min))
}
