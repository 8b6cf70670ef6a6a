package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// BenchmarkTask measures one task from its job's arrival to the durable end, for
// several numbers of workers. 20 jobs of fillers that fit nowhere wait as well.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{16, 66, 160, 320} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			h := newHarness(specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}, workerNames(workers)...)
			addWaitingFillers(h)
			numbers := make(map[string]int64)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				job := oneStep(1, nil)
				job.ID = fmt.Sprintf("%016x", i)
				job.Accepted = h.now
				h.feed(JobArrived{Job: job})
				start := takeEffects[StartRun](h)[0]
				h.effects = h.effects[:0]
				h.feed(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: start.Run})
				h.now = h.now.Add(50 * time.Millisecond)
				numbers[start.Worker.ID]++
				h.feed(PollAnswered{Worker: start.Worker.ID, Sent: h.now, Inventory: specifier.Inventory{
					Incarnation: 1, Clock: h.now.Sub(epoch),
					Ended: []specifier.End{{Number: numbers[start.Worker.ID], Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeDone}},
				}})
				h.feed(OwnershipChecked{Confirmed: true})
				h.effects = h.effects[:0]
			}
		})
	}
}

func workerNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("w%03d", i)
	}
	return out
}

// addWaitingFillers adds jobs of fillers that fit on no worker.
func addWaitingFillers(h *harness) {
	for i := range 20 {
		job := oneStep(8, func(s *specifier.Step) {
			s.Filler = true
			s.Needs = describer.Resources{CPU: 10 * workerCPU, Memory: 1}
		})
		job.ID = fmt.Sprintf("f%015x", i)
		h.feed(JobArrived{Job: job})
	}
}
