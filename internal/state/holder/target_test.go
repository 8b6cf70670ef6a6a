package holder_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// The stated target, for all daemons together.
const (
	startRate       = 3400.0 // task starts per second
	totalShards     = 110    // ten in each of 11 failure domains
	maxWriteRate    = 300.0  // store writes per second, the low end of the several hundred that a store handles
	recordsPerStart = 3      // the start, the finish, and a share of the job and resize records
)

var _ = Describe("Holder under the target load", func() {
	It("writes the records of all task starts within the write rate of the store", virtual(func() {
		const seconds = 60
		s := faker.New()
		a := start(s, "a")
		defer a.stop()
		a.SetShardCount(totalShards)
		a.client.SetDelay(func(faker.Call) time.Duration { return 5 * time.Millisecond })
		a.claim()
		before := a.StoreCalls()
		rate := startRate / totalShards
		batches := int64(rate * seconds * recordsPerStart)
		for i := range batches {
			a.append(1, i+1, "job")
			time.Sleep(time.Duration(float64(time.Second) / rate / recordsPerStart))
		}
		time.Sleep(time.Second)
		Expect(a.takeEvents()).To(HaveLen(int(batches)))
		calls := a.StoreCalls()
		swaps := float64(calls["swap"]-before["swap"]) / seconds * totalShards
		renewals := float64(calls["renew"]-before["renew"]) / seconds * totalShards
		reads := float64(calls["get"]-before["get"]) / seconds * totalShards
		AddReportEntry("store calls per second of the fleet", fmt.Sprintf(
			"segments %.0f, renewals %.0f, reads %.0f; %.1f records per segment",
			swaps, renewals, reads, startRate*recordsPerStart/swaps))
		Expect(swaps + renewals).To(BeNumerically("<", maxWriteRate))
		Expect(reads).To(BeNumerically("<", 2))
	}))

	It("hands a dead owner's shard to the next owner within two TTLs", virtual(func() {
		s := faker.New()
		a, b := start(s, "a"), start(s, "b")
		defer b.stop()
		defer a.stop()
		a.claim()
		for i := range int64(1000) {
			a.append(1, i+1, "job")
		}
		time.Sleep(10 * time.Second)
		b.client.SetDelay(func(faker.Call) time.Duration { return 5 * time.Millisecond })
		a.client.SetDown(true)
		died := time.Now()
		for {
			if _, ok := b.claim().(reducer.ShardClaimed); ok {
				break
			}
		}
		took := time.Since(died)
		AddReportEntry("virtual time from a crash to ShardClaimed", took.String())
		Expect(took).To(BeNumerically("<", 20*time.Second))
	}))
})
