package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestRejectedTicket has tickets that are expired when the start arrives. It guards against
// starts that are repeated with a ticket that a worker has rejected, and a flood of requests.
func TestRejectedTicket(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	h := newHarness(advisedQueue("menus", 100*time.Millisecond, 0, 5*time.Second), "w1", "w2")
	h.feed(JobArrived{Job: oneStep(1, nil)})
	requests, starts := 0, 0
	for range 1000 { // 10 s
		for _, r := range takeEffects[RequestAdvice](h) {
			requests++
			h.feed(AdviceAnswered{Number: r.Number, Step: r.Step, Requested: r.Workers, Validity: 5 * time.Second, Tickets: []Ticket{{r.Workers[0].ID, fmt.Sprint(r.Number)}}})
		}
		for _, o := range takeEffects[StartRun](h) {
			starts++
			g.Expect(requests).To(BeNumerically(">=", starts), "each ticket is used once")
			h.feed(StartAnswered{Worker: o.Worker.ID, Incarnation: 1, Task: o.Task, Run: o.Run, Fault: InvalidTicket})
		}
		for _, o := range takeEffects[PollWorker](h) {
			h.feed(PollAnswered{Worker: o.Worker.ID, Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch)}})
		}
		h.advance(adviceStep)
	}
	g.Expect(starts).To(And(BeNumerically(">", 2), BeNumerically("<", 10)))
}
