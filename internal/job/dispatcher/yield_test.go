package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestLastingTasksLeaveRoom replays the loss of a worker under load: its lasting
// tasks would fill what is left of the others, while jobs of short tasks go on
// arriving, twice as many as there is room for.
func TestLastingTasksLeaveRoom(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 5)
	const lasting = "00000000000000ff"
	w.submit(specifier.Job{ID: lasting, Steps: []specifier.Step{
		{Count: 16, Needs: resources(1000), Estimate: time.Minute, LongRunning: true},
	}})
	w.pass(3 * time.Second)
	g.Expect(w.running(lasting)).To(Equal(16))
	w.workers[0].registered = false
	w.workers[0].die()

	const jobs = 80
	for i := range jobs {
		w.submit(specifier.Job{ID: fmt.Sprintf("%016x", i), Steps: []specifier.Step{
			{Count: 2, Needs: resources(800), Estimate: 500 * time.Millisecond},
		}})
		w.pass(250 * time.Millisecond)
	}
	done := 0
	for i := range jobs {
		if w.store[fmt.Sprintf("%016x", i)].state == specifier.Succeeded {
			done++
		}
	}
	g.Expect(done).To(BeNumerically(">=", jobs*2/5), "short jobs that ended")
	g.Expect(w.running(lasting)).To(BeNumerically(">=", 14), "lasting tasks keep their share")

	// Once the short jobs have ended, no room stays idle for 3 s.
	w.pass(30 * time.Second)
	g.Expect(w.running(lasting)).To(Equal(16))
}

// running counts the runs of a job.
func (w *world) running(job string) int {
	n := 0
	for _, m := range w.workers {
		for id := range m.runs {
			if id.Job == job {
				n++
			}
		}
	}
	return n
}
