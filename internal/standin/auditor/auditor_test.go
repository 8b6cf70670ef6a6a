package auditor_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
)

var _ = Describe("Auditor", func() {
	task := describer.TaskID{Job: "j"}
	var a *auditor.Auditor
	BeforeEach(func() { a = auditor.New() })

	It("accepts runs that follow each other", func() {
		a.RunStarted(task, "w1")
		a.RunEnded(task, "w1", auditor.Stopped)
		a.RunStarted(task, "w2")
		a.RunEnded(task, "w2", auditor.Completed)
		Expect(a.Report()).To(And(HaveField("Duplicated", 0), HaveField("Finished", 1), HaveField("Violations", BeEmpty())))
	})

	It("counts a task that runs on two workers once", func() {
		a.RunStarted(task, "w1")
		a.RunStarted(task, "w2")
		a.RunEnded(task, "w1", auditor.Completed)
		a.RunEnded(task, "w2", auditor.Completed)
		Expect(a.Report().Duplicated).To(Equal(1))
	})

	It("counts a task that starts after it completed, unless the completion was lost", func() {
		a.RunStarted(task, "w1")
		a.RunEnded(task, "w1", auditor.Completed)
		a.CompletionLost(task)
		a.RunStarted(task, "w2")
		Expect(a.Report().Duplicated).To(BeZero())
		a.RunEnded(task, "w2", auditor.Completed)
		a.RunStarted(task, "w3")
		Expect(a.Report().Duplicated).To(Equal(1))
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
