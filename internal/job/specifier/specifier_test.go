package specifier_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// valid returns a valid job with two steps.
func valid() specifier.Job {
	return specifier.Job{ID: "5c0e7a21d94b36f8", Steps: []specifier.Step{
		{Count: 2, Needs: describer.Resources{CPU: 500}, Estimate: time.Second},
		{Count: 3, Estimate: 2 * time.Second, After: []int{0}},
	}}
}

// fieldOf returns the field of a *specifier.FieldError, or "".
func fieldOf(err error) string {
	var field *specifier.FieldError
	if !errors.As(err, &field) {
		return ""
	}
	return field.Field
}

var _ = Describe("Validate", func() {
	It("accepts a valid job", func() {
		job := valid()
		Expect(job.Validate()).To(Succeed())
		Expect(job.CriticalPath(job.Estimates())).To(Equal(3 * time.Second))
		Expect(job.Paths(job.Estimates())[0]).To(Equal(3 * time.Second))
		Expect(job.Paths(job.Estimates())[len(job.Steps)-1]).To(Equal(job.Steps[len(job.Steps)-1].Estimate))
	})

	DescribeTable("reports the invalid field", func(change func(*specifier.Job), field string) {
		job := valid()
		change(&job)
		Expect(fieldOf(job.Validate())).To(Equal(field))
	},
		Entry("short id", func(j *specifier.Job) { j.ID = "5c0e" }, "id"),
		Entry("id with other characters", func(j *specifier.Job) { j.ID = "5c0e7a21d94b36fz" }, "id"),
		Entry("no steps", func(j *specifier.Job) { j.Steps = nil }, "steps"),
		Entry("long payload", func(j *specifier.Job) { j.Payload = string(make([]byte, specifier.MaxPayload+1)) }, "payload"),
		Entry("a step that depends on itself", func(j *specifier.Job) { j.Steps[1].After = []int{1} }, "steps[1].after"),
		Entry("a step that depends on a later one, which could be a cycle", func(j *specifier.Job) { j.Steps[0].After = []int{1} }, "steps[0].after"),
		Entry("an unknown step", func(j *specifier.Job) { j.Steps[1].After = []int{7} }, "steps[1].after"),
		Entry("no tasks", func(j *specifier.Job) { j.Steps[0].Count = 0 }, "steps[0].count"),
		Entry("negative needs", func(j *specifier.Job) { j.Steps[0].Needs.CPU = -1 }, "steps[0].needs"),
		Entry("more occurrences than an owner can hold", func(j *specifier.Job) { j.Repeat = specifier.MaxJobTasks/5 + 1 }, "repeat"),
		Entry("negative repetitions", func(j *specifier.Job) { j.Repeat = -1 }, "repeat"),
	)
})

var _ = Describe("CallTime", func() {
	It("counts negative times as none", func() {
		a := specifier.Advice{RequestTime: -time.Second, PerWorkerTime: 50 * time.Millisecond}
		Expect(a.CallTime(3)).To(Equal(150 * time.Millisecond))
		a = specifier.Advice{RequestTime: time.Second, PerWorkerTime: -time.Hour}
		Expect(a.CallTime(3)).To(Equal(time.Second))
	})
})

var _ = Describe("TaskAt", func() {
	It("counts the tasks by occurrence, step and index", func() {
		job := valid()
		job.Repeat = 2
		var ids []string
		for ordinal := range 2 * job.TaskCount() {
			id, ok := job.TaskAt(ordinal)
			Expect(ok).To(BeTrue())
			ids = append(ids, id.String()[len(job.ID)+1:])
		}
		Expect(ids).To(Equal([]string{"0.0.0", "0.0.1", "0.1.0", "0.1.1", "0.1.2", "1.0.0", "1.0.1", "1.1.0", "1.1.1", "1.1.2"}))
	})

	It("returns false for other numbers", func() {
		job := valid()
		for _, ordinal := range []int{-1, job.TaskCount()} {
			_, ok := job.TaskAt(ordinal)
			Expect(ok).To(BeFalse())
		}
	})
})

var _ = Describe("TaskID", func() {
	It("is parsed from its text form", func() {
		id := specifier.TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 17}
		Expect(id.String()).To(Equal("5c0e7a21d94b36f8.1.2.17"))
		Expect(specifier.ParseTaskID(id.String())).To(Equal(id))
	})

	It("isn't parsed if malformed", func() {
		for _, text := range []string{"", "a.1.2", "a.1.2.x", "a.1.2.-3", "a.1.2.3.4"} {
			_, err := specifier.ParseTaskID(text)
			Expect(err).To(HaveOccurred(), text)
		}
	})
})

var _ = Describe("Catalog", func() {
	It("matches the longest prefix of the host", func() {
		c := specifier.Catalog{Queues: []specifier.Queue{
			{Name: "short", Hostname: "a.example", Prefix: "/q/"},
			{Name: "long", Hostname: "a.example", Prefix: "/q/deep/"},
			{Name: "other", Hostname: "b.example", Prefix: "/q/deep/er/"},
		}}
		q, ok := c.Match("a.example", "/q/deep/er/1")
		Expect(ok).To(BeTrue())
		Expect(q.Name).To(Equal("long"))
		_, ok = c.Match("a.example", "/elsewhere/1")
		Expect(ok).To(BeFalse())
	})
})
