package distributor_test

import (
	"fmt"
	"strings"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/state/distributor"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// The stated target.
const (
	inForce    = 19 * time.Second
	changeRate = 15_000.0 / 86_400 // a second
	budget     = 3000.0            // bytes a second for control, of which a third may go here
)

var _ = Describe("Distributor at the target", func() {
	var f *fleet
	regions := func(domains, hosts int) {
		var names []string
		for d := range domains {
			for h := range hosts {
				names = append(names, fmt.Sprintf("d%d/%d", d, h))
			}
		}
		f.start(names...)
		for _, h := range f.hosts {
			h.client.SetDelay(func(faker.Call) time.Duration { return 5 * time.Millisecond })
		}
	}
	// force returns the virtual time until every host has the revision.
	force := func(revision int64) time.Duration {
		began := time.Now()
		for {
			behind := 0
			for _, r := range f.revisions() {
				if r < revision {
					behind++
				}
			}
			if behind == 0 || time.Since(began) > time.Minute {
				return time.Since(began)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	edit := func(c describer.Configuration) (describer.Configuration, error) {
		for i := range 480 {
			c.Teams = append(c.Teams, describer.Team{Name: fmt.Sprintf("team-%03d", i), Weight: 1})
		}
		for i := range 400 {
			c.Shards = append(c.Shards, describer.Shard{ID: fmt.Sprintf("shard-%03d", i), Domain: "d", Racks: strings.Fields("r1 r2 r3 r4 r5 r6 r7 r8")})
		}
		return c, nil
	}

	It("is in force everywhere in time, with the store up and cut off for most", virtual(func() {
		f = newFleet()
		defer f.stopAll()
		regions(11, 5)
		_, err := f.hosts["d0/0"].Propose(ctx, edit)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(30 * time.Second)
		f.propose("d0/0", "one")
		up := force(2)
		for name, h := range f.hosts {
			h.client.SetDown(name[:2] != "d0")
		}
		time.Sleep(30 * time.Second)
		f.propose("d0/0", "two")
		f.heartbeats() // within some seconds of each other
		cut := force(3)
		AddReportEntry("virtual time until in force at 55 hosts", fmt.Sprintf("store up %s, cut off for 10 of 11 domains %s after a heartbeat", up, cut))
		Expect(up).To(BeNumerically("<", inForce))
		Expect(cut).To(BeNumerically("<", inForce))
		f.neverReverts()
	}))

	It("relays within its share of the budget", virtual(func() {
		f = newFleet()
		defer f.stopAll()
		regions(1, 12)
		_, err := f.hosts["d0/0"].Propose(ctx, edit)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(30 * time.Second)
		before := f.sent()
		const changes = 45
		largest := 0
		for i := range changes {
			f.propose("d0/0", fmt.Sprint("team ", i))
			largest = max(largest, len(f.store.Items(distributor.DocumentKey)[0].Value))
			time.Sleep(5 * time.Second)
		}
		most := 0.0
		for name, n := range f.sent() {
			most = max(most, float64(n-before[name])/changes*changeRate)
		}
		watch := float64(largest) * changeRate
		AddReportEntry("bytes a second at 12 hosts of one domain", fmt.Sprintf("relay, busiest host %.0f; watch, at most %.0f", most, watch))
		Expect(largest).To(BeNumerically("<", 5000))
		Expect(most + watch).To(BeNumerically("<", budget/2))
	}))
})

func (f *fleet) sent() map[string]int64 {
	synctest.Wait()
	out := map[string]int64{}
	for name := range f.hosts {
		out[name] = f.network.NodeAt(name).SentBytes()
	}
	return out
}
