package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAdviceInLoadAndObjective guards against load summaries and objectives that leave out the
// time of placement advice.
func TestAdviceInLoadAndObjective(t *testing.T) {
	g := NewWithT(t)
	queue := advisedQueue("menus", 2*time.Second, 100*time.Millisecond, 5*time.Second)
	a := newAdvisedShard(t, 8, queue)
	for i := range 3 {
		a.submit(i, "menus", 2, nil)
	}
	g.Expect(a.h.summarize().AdviceBacklog).To(Equal(3 * queue.Advice.CallTime(2)))
	j := a.h.jobs["0000000000000000"]
	g.Expect(j.objective.Sub(j.spec.Accepted)).To(Equal(2*(time.Second+queue.Advice.CallTime(30)) + queue.Completion))
	a.run(20 * time.Second)
	g.Expect(a.h.summarize().AdviceBacklog).To(BeZero())
}
