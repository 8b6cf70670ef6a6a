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

// TestProgressWithUnknownTasks has progress whose ranges name no task of the job. It guards against
// a task that counts as done by a record that doesn't name it, and an owner that never gets to
// the end of a range.
func TestProgressWithUnknownTasks(t *testing.T) {
	for name, done := range map[string]recorder.Ranges{
		"negative":           {{-3, -1}},
		"beyond the last":    {{3, 3}},
		"without an end":     {{3, 1 << 62}},
		"backwards":          {{2, 1}},
		"begins before zero": {{-1 << 62, -1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(specifier.Queue{Name: "menus", Slack: 2}, "w1")
			j := h.newJob(oneStep(3, nil))
			h.restore(j, recorder.Progress{Done: done})
			g.Expect(j.steps[0].completed).To(BeZero())
		})
	}
}

// TestProgressOfSmallerJobs has the most completed tasks whose progress has no ranges, each proven.
// It guards against a limit for the ranges at which the store refuses what comes before it.
func TestProgressOfSmallerJobs(t *testing.T) {
	g := NewWithT(t)
	job := oneStep(compactFrom/15, nil)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Repeat, job.First, job.Every = 15, epoch.Add(time.Hour), time.Second
	h := newHarness(specifier.Queue{Name: "menus", Slack: 2}, "w1")
	j := h.newJob(job)
	n := 0
	for _, st := range j.steps {
		for _, task := range st.tasks {
			if n++; n < compactFrom {
				task.wasProven = true
				h.markDone(task)
			}
		}
	}
	progress := j.progress()
	g.Expect(progress.Done).To(BeEmpty())
	g.Expect(len(recorder.Encode(progress))).To(BeNumerically("<", maxValue))
}
