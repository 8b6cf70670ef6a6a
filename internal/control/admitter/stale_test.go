package admitter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestManyHostsOverloadOneShard replays jobs that many hosts accept by the same load summaries,
// which are replaced every 1.5 s. The shards together can do all of the work in time. It guards
// against hosts that all take the same shard until they learn of its load.
func TestManyHostsOverloadOneShard(t *testing.T) {
	const (
		shardCount = 6
		rate       = 4_000_000 // millicores of each shard
		perSecond  = 20        // jobs, 0.8 of what the shards can do
		perSummary = 30        // jobs until the summaries are replaced
		seconds    = 60
	)
	for name, job := range map[string]Work{
		"fillers":  {FillerWork: 950_000, CriticalPath: 4 * time.Second, Objective: 7 * time.Second},
		"reserved": {ReservedWork: 950_000, CriticalPath: 4 * time.Second, Objective: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := random()
			backlogs := make(map[string]int64)
			var shards []Shard
			inTime := 0
			for n := range perSecond * seconds {
				if n%perSummary == 0 {
					shards = summariesOf(backlogs, shardCount, rate)
				}
				for shard, backlog := range backlogs {
					backlogs[shard] = max(backlog-rate/perSecond, 0)
				}
				d := Decide(job, shards, r)
				if !d.Accepted {
					continue
				}
				if backlogTime(backlogs[d.Shard], rate)+job.CriticalPath <= job.Objective {
					inTime++
				}
				backlogs[d.Shard] += job.ReservedWork + job.FillerWork
			}
			g.Expect(inTime).To(BeNumerically(">=", perSecond*seconds*9/10))
		})
	}
}

// summariesOf returns what the hosts know of shards with the given backlogs by name, in
// millicore-seconds, that each work at rate millicores.
func summariesOf(backlogs map[string]int64, n int, rate int64) []Shard {
	var out []Shard
	for i := range n {
		name := string(rune('a' + i))
		out = append(out, Shard{
			Name: name, SameDomain: i == 0, Workers: 183, HasLabel: true, FiniteCPU: rate, FillerCPU: rate,
			ReservedBacklog: backlogs[name], FillerBacklog: backlogs[name],
		})
	}
	return out
}
