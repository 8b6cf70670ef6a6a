package auditor_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
)

var _ = Describe("Auditor", func() {
	task := describer.TaskID{Job: "j"}
	start := time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var a *auditor.Auditor
	BeforeEach(func() { a = auditor.New() })

	It("accepts runs that follow each other", func() {
		a.RunStarted(task, "w1", at(0), at(10))
		a.RunEnded(task, "w1", at(1), auditor.Stopped)
		a.RunStarted(task, "w2", at(1), at(11))
		a.RunEnded(task, "w2", at(2), auditor.Completed)
		Expect(a.Report()).To(And(HaveField("Duplicated", 0), HaveField("Finished", 1), HaveField("Violations", BeEmpty())))
	})

	It("counts a task that runs on two workers once", func() {
		a.RunStarted(task, "w1", at(0), at(10))
		a.RunStarted(task, "w2", at(9), at(19))
		a.RunEnded(task, "w1", at(9), auditor.Completed)
		a.RunEnded(task, "w2", at(11), auditor.Completed)
		Expect(a.Report().Duplicated).To(Equal(1))
	})

	It("counts a task that starts after it completed, unless the completion was lost", func() {
		a.RunStarted(task, "w1", at(0), at(10))
		a.RunEnded(task, "w1", at(1), auditor.Completed)
		a.CompletionLost(task)
		a.RunStarted(task, "w2", at(2), at(12))
		Expect(a.Report().Duplicated).To(BeZero())
		a.RunEnded(task, "w2", at(3), auditor.Completed)
		a.RunStarted(task, "w3", at(4), at(14))
		Expect(a.Report().Duplicated).To(Equal(1))
	})

	It("counts a run that is renewed or completes after its lease expired", func() {
		a.RunStarted(task, "w1", at(0), at(10))
		a.RunRenewed(task, "w1", at(9), at(19))
		Expect(a.Report().Duplicated).To(BeZero())
		a.RunRenewed(task, "w1", at(19), at(29))
		Expect(a.Report().Duplicated).To(Equal(1))

		b := auditor.New()
		b.RunStarted(task, "w1", at(0), at(10))
		b.RunEnded(task, "w1", at(11), auditor.Completed)
		Expect(b.Report().Duplicated).To(Equal(1))
	})

	It("counts repeated requests unless they are idempotent", func() {
		a.RequestExecuted("r", "w1", true)
		a.RequestExecuted("r", "w1", true)
		Expect(a.Report().RepeatedRequests).To(BeZero())
		a.RequestExecuted("r", "w1", false)
		Expect(a.Report().RepeatedRequests).To(Equal(1))
		Expect(a.Executions("r")).To(Equal(3))
	})
})
