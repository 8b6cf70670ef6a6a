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
	installLimit  = 19 * time.Second  // time until a change is installed at all hosts
	changeRate    = 15_000.0 / 86_400 // changes per second
	controlBudget = 3000.0            // bytes per second of all control traffic; a third is for the configuration
)

var _ = Describe("Distributor under the target load", func() {
	var f *fleet
	startHosts := func(domains, hosts int) {
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
	// timeUntil returns the virtual time until all hosts have installed the
	// revision, at most about a minute.
	timeUntil := func(revision int64) time.Duration {
		start := time.Now()
		for {
			behind := 0
			for _, r := range f.revisions() {
				if r < revision {
					behind++
				}
			}
			if behind == 0 || time.Since(start) > time.Minute {
				return time.Since(start)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// addTeamsAndShards is an edit that makes the configuration as large as the
	// target says.
	addTeamsAndShards := func(c describer.Configuration) (describer.Configuration, error) {
		for i := range 480 {
			c.Teams = append(c.Teams, describer.Team{Name: fmt.Sprintf("team-%03d", i), Weight: 1})
		}
		for i := range 400 {
			c.Shards = append(c.Shards, describer.Shard{ID: fmt.Sprintf("shard-%03d", i), Domain: "d", Racks: strings.Fields("r1 r2 r3 r4 r5 r6 r7 r8")})
		}
		return c, nil
	}

	It("installs changes in time when the store is up, and when most domains cannot reach it", virtual(func() {
		f = newFleet()
		defer f.stopAll()
		startHosts(11, 5)
		_, err := f.hosts["d0/0"].Propose(ctx, addTeamsAndShards)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(30 * time.Second)
		f.propose("d0/0", "one")
		up := timeUntil(2)
		for name, h := range f.hosts {
			h.client.SetDown(name[:2] != "d0")
		}
		time.Sleep(30 * time.Second)
		f.propose("d0/0", "two")
		f.heartbeats() // heartbeats are at most a few seconds apart
		partitioned := timeUntil(3)
		AddReportEntry("virtual time until installed at 55 hosts", fmt.Sprintf("store up %s, 10 of 11 domains partitioned from the store %s after a heartbeat", up, partitioned))
		Expect(up).To(BeNumerically("<", installLimit))
		Expect(partitioned).To(BeNumerically("<", installLimit))
		f.expectNoRevert()
	}))

	It("relays changes within its share of the control traffic budget", virtual(func() {
		f = newFleet()
		defer f.stopAll()
		startHosts(1, 12)
		_, err := f.hosts["d0/0"].Propose(ctx, addTeamsAndShards)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(30 * time.Second)
		before := f.sentBytes()
		const changes = 45
		largest := 0
		for i := range changes {
			f.propose("d0/0", fmt.Sprint("team ", i))
			largest = max(largest, len(f.store.Items(distributor.DocumentKey)[0].Value))
			time.Sleep(5 * time.Second)
		}
		maxRelayed := 0.0
		for name, n := range f.sentBytes() {
			maxRelayed = max(maxRelayed, float64(n-before[name])/changes*changeRate)
		}
		watched := float64(largest) * changeRate
		AddReportEntry("bytes per second at 12 hosts of one domain", fmt.Sprintf("relay, busiest host %.0f; watch, at most %.0f", maxRelayed, watched))
		Expect(largest).To(BeNumerically("<", 5000))
		Expect(maxRelayed + watched).To(BeNumerically("<", controlBudget/2))
	}))
})

// sentBytes returns the bytes that each host has sent.
func (f *fleet) sentBytes() map[string]int64 {
	synctest.Wait()
	out := map[string]int64{}
	for name := range f.hosts {
		out[name] = f.network.NodeAt(name).SentBytes()
	}
	return out
}
