package divider

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// fleet describes a service and its entry hosts, the same in each failure domain.
type fleet struct {
	name    string
	domains []string // REGION-DOMAIN
	workers int      // in each failure domain
	rack    int      // workers of a rack
	hosts   []Host   // in each failure domain
}

func (f *fleet) racks() []Rack {
	var out []Rack
	for _, domain := range f.domains {
		for left, n := f.workers, 1; left > 0; left, n = left-f.rack, n+1 {
			out = append(out, Rack{
				Name: fmt.Sprintf("%s/r%d", domain, n), Domain: domain, Region: regionOf(domain), Workers: min(left, f.rack),
			})
		}
	}
	return out
}

func (f *fleet) allHosts() []Host {
	var out []Host
	for _, domain := range f.domains {
		for i, h := range f.hosts {
			h.Name, h.Domain, h.Region = fmt.Sprintf("%s-%d", domain, i), domain, regionOf(domain)
			out = append(out, h)
		}
	}
	return out
}

func regionOf(domain string) string {
	region, _, _ := strings.Cut(domain, "-")
	return region
}

// hosts returns n hosts.
func hosts(n int, millicores, kilobits int64) []Host {
	return slices.Repeat([]Host{{CPU: millicores, Link: kilobits}}, n)
}

var (
	three = []string{"seq-bne", "seq-gc", "fnq-cns"}
	six   = []string{"seq-bne", "seq-gc", "seq-sc", "fnq-cns", "fnq-tsv", "fnq-pd"}
)

var fleets = []fleet{
	{name: "48 workers, 6 hosts", domains: three, workers: 16, rack: 8, hosts: hosts(2, 160, 1_000_000)},
	{name: "120 workers, 18 weak hosts", domains: six, workers: 20, rack: 20, hosts: hosts(3, 69, 2000)},
	{name: "350 workers, 42 hosts, strong and weak", domains: six, workers: 58, rack: 20, hosts: append(hosts(1, 800, 200_000), hosts(6, 110, 10_000)...)},
	{name: "1100 workers, 144 hosts, strong and weak", domains: six, workers: 183, rack: 20, hosts: append(hosts(3, 800, 200_000), hosts(21, 110, 20_000)...)},
	{name: "1100 workers, 144 weak hosts", domains: six, workers: 183, rack: 20, hosts: hosts(24, 110, 20_000)},
	{name: "27000 workers, 4700 hosts", domains: []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2", "d-1", "d-2", "e-1", "e-2", "e-3"}, workers: 2455, rack: 40, hosts: hosts(427, 110, 20_000)},
}

// describe lists how many shards there are of each size in each failure domain or
// region, with the name of one of them.
func describe(shards []Shard) string {
	type size struct {
		domain, region string
		workers, racks int
	}
	count := make(map[size]int)
	name := make(map[size]string)
	var sizes []size
	for _, s := range shards {
		key := size{s.Domain, s.Region, s.Workers, len(s.Racks)}
		if count[key] == 0 {
			sizes = append(sizes, key)
		}
		count[key]++
		name[key] = s.Name
	}
	var out strings.Builder
	for _, key := range sizes {
		fmt.Fprintf(&out, "  %d of %d workers in %d racks, like %s\n", count[key], key.workers, key.racks, name[key])
	}
	return out.String()
}

func TestGoldenDivisions(t *testing.T) {
	var out strings.Builder
	for _, f := range fleets {
		shards := Divide("desk", f.racks(), f.allHosts())
		fmt.Fprintf(&out, "%s:\n%s", f.name, describe(shards))
		fmt.Fprintf(&out, "  load of the busiest host: %.2f; with a shard for each rack %.2f, for each failure domain %.2f, for all %.2f\n",
			busiest(shards, f.allHosts()), busiest(shardsBy(f.racks(), func(r Rack) string { return r.Name }), f.allHosts()),
			busiest(shardsBy(f.racks(), func(r Rack) string { return r.Domain }), f.allHosts()),
			busiest(shardsBy(f.racks(), func(Rack) string { return "" }), f.allHosts()))
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "divisions", []byte(out.String()))
}

// shardsBy returns a shard for all racks with the same key.
func shardsBy(racks []Rack, key func(Rack) string) []Shard {
	var keys []string
	groups := make(map[string][]Rack)
	for _, r := range racks {
		if groups[key(r)] == nil {
			keys = append(keys, key(r))
		}
		groups[key(r)] = append(groups[key(r)], r)
	}
	shards := make([]Shard, len(keys))
	for i, k := range keys {
		shards[i] = newShard("desk", groups[k])
	}
	return shards
}

// busiest returns the load of the busiest host after the hosts have claimed the
// shards one after the other, the one with the shortest delay each.
func busiest(shards []Shard, hosts []Host) float64 {
	load := 0.0
	for i := range shards {
		byDelay := func(a, b Host) int { return cmp.Compare(a.ClaimDelay(&shards[i]), b.ClaimDelay(&shards[i])) }
		slices.SortStableFunc(hosts, byDelay)
		hosts[0].Load += shards[i].Workers
		load = max(load, float64(hosts[0].Load)/float64(hosts[0].Capacity()))
	}
	return load
}

// TestEachRackOnce divides and extends arbitrary fleets: each rack has to be in
// one shard and stay there, and no name may be given twice.
func TestEachRackOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := six[:rapid.IntRange(1, len(six)).Draw(t, "domains")]
		f := fleet{
			domains: domains, workers: rapid.IntRange(1, 300).Draw(t, "workers"), rack: rapid.IntRange(1, 40).Draw(t, "rack"),
			hosts: hosts(rapid.IntRange(0, 5).Draw(t, "hosts"), int64(rapid.IntRange(0, 900).Draw(t, "millicores")), int64(rapid.IntRange(0, 50_000).Draw(t, "kilobits"))),
		}
		racks := f.racks()
		first := rapid.IntRange(1, len(racks)).Draw(t, "first")
		shards := Divide("desk", racks[:first], f.allHosts())
		before := shardOfRack(t, shards)
		shards = Extend("desk", shards, racks[first:], f.allHosts())
		after := shardOfRack(t, shards)
		if len(after) != len(racks) {
			t.Fatalf("%d of %d racks are in a shard", len(after), len(racks))
		}
		for rack, shard := range before {
			if after[rack] != shard {
				t.Fatalf("rack %s went from %s to %s", rack, shard, after[rack])
			}
		}
	})
}

