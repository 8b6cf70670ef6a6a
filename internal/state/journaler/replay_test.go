package journaler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

var _ = Describe("Ledger opened from another region", func() {
	// Urgent work must start within 6.8 s; the replay may take a third of that.
	const replayLimit = 6800 * time.Millisecond / 3

	It("replays many segments in a few round trips", virtual(func() {
		store := faker.New()
		a := open(store.Client("a"))
		for batch := range int64(300) {
			a.write(batch + 1)
		}
		a.stop()
		remote := store.Client("b")
		remote.SetDelay(func(faker.Call) time.Duration { return 60 * time.Millisecond })
		began := time.Now()
		b := open(remote)
		defer b.stop()
		Expect(b.content.Records).To(HaveLen(300))
		Expect(time.Since(began)).To(BeNumerically("<", replayLimit))
	}))
})
