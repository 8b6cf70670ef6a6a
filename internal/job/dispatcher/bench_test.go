package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// BenchmarkTask is one task from its job's arrival to the durable end, with 20
// jobs of fillers waiting behind it, by the number of workers.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{16, 66, 160, 320} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			d := newDesk(specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}, names(workers)...)
			fill(d)
			numbers := make(map[string]int64)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				job := oneStep(1, nil)
				job.ID = fmt.Sprintf("%016x", i)
				job.Accepted = d.now
				d.do(JobArrived{Job: job})
				start := taken[StartRun](d)[0]
				d.effects = d.effects[:0]
				d.do(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: start.Run})
				d.now = d.now.Add(50 * time.Millisecond)
				numbers[start.Worker.ID]++
				d.do(PollAnswered{Worker: start.Worker.ID, Sent: d.now, Inventory: specifier.Inventory{
					Incarnation: 1, Clock: d.now.Sub(epoch),
					Ended: []specifier.End{{Number: numbers[start.Worker.ID], Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeDone}},
				}})
				d.do(OwnershipChecked{Confirmed: true})
				d.effects = d.effects[:0]
			}
		})
	}
}

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("w%03d", i)
	}
	return out
}

// fill lets jobs wait that fit nowhere.
func fill(d *desk) {
	for i := range 20 {
		job := oneStep(8, func(s *specifier.Step) {
			s.Filler = true
			s.Needs = describer.Resources{CPU: 10 * workerCPU, Memory: 1}
		})
		job.ID = fmt.Sprintf("f%015x", i)
		d.do(JobArrived{Job: job})
	}
}
