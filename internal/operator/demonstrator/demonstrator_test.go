package demonstrator_test

import (
	"context"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/operator/demonstrator"
)

var _ = Describe("Run", func() {
	run := func(o demonstrator.Options) (demonstrator.Report, error) {
		return demonstrator.Run(context.Background(), o, io.Discard, io.Discard)
	}

	It("rejects unknown faults and too short runs", func() {
		_, err := run(demonstrator.Options{Seconds: 10, Fault: "flood"})
		Expect(err).To(MatchError(ContainSubstring("flood")))
		_, err = run(demonstrator.Options{Seconds: 1})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Report", func() {
	It("isn't OK if any invariant is violated", func() {
		Expect(demonstrator.Report{Restored: true}.OK()).To(BeTrue())
		Expect(demonstrator.Report{}.OK()).To(BeFalse())
		for _, r := range []demonstrator.Report{
			{WrongResponses: 1}, {CutRequests: 1}, {Duplicated: 1}, {FalseNotRun: 1}, {LostJobs: 1}, {Overcommitted: 1}, {LateRequests: 1},
		} {
			r.Restored = true
			Expect(r.OK()).To(BeFalse())
		}
	})
})

// TestKilledHosts checks that killing an entry host and a worker violates no
// invariant.
func TestKilledHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("a run takes about 15 seconds")
	}
	o := demonstrator.Options{Seed: 1, Seconds: 6, Fault: demonstrator.FaultKill}
	report, err := demonstrator.Run(context.Background(), o, io.Discard, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Violations) > 0 || !report.OK() || report.DoneJobs == 0 {
		t.Fatalf("%d jobs done, restored %t, violations %q", report.DoneJobs, report.Restored, report.Violations)
	}
}