// shardOfRack returns the shard of each rack.
func shardOfRack(t *rapid.T, shards []Shard) map[string]string {
	out := make(map[string]string)
	names := make(map[string]bool)
	for _, s := range shards {
		if names[s.Name] {
			t.Fatalf("two shards are named %s", s.Name)
		}
		names[s.Name] = true
		for _, rack := range s.Racks {
			if out[rack] != "" {
				t.Fatalf("rack %s is in %s and %s", rack, out[rack], s.Name)
			}
			out[rack] = s.Name
		}
	}
	return out
}

var _ = Describe("Extend", func() {
	It("lets a service that grows be divided further", func() {
		f := fleet{domains: six[:1], workers: 40, rack: 20, hosts: hosts(4, 160, 1_000_000)}
		shards := Divide("desk", f.racks(), f.allHosts())
		Expect(shards).To(HaveLen(1))
		for n := 3; n <= 6; n++ {
			rack := Rack{Name: fmt.Sprintf("seq-bne/r%d", n), Domain: "seq-bne", Region: "seq", Workers: 20}
			shards = Extend("desk", shards, []Rack{rack}, f.allHosts())
		}
		Expect(shards).To(HaveLen(3))
		for _, s := range shards {
			Expect(s.Workers).To(Equal(40), s.Name)
		}
	})
})

// claimPhases is by how much two hosts of one region differ in when they learn of a shard
// and look for one to claim.
const claimPhases = 300 * time.Millisecond

var _ = Describe("a shard without an owner", func() {
	shard := Shard{Name: "desk@seq-bne", Domain: "seq-bne", Region: "seq", Workers: 183}
	host := func(domain string, millicores int64, load int) Host {
		return Host{Domain: domain, Region: regionOf(domain), CPU: millicores, Link: 200_000, Load: load}
	}

	It("goes to an idle strong host, also of another failure domain, before a busy one, and to a weak one last", func() {
		order := []Host{
			host("seq-bne", 800, 0), host("seq-gc", 800, 0), host("fnq-cns", 800, 0), host("seq-bne", 800, 183), host("seq-bne", 110, 0),
		}
		for i := range order[1:] {
			Expect(order[i].ClaimDelay(&shard)).To(BeNumerically("<", order[i+1].ClaimDelay(&shard)), "host %d", i)
		}
		Expect(order[0].ClaimDelay(&shard)).To(BeNumerically("<", 50*time.Millisecond))
		weakest := host("fnq-cns", 1, 0)
		Expect(weakest.ClaimDelay(&shard)).To(BeNumerically("<", 5*time.Second), "somebody claims it")
	})

	It("isn't claimed first by a host that would release it", func() {
		busy, idle := host("seq-bne", 800, 183), host("fnq-cns", 800, 0)
		idle.Name = "idle"
		owner := busy
		owner.Load += shard.Workers
		Expect(BetterOwner(&owner, &shard, []Host{idle})).To(BeTrue())
		Expect(idle.ClaimDelay(&shard) + claimPhases).To(BeNumerically("<", busy.ClaimDelay(&shard)))
	})

	It("is released by a host that it overloads only if another one carries it well", func() {
		owner := host("seq-bne", 110, 183)
		owner.Name = "owner"
		Expect(BetterOwner(&owner, &shard, []Host{owner, host("seq-bne", 110, 0), host("seq-gc", 800, 183)})).To(BeFalse())
		Expect(BetterOwner(&owner, &shard, []Host{owner, host("seq-gc", 800, 0)})).To(BeTrue())
		able := host("seq-bne", 800, 183)
		Expect(BetterOwner(&able, &shard, []Host{host("seq-gc", 800, 0)})).To(BeFalse(), "not overloaded")
	})
})
