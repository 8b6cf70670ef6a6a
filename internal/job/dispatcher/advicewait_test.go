package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestWaitForAdviceIsReported has a step whose advice is never answered, and one that the adviser
// allows nowhere. It guards against steps that wait in silence.
func TestWaitForAdviceIsReported(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	reasonsAfter := func(a *advisedShard) []string {
		var reasons []string
		for range 400 { // 4 s
			a.h.advance(adviceStep)
			a.endRuns()
			a.answerPolls()
			a.answerRequests()
			for _, line := range takeEffects[Log](a.h) {
				if line.Message == "task waiting for advice" {
					reasons = append(reasons, line.Reason)
				}
			}
			for a.execute() {
			}
		}
		return reasons
	}
	queue := advisedQueue("menus", 300*time.Millisecond, 15*time.Millisecond, 5*time.Second)
	a := newAdvisedShard(t, 2, queue)
	a.lost = 1
	a.submit(1, "menus", 1, nil)
	g.Expect(reasonsAfter(a)).To(ConsistOf("advice"))
	a = newAdvisedShard(t, 2, queue)
	a.refused["w000"], a.refused["w001"] = true, true
	a.submit(1, "menus", 1, nil)
	g.Expect(reasonsAfter(a)).To(ConsistOf("refused"))
}
