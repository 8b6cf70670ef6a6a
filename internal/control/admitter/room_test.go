package admitter

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// The load: one shard has lost workers for good, and its long-running tasks wait
// while the other shards have room.
var _ = Describe("ChooseRoom", func() {
	needs := describer.Resources{CPU: 4000, Memory: 100}
	shard := func(name string, free, maxFree int64) Shard {
		return Shard{Name: name, HasLabel: true, Free: describer.Resources{CPU: free}, MaxFree: describer.Resources{CPU: maxFree, Memory: 1000}}
	}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

	It("leaves out shards whose free CPU is in pieces too small for a task", func() {
		name, tasks := ChooseRoom(needs, 8, []Shard{shard("pieces", 400_000, 3999), shard("room", 64_000, 20_000)}, random())
		Expect(name).To(Equal("room"))
		Expect(tasks).To(Equal(4), "a quarter of 64,000 millicores")
		name, tasks = ChooseRoom(needs, 8, []Shard{shard("pieces", 400_000, 3999)}, random())
		Expect(name).To(BeEmpty())
		Expect(tasks).To(BeZero())
	})

	It("sends at least one task, and no more than wait", func() {
		_, tasks := ChooseRoom(needs, 8, []Shard{shard("small", 4000, 4000)}, random())
		Expect(tasks).To(Equal(1))
		_, tasks = ChooseRoom(needs, 3, []Shard{shard("large", 4_000_000, 64_000)}, random())
		Expect(tasks).To(Equal(3))
	})

	It("leaves out shards without the label", func() {
		s := shard("unlabelled", 64_000, 64_000)
		s.HasLabel = false
		name, _ := ChooseRoom(needs, 1, []Shard{s}, random())
		Expect(name).To(BeEmpty())
	})

	It("draws by free CPU", func() {
		r := random()
		count := make(map[string]int)
		for range 1000 {
			name, _ := ChooseRoom(needs, 1, []Shard{shard("a", 30_000, 8000), shard("b", 10_000, 8000)}, r)
			count[name]++
		}
		Expect(count["a"]).To(BeNumerically("~", 750, 60))
	})
})
