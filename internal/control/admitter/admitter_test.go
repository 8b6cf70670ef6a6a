package admitter

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// shard returns a shard with the given free millicores and backlogs in
// millicore-seconds.
func shard(name string, free, backlog int64) Shard {
	return Shard{
		Name: name, SameDomain: true, Workers: 10, HasLabel: true, Free: describer.Resources{CPU: free},
		FiniteCPU: 10000, UnusedCPU: free, FillerCPU: 10000, ReservedBacklog: backlog, FillerBacklog: backlog,
	}
}

var short = Work{ReservedWork: 10000, CriticalPath: time.Second, Objective: 2500 * time.Millisecond}

var _ = Describe("Decide", func() {
	It("accepts while there is room", func() {
		d := Decide(short, []Shard{shard("a", 20000, 0)}, random())
		Expect(d.Accepted).To(BeTrue())
		Expect(d.Shard).To(Equal("a"))
	})

	It("takes the shard with the earliest predicted end", func() {
		d := Decide(short, []Shard{shard("full", 0, 100000), shard("idle", 20000, 0)}, random())
		Expect(d.Shard).To(Equal("idle"))
	})

	It("refuses a job that can't meet its objective, with a time to retry after", func() {
		d := Decide(short, []Shard{shard("a", 0, 100000)}, random())
		Expect(d.Accepted).To(BeFalse())
		// The backlog takes 10 s; the objective allows for about 2 s of it.
		Expect(d.RetryAfter).To(BeNumerically(">", 5*time.Second))
		Expect(d.RetryAfter).To(BeNumerically("<=", maxRetryAfter*3/2))
	})

	It("refuses a job that waits too long for placement advice, and no other job", func() {
		s := shard("a", 20000, 0)
		s.AdviceBacklog = 10 * time.Second
		advised := short
		advised.AdviceTime = 300 * time.Millisecond
		d := Decide(advised, []Shard{s}, random())
		Expect(d.Accepted).To(BeFalse())
		Expect(d.RetryAfter).To(BeNumerically(">", 5*time.Second))
		Expect(Decide(short, []Shard{s}, random()).Accepted).To(BeTrue())
		Expect(Decide(advised, []Shard{s, shard("b", 20000, 0)}, random()).Shard).To(Equal("b"))
	})

	It("adds jitter to the time to retry after", func() {
		r := random()
		seen := make(map[time.Duration]bool)
		for range 20 {
			seen[Decide(short, []Shard{shard("a", 0, 100000)}, r).RetryAfter] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 15))
	})

	It("doesn't delay other work by the fillers' backlog", func() {
		s := shard("a", 20000, 0)
		s.FillerBacklog = 10_000_000
		Expect(Decide(short, []Shard{s}, random()).Accepted).To(BeTrue())
	})

	It("refuses fillers that wait for others of their kind, and accepts those of other images", func() {
		s := shard("a", 100_000, 0)
		s.Fillers = []FillerLoad{
			{Image: "heavy", Work: 200_000, CPU: 10_000},
			{Image: "heavier", Work: 200_000, CPU: 5000},
			{Image: "mild", Work: 50_000, CPU: 90_000},
		}
		job := func(image string) Work {
			return Work{FillerWork: 10_000, FillerImages: []string{image}, CriticalPath: time.Second, Objective: 3 * time.Second}
		}
		heavy := Decide(job("heavy"), []Shard{s}, random())
		Expect(heavy.Accepted).To(BeFalse())
		Expect(heavy.Predicted).To(BeNumerically(">", 40*time.Second), "400 core-seconds at 10 cores")
		Expect(Decide(job("mild"), []Shard{s}, random()).Accepted).To(BeFalse(), "it shares the CPU")
		s.Fillers[0].Work, s.Fillers[1].Work = 80_000, 80_000
		Expect(Decide(job("mild"), []Shard{s}, random()).Accepted).To(BeTrue())
		Expect(Decide(job("heavy"), []Shard{s}, random()).Accepted).To(BeFalse())
	})

	It("predicts how long a wide step of fillers takes", func() {
		s := shard("a", 100_000, 0)
		s.Fillers = []FillerLoad{{Image: "heavy", CPU: 10_000}}
		wide := Work{FillerWork: 60_000, FillerImages: []string{"heavy"}, CriticalPath: time.Second, Objective: 3 * time.Second}
		Expect(Decide(wide, []Shard{s}, random()).Predicted).To(Equal(6 * time.Second))
	})

	It("refuses when no shard has workers with the label", func() {
		s := shard("a", 20000, 0)
		s.HasLabel = false
		d := Decide(short, []Shard{s}, random())
		Expect(d.Accepted).To(BeFalse())
		Expect(d.RetryAfter).To(BeNumerically(">", 0))
	})

	It("keeps capacity for short jobs when many long-running ones are submitted first", func() {
		const capacity = 100000
		job := Work{LongRunningCPU: 3000, Objective: time.Second}
		s := shard("a", capacity, 0)
		s.LongRunningLimit = 90000
		for range 100 {
			if d := Decide(job, []Shard{s}, random()); d.Accepted {
				s.LongRunningCPU += job.LongRunningCPU
				s.Free.CPU -= job.LongRunningCPU
			} else {
				Expect(d.Reason).To(ContainSubstring("lasting"))
			}
		}
		Expect(s.LongRunningCPU).To(Equal(int64(90000)))
		Expect(Decide(short, []Shard{s}, random()).Accepted).To(BeTrue())
	})

	It("puts a long-running job on a shard below its limit", func() {
		full, open := shard("full", 50000, 0), shard("open", 20000, 10000)
		full.LongRunningCPU, full.LongRunningLimit = 90000, 90000
		open.LongRunningLimit = 90000
		Expect(Decide(Work{LongRunningCPU: 3000, Objective: time.Minute}, []Shard{full, open}, random()).Shard).To(Equal("open"))
	})

	It("puts a job whose tasks need many workers on a shard that has them", func() {
		job := Work{LongRunningCPU: 3000, Objective: time.Minute, Spread: 20}
		small, large := shard("small", 90000, 0), shard("large", 90000, 0)
		small.Workers, large.Workers = 20, 40
		small.LongRunningLimit, large.LongRunningLimit = 90000, 90000
		for range 20 {
			Expect(Decide(job, []Shard{small, large}, random()).Shard).To(Equal("large"))
		}
		Expect(Decide(job, []Shard{small, small}, random()).Accepted).To(BeFalse())
		Expect(Decide(job, []Shard{small}, random()).Accepted).To(BeTrue(), "no other shard has more")
	})

	It("distributes long-running jobs evenly although many hosts decide by the same summaries", func() {
		var shards []Shard
		for _, name := range []string{"a", "b", "c"} {
			s := shard(name, 900000, 0)
			s.LongRunningLimit = 900000
			shards = append(shards, s)
		}
		shards[0].SameDomain, shards[1].SameDomain = true, false
		taken := make(map[string]int)
		r := random()
		for range 60 {
			taken[Decide(Work{LongRunningCPU: 30000, Objective: time.Minute}, shards, r).Shard]++
		}
		for _, s := range shards {
			Expect(taken[s.Name]).To(BeNumerically("~", 20, 10), s.Name)
		}
	})

	It("accepts in a burst only what ends within twice its objective", func() {
		const rate = 10000 // millicores
		backlog, accepted := int64(0), 0
		for tick := range 100 { // 100 ms each; twice as much work arrives as can be done
			backlog = max(0, backlog-rate/10)
			s := shard("a", 0, backlog)
			s.FiniteCPU = rate
			job := Work{ReservedWork: rate / 5, CriticalPath: 200 * time.Millisecond, Objective: 1400 * time.Millisecond}
			if Decide(job, []Shard{s}, random()).Accepted {
				accepted++
				backlog += job.ReservedWork
			}
			end := time.Duration(backlog) * time.Second / rate
			Expect(end).To(BeNumerically("<=", 2*job.Objective), "tick %d", tick)
		}
		Expect(accepted).To(BeNumerically(">=", 50), "at least as much as the workers can do")
	})
})
