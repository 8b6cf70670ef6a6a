// Package balancer decides how much waiting work a shard gives to which other
// shards.
//
// The load that it addresses: demand that varies by half within seconds and at
// different times in each failure domain, bursts of wide jobs, and shards that
// lose many of their workers. A job is accepted for one shard by predictions
// that may be wrong or outdated, and would wait there while another shard is
// idle.
//
// # Algorithm
//
// The shard that has the waiting work decides. It compares the predicted wait
// here, the backlog over the rate at which work is done, with that in each other
// shard. Work is given away only from a shard whose wait is long to shards that
// have free CPU and hardly any wait, so that no shard gives and takes at the
// same time. The gain, which is the difference of the waits less the cost of the
// transfer, has to be clear. All sources decide by the same summaries, so each
// takes only a share of a destination's free CPU, and draws the order of the
// destinations. Those of the same region come first.
//
//	for _, grant := range balancer.Decide(request, shards, random) {
//		give(grant.Shard, grant.Work)
//	}
package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Limits of the decision.
const (
	// MaxAge is the age from which on a load summary isn't used. Demand that varies
	// within seconds has changed noticeably by then.
	MaxAge = 3 * time.Second
	// SlowCommit is the duration of a commit from which on the store counts as slow. Moves
	// are writes, and the ends of tasks are committed behind them.
	SlowCommit = 150 * time.Millisecond

	// giveAbove is the predicted wait above which work is given away. Short jobs with tight
	// objectives have hardly more to spare.
	giveAbove = 800 * time.Millisecond
	takeBelow = 250 * time.Millisecond // predicted wait up to which a shard takes work
	minGain   = 500 * time.Millisecond // less would not change whether a job meets its objective

	// otherRegionGain replaces minGain for another region, whose link is narrow.
	otherRegionGain = time.Second
	// TaskGain is the gain from which on single tasks of a begun job are transferred. Each
	// costs entries in three commits, and its end reaches the job two commits later.
	TaskGain = 1500 * time.Millisecond

	freeShare = 0.25                   // share of a destination's free CPU that one decision uses
	watchTime = 100 * time.Millisecond // until the destination sees a record
	minRate   = 50                     // millicores; lowest rate assumed for a backlog
	maxWait   = 24 * time.Hour         // of a shard that does no work
)

// Kind tells what CPU work needs.
type Kind uint8

// Kinds of work.
const (
	Reserved Kind = iota // finite tasks that reserve CPU
	Filler               // fillers, on CPU that is left unused
	Kinds                // number of kinds
)

func (k Kind) String() string { return [...]string{"reserved", "filler"}[k] }

// Backlog is the waiting work of one priority that could start if there were room, in
// millicore-seconds. Later steps of running jobs don't belong to it.
type Backlog struct {
	Priority int // lower is more urgent
	Work     [Kinds]int64
}

// Shard is a shard of the service as its latest summary shows it.
type Shard struct {
	Name       string
	SameRegion bool          // in the region of the source
	RoundTrip  time.Duration // between the regions
	Age        time.Duration // age of the summary
	Workers    int           // usable workers
	Free       [Kinds]int64  // CPU that further tasks of the kind get at once, millicores
	Rate       [Kinds]int64  // Free and the CPU that running tasks of the kind use, millicores
	Backlog    []Backlog

	MaxFree     describer.Resources // free resources of the worker with the most free CPU
	MaxCapacity describer.Resources // maximum capacity of a worker
	Labels      []string            // labels of the usable workers
}

// Waiting is the waiting work of one kind and priority that may leave the source.
type Waiting struct {
	Kind     Kind
	Priority int
	Work     int64         // millicore-seconds
	CPU      int64         // needed by its tasks together, millicores
	Age      time.Duration // how long the oldest of them has waited
}

// Request is a source and its work.
type Request struct {
	Source     Shard
	Waiting    []Waiting     // most urgent first
	CommitTime time.Duration // what recent commits of the source took
}

// Grant is an amount of waiting work that goes to another shard.
type Grant struct {
	Shard     string
	Kind      Kind
	Priority  int
	Work      int64         // at most, millicore-seconds
	CPU       int64         // at most, millicores
	Gain      time.Duration // predicted
	Wait      time.Duration // predicted wait at the source
	WaitThere time.Duration // predicted wait at the destination

	Workers     int // of the destination, as are the following
	Free        int64
	MaxFree     describer.Resources
	MaxCapacity describer.Resources
	Labels      []string
}

