package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestLastingTasksLeaveRoom guards against long-running tasks that take all
// room from short ones. A worker is lost under load: its long-running tasks
// would fill the others, while short jobs keep arriving, twice as many as fit.
func TestLastingTasksLeaveRoom(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, 1, 5)
	const longRunning = "00000000000000ff"
	s.submit(specifier.Job{ID: longRunning, Steps: []specifier.Step{
		{Count: 16, Needs: resources(1000), Estimate: time.Minute, LongRunning: true},
	}})
	s.advance(3 * time.Second)
	g.Expect(s.running(longRunning)).To(Equal(16))
	s.workers[0].registered = false
	s.workers[0].crash()

	const jobs = 80
	for i := range jobs {
		s.submit(specifier.Job{ID: fmt.Sprintf("%016x", i), Steps: []specifier.Step{
			{Count: 2, Needs: resources(800), Estimate: 500 * time.Millisecond},
		}})
		s.advance(250 * time.Millisecond)
	}
	done := 0
	for i := range jobs {
		if s.store[fmt.Sprintf("%016x", i)].state == specifier.Succeeded {
			done++
		}
	}
	g.Expect(done).To(BeNumerically(">=", jobs*2/5), "short jobs that succeeded")
	g.Expect(s.running(longRunning)).To(BeNumerically(">=", 14), "long-running tasks keep their share")

	// After the short jobs have ended, the long-running tasks get all room back.
	s.advance(30 * time.Second)
	g.Expect(s.running(longRunning)).To(Equal(16))
}

// running returns the number of runs of a job.
func (s *simulation) running(job string) int {
	n := 0
	for _, m := range s.workers {
		for id := range m.runs {
			if id.Job == job {
				n++
			}
		}
	}
	return n
}
