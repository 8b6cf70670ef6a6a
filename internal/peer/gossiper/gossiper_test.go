package gossiper_test

import (
	"fmt"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/gossiper"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// inVirtualTime returns a spec that runs f with the virtual time of testing/synctest.
func inVirtualTime(f func()) func() { return faker.WithVirtualTime(&currentTest, f) }

// cluster is a set of gossipers on a simulated network. The name of each, which is
// also its address, has the form domain/number.
type cluster struct {
	network      *faker.Network
	hosts        map[string]*gossiper.Gossiper
	stoppedBytes int64 // bytes sent by stopped hosts

	mu             sync.Mutex
	latestRevision map[string]int64 // revision that Options.Seen last reported to each host
}

func newCluster() *cluster {
	return &cluster{
		network:        faker.NewNetwork(),
		hosts:          map[string]*gossiper.Gossiper{},
		latestRevision: map[string]int64{},
	}
}

// start starts a gossiper with the given name. Its seed depends on the number of
// hosts in the cluster.
func (c *cluster) start(name string, seeds ...string) *gossiper.Gossiper {
	domain, _, _ := strings.Cut(name, "/")
	g := gossiper.New(gossiper.Options{
		Self:  reducer.Peer{Name: name, Domain: domain, Region: "r", Address: name},
		Seeds: seeds,
		Seed:  uint64(len(c.hosts) + 1),
		Seen: func(_ string, revision int64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.latestRevision[name] = revision
		},
		Log: zerolog.Nop(),
	}, c.network.AddNode(name), func([]reducer.Peer) {})
	c.hosts[name] = g
	return g
}

// startAll starts n gossipers in three failure domains, with d0/0 as seed.
func (c *cluster) startAll(n int) {
	for i := range n {
		c.start(fmt.Sprintf("d%d/%d", i%3, i), "d0/0")
	}
}

// stop takes a gossiper off the network and closes it, without Leave.
func (c *cluster) stop(name string) {
	c.network.RemoveNode(name)
	c.hosts[name].Close()
	<-c.hosts[name].Done
	c.stoppedBytes += c.hosts[name].Sent()
	delete(c.hosts, name)
}

func (c *cluster) stopAll() {
	for name := range c.hosts {
		c.stop(name)
	}
}

// views returns, for each host, the names of the members that it knows, sorted and
// joined with commas. Leaving members are marked.
func (c *cluster) views() map[string]string {
	synctest.Wait()
	out := map[string]string{}
	for name, g := range c.hosts {
		var names []string
		for _, p := range g.Alive() {
			if p.Leaving {
				p.Name += " leaving"
			}
			names = append(names, p.Name)
		}
		out[name] = strings.Join(names, ",")
	}
	return out
}

var _ = Describe("Gossiper", func() {
	It("finds all members through one seed, and removes a dead one", inVirtualTime(func() {
		c := newCluster()
		defer c.stopAll()
		c.startAll(4)
		time.Sleep(20 * time.Second)
		Expect(c.views()).To(HaveEach("d0/0,d0/3,d1/1,d2/2"))
		c.stop("d1/1")
		time.Sleep(15 * time.Second)
		Expect(c.views()).To(HaveEach("d0/0,d0/3,d2/2"))
	}))

	It("lists a leaving member as leaving at once, and removes it without suspicion", inVirtualTime(func() {
		c := newCluster()
		defer c.stopAll()
		c.startAll(4)
		time.Sleep(20 * time.Second)
		c.hosts["d0/3"].Leave()
		Expect(c.views()).To(HaveEach(ContainSubstring("d0/3 leaving")))
		c.stop("d0/3")
		time.Sleep(4 * time.Second)
		Expect(c.views()).To(HaveEach("d0/0,d1/1,d2/2"))
	}))

	It("finds members through the host list", inVirtualTime(func() {
		c := newCluster()
		defer c.stopAll()
		c.start("a/1")
		c.start("a/2").UpdateHosts([]describer.Host{{Role: describer.Entry, State: describer.Live, Control: "a/1"}})
		time.Sleep(3 * time.Second)
		Expect(c.views()).To(HaveEach("a/1,a/2"))
	}))

	It("prefers the address in the host list, also after an update from the member", inVirtualTime(func() {
		c := newCluster()
		defer c.stopAll()
		c.startAll(2)
		time.Sleep(5 * time.Second)
		c.hosts["d0/0"].UpdateHosts([]describer.Host{{Name: "d1/1", Role: describer.Entry, State: describer.Live, Control: "relay"}})
		address := func() string { return c.hosts["d0/0"].Alive()[1].Address }
		Expect(address()).To(Equal("relay"))
		c.hosts["d1/1"].SetShards([]string{"s"})
		time.Sleep(3 * time.Second)
		Expect(c.hosts["d0/0"].Alive()[1].Shards).To(HaveLen(1))
		Expect(address()).To(Equal("relay"))
	}))

	It("reports no change when the shards stay the same", inVirtualTime(func() {
		network, reports := faker.NewNetwork(), 0
		g := gossiper.New(gossiper.Options{Self: reducer.Peer{Name: "a"}, Log: zerolog.Nop()}, network.AddNode("a"),
			func([]reducer.Peer) { reports++ })
		defer g.Close()
		for range 3 {
			g.SetShards([]string{"s"})
			synctest.Wait()
		}
		Expect(reports).To(BeNumerically("<=", 2))
	}))
})
