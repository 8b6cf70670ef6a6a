package rotator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// shares lets flows that always wait use a resource for a while, and returns the time that
// each has had. durations has the duration of a use by flow.
func shares(turns *Turns[string], flows []string, durations map[string]time.Duration, total time.Duration) map[string]time.Duration {
	had := make(map[string]time.Duration)
	for used := time.Duration(0); used < total; {
		next := flows[0]
		for _, flow := range flows[1:] {
			if turns.Start(flow) < turns.Start(next) {
				next = flow
			}
		}
		turns.Begin(next, durations[next])
		had[next] += durations[next]
		used += durations[next]
	}
	return had
}

func TestSlowFlowGetsNoMoreTimeThanOthers(t *testing.T) {
	g := NewWithT(t)
	durations := map[string]time.Duration{"slow": 5 * time.Second, "fast": 300 * time.Millisecond}
	had := shares(new(Turns[string]), []string{"slow", "fast"}, durations, 100*time.Second)
	g.Expect(had["fast"]).To(BeNumerically("~", had["slow"], 5*time.Second))
}

func TestIdleFlowGetsNoCredit(t *testing.T) {
	g := NewWithT(t)
	var turns Turns[string]
	durations := map[string]time.Duration{"a": time.Second, "b": time.Second}
	shares(&turns, []string{"a"}, durations, 100*time.Second)
	had := shares(&turns, []string{"a", "b"}, durations, 10*time.Second)
	g.Expect(had["a"]).To(BeNumerically("~", had["b"], time.Second))
}

func TestFinishedFlowsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	var turns Turns[int]
	for flow := range 1000 {
		turns.Begin(flow, time.Millisecond)
		turns.Begin(-1, time.Second)
	}
	g.Expect(len(turns.finish)).To(BeNumerically("<", 1000))
}