// Decide returns the work to give away. It returns none if the store is slow or
// the source's wait is short.
func Decide(r Request, shards []Shard, random *rand.Rand) []Grant {
	if r.CommitTime >= SlowCommit {
		return nil
	}
	d := decision{request: r, shards: candidates(r.Source.Name, shards, random)}
	d.quotas = make([][Kinds]int64, len(d.shards))
	for i := range d.shards {
		for k, free := range d.shards[i].Free {
			d.quotas[i][k] = int64(freeShare * float64(free))
		}
	}
	for i := range r.Waiting {
		d.give(&r.Waiting[i])
	}
	return d.grants
}

// decision is a decision in progress.
type decision struct {
	request Request
	shards  []*Shard       // in the order in which they are tried
	quotas  [][Kinds]int64 // CPU of each of shards that is left to give, millicores
	given   [Kinds]int64   // work that is given away, millicore-seconds
	grants  []Grant
}

// candidates returns the other shards whose summaries are recent, those of the
// same region first. Within a region the order is drawn by free CPU.
func candidates(source string, shards []Shard, random *rand.Rand) []*Shard {
	var left, out []*Shard
	for i := range shards {
		if s := &shards[i]; s.Name != source && s.Age <= MaxAge && s.Workers > 0 {
			left = append(left, s)
		}
	}
	for len(left) > 0 {
		total := int64(0)
		sameRegion := slices.ContainsFunc(left, func(s *Shard) bool { return s.SameRegion })
		for _, s := range left {
			total += weight(s, sameRegion)
		}
		point := random.Int64N(total)
		at := slices.IndexFunc(left, func(s *Shard) bool {
			point -= weight(s, sameRegion)
			return point < 0
		})
		out = append(out, left[at])
		left = slices.Delete(left, at, at+1)
	}
	return out
}

// weight is the weight of a shard in the draw, 0 if others come first.
func weight(s *Shard, sameRegion bool) int64 {
	if s.SameRegion != sameRegion {
		return 0
	}
	return 1 + max(s.Free[Reserved], 0) + max(s.Free[Filler], 0)
}

// give grants as much of the waiting work as is worth it.
func (d *decision) give(w *Waiting) {
	left := *w
	for i, to := range d.shards {
		if left.Work <= 0 || left.CPU <= 0 {
			return
		}
		grant, ok := d.grantTo(&left, to, d.quotas[i][w.Kind])
		if !ok {
			continue
		}
		d.grants = append(d.grants, grant)
		d.quotas[i][w.Kind] -= grant.CPU
		d.given[w.Kind] += grant.Work
		left.Work -= grant.Work
		left.CPU -= grant.CPU
	}
}

// grantTo returns what goes to one shard, or false if nothing does.
func (d *decision) grantTo(w *Waiting, to *Shard, quota int64) (Grant, bool) {
	from := &d.request.Source
	wait := from.wait(w.Kind, w.Priority, d.given[w.Kind])
	if w.Kind == Reserved {
		// Free CPU may be in pieces that are too small for the tasks.
		wait = max(wait, w.Age)
	}
	there := to.wait(w.Kind, w.Priority, 0)
	if wait <= giveAbove || there > takeBelow || quota <= 0 {
		return Grant{}, false
	}
	gain := wait - there - d.request.CommitTime - watchTime - to.RoundTrip
	if gain < minGain || !to.SameRegion && gain < otherRegionGain {
		return Grant{}, false
	}
	// Both waits are equal once this much has moved.
	work := int64(gain.Seconds() / (1/float64(max(from.Rate[w.Kind], minRate)) + 1/float64(max(to.Rate[w.Kind], minRate))))
	work = min(max(work, 1), w.Work)
	cpu := int64(float64(w.CPU) * float64(work) / float64(w.Work))
	if cpu > quota {
		work = max(int64(float64(work)*float64(quota)/float64(cpu)), 1)
		cpu = quota
	}
	return Grant{
		Shard: to.Name, Kind: w.Kind, Priority: w.Priority, Work: work, CPU: max(cpu, 1), Gain: gain, Wait: wait, WaitThere: there,
		Workers: to.Workers, Free: to.Free[w.Kind], MaxFree: to.MaxFree, MaxCapacity: to.MaxCapacity, Labels: to.Labels,
	}, true
}

// wait returns how long the shard takes for its waiting work of a kind up to a
// priority, less the given work.
func (s *Shard) wait(kind Kind, priority int, given int64) time.Duration {
	work := -given
	for i := range s.Backlog {
		if s.Backlog[i].Priority <= priority {
			work += s.Backlog[i].Work[kind]
		}
	}
	if work <= 0 {
		return 0
	}
	seconds := float64(work) / float64(max(s.Rate[kind], minRate))
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}
