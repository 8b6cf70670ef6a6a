// Package admitter decides whether a job is accepted, and by which shard.
//
// # Load pattern
//
// In a burst more work arrives than the workers can do. Accepted work is owed,
// so accepting all of it makes everything late. A job is accepted where its
// predicted end is nearest, as long as that is within reach of its objective;
// otherwise it is refused at once, with the time at which the work ahead of it
// will have shrunk enough. While some shard has room for the job nothing is
// refused.
//
// Jobs whose tasks last for minutes would take all room for as long, and the
// many short ones after them find none. They are accepted up to a limit.
package admitter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Bounds of the decision.
const (
	reach       = 1.3 // times the objective, up to which a predicted end is good enough
	nearBonus   = 150 * time.Millisecond
	minRetry    = 500 * time.Millisecond
	maxRetry    = 8 * time.Second
	noticeable  = 50 // millicores; a shard with less throughput is full
	lastingWait = 3 * time.Second
)

// Shard is the load of one shard as far as it is known.
type Shard struct {
	Name             string
	SameDomain       bool          // in the failure domain that asks
	RoundTrip        time.Duration // of a call there
	Age              time.Duration // of the summary
	Workers          int
	LongRunningCPU   int64 // CPU that lasting tasks reserve, or wait for, millicores
	LongRunningLimit int64 // most of it, so that tasks that end find room
	Free             describer.Resources
	ReclaimableCPU   int64 // CPU of counted tasks that will end, millicores
	UnusedCPU        int64 // CPU for fillers that is not taken, millicores
	FillerCPU        int64 // CPU that running fillers asked for, millicores
	ReservedBacklog  int64 // waiting work that goes first or equal, millicore-seconds
	FillerBacklog    int64 // the same of fillers
	HasRack          bool  // has the rack of the job's data
	HasLabel         bool  // has workers of each label that the job needs
}

// Work is what a job asks for.
type Work struct {
	ReservedWork   int64 // millicore-seconds of tasks that count against the capacity
	FillerWork     int64 // the same of fillers
	LongRunningCPU int64 // millicores that lasting tasks reserve
	Chain          time.Duration
	Objective      time.Duration // from acceptance
	NeedsRack      bool
}

// Decision is the outcome.
type Decision struct {
	Accepted   bool
	Shard      string        // with the nearest predicted end; empty if none has suitable workers
	Age        time.Duration // of that shard's summary
	Predicted  time.Duration // from acceptance to the end
	RetryAfter time.Duration // when to come back, if refused
	Reason     string
}

// Decide chooses a shard and decides whether it is to take the job. random
// spreads returning callers, and lasting jobs over the shards.
func Decide(w Work, shards []Shard, random *rand.Rand) Decision {
	open := suitable(shards)
	if len(open) == 0 {
		return Decision{Reason: "no shard has suitable workers", RetryAfter: spread(minRetry*2, random)}
	}
	s := w.choose(open, random)
	if s == nil {
		return Decision{Shard: open[0].Name, Age: open[0].Age, Reason: "the limit of lasting tasks is reached", RetryAfter: spread(maxRetry, random)}
	}
	best := Decision{Shard: s.Name, Age: s.Age, Predicted: w.predict(s), Reason: "predicted end is within reach"}
	limit := time.Duration(reach * float64(w.Objective))
	if best.Predicted <= limit {
		best.Accepted = true
		return best
	}
	best.Reason = "predicted end is out of reach"
	best.RetryAfter = spread(min(max(best.Predicted-limit, minRetry), maxRetry), random)
	return best
}

// choose returns the shard with the nearest predicted end; for lasting tasks one
// with room for them, or nil.
func (w *Work) choose(shards []*Shard, random *rand.Rand) *Shard {
	if w.LongRunningCPU > 0 {
		return w.chooseLasting(shards, random)
	}
	return slices.MinFunc(shards, func(a, b *Shard) int { return cmp.Compare(w.predict(a), w.predict(b)) })
}

// ChooseLongRunning draws a shard for a job whose tasks last and reserve so many
// millicores, and returns its name; it is empty if none has room for them.
func ChooseLongRunning(lasting int64, shards []Shard, random *rand.Rand) string {
	w := Work{LongRunningCPU: lasting}
	if s := w.chooseLasting(suitable(shards), random); s != nil {
		return s.Name
	}
	return ""
}

// suitable returns the shards that have workers for the job.
func suitable(shards []Shard) []*Shard {
	var out []*Shard
	for i := range shards {
		if shards[i].Workers > 0 && shards[i].HasLabel {
			out = append(out, &shards[i])
		}
	}
	return out
}

// chooseLasting draws a shard by how much more of lasting tasks it may take:
// many hosts accept at once by the same summaries, and what one shard has too
// much of stays there for minutes.
func (w *Work) chooseLasting(shards []*Shard, random *rand.Rand) *Shard {
	total := 0.0
	for _, s := range shards {
		total += w.lastingRoom(s)
	}
	if total == 0 {
		return nil
	}
	at := random.Float64() * total
	var chosen *Shard
	for _, s := range shards {
		room := w.lastingRoom(s)
		if room == 0 {
			continue
		}
		chosen = s
		if at -= room; at < 0 {
			break
		}
	}
	return chosen
}

// predict is the expected time from acceptance to the end in the shard.
func (w *Work) predict(s *Shard) time.Duration {
	wait := max(w.countedWait(s), w.fillerWait(s))
	if w.LongRunningCPU > s.Free.CPU {
		wait += lastingWait * time.Duration(w.LongRunningCPU-s.Free.CPU) / time.Duration(max(w.LongRunningCPU, 1))
	}
	chain := w.Chain
	if w.NeedsRack && !s.HasRack {
		chain *= 2
	}
	predicted := wait + chain + s.RoundTrip
	if !s.SameDomain {
		predicted += nearBonus
	}
	return predicted
}

// lastingRoom is how much more lasting tasks the shard may take, in millicores,
// and 0 if the job's would be too many.
func (w *Work) lastingRoom(s *Shard) float64 {
	room := s.LongRunningLimit - s.LongRunningCPU
	if s.LongRunningCPU == 0 || w.LongRunningCPU <= room {
		return float64(max(room, 1))
	}
	return 0
}

// countedWait is how long the work ahead keeps the workers busy.
func (w *Work) countedWait(s *Shard) time.Duration {
	if w.ReservedWork == 0 {
		return 0
	}
	return backlogTime(s.ReservedBacklog, s.Free.CPU+s.ReclaimableCPU)
}

func (w *Work) fillerWait(s *Shard) time.Duration {
	if w.FillerWork == 0 {
		return 0
	}
	return backlogTime(s.FillerBacklog, s.UnusedCPU+s.FillerCPU)
}

func backlogTime(work, rate int64) time.Duration {
	if work == 0 {
		return 0
	}
	seconds := float64(work) / float64(max(rate, noticeable))
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// spread keeps callers from returning all at once.
func spread(d time.Duration, random *rand.Rand) time.Duration {
	return d + time.Duration(random.Float64()*float64(d)/2)
}
