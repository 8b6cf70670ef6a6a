package manager

import (
	"testing"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

func TestSlowestFillers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(slowestFillers(nil)).To(BeNil())
	loads := []recorder.FillerLoad{
		{Image: "much", Work: 900, CPU: 300},
		{Image: "slow", Work: 400, CPU: 50},
		{Image: "unknown", Work: 0, CPU: 0},
	}
	g.Expect(slowestFillers(loads).Image).To(Equal("slow"))
}
