package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// maxValue is the largest value that the users' store takes, in bytes.
const maxValue = 1 << 20

// TestProgressOfLargeJobs has jobs of many tasks, of which all, or every second one, are done. It
// guards against progress that the store refuses for its size, and with it each other write of
// the shard, and against progress that a new owner reads differently.
func TestProgressOfLargeJobs(t *testing.T) {
	for _, one := range []struct {
		name               string
		occurrences, count int
		isDone             func(n int) bool
	}{
		{"500 tasks each second", 55, 500, func(int) bool { return true }},
		{"every second task of the largest job", specifier.MaxJobTasks / 10, 5, func(n int) bool { return n%2 == 0 }},
	} {
		t.Run(one.name, func(t *testing.T) {
			g := NewWithT(t)
			job := oneStep(one.count, nil)
			job.Steps = append(job.Steps, job.Steps[0])
			job.Repeat, job.First, job.Every = one.occurrences, epoch.Add(time.Hour), time.Second
			g.Expect(job.Validate()).To(Succeed())
			h := newHarness(specifier.Queue{Name: "menus", Slack: 2}, "w1")
			j := h.newJob(job)
			n := 0
			for _, st := range j.steps {
				for _, task := range st.tasks {
					if one.isDone(n) {
						h.markDone(task)
					}
					n++
				}
			}
			value := recorder.Encode(j.progress())
			g.Expect(len(value)).To(BeNumerically("<", maxValue))

			var progress recorder.Progress
			g.Expect(recorder.Decode(value, &progress)).To(Succeed())
			restored := h.newJob(job)
			h.restore(restored, progress)
			for i, st := range j.steps {
				g.Expect(restored.steps[i].completed).To(Equal(st.completed))
				for k, task := range st.tasks {
					if restored.steps[i].tasks[k].done != task.done {
						t.Fatalf("task %s is read as done: %t", task.id(), !task.done)
					}
				}
			}
			g.Expect(restored.remainingSteps).To(Equal(j.remainingSteps))
		})
	}
}
