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
	"math"
	"math/rand/v2"
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
	Name     string
	Near     bool          // in the failure domain that asks
	Distance time.Duration // of a call there
	Age      time.Duration // of the summary
	Workers  int
	Lasting  int64 // CPU that lasting tasks reserve, or wait for, millicores
	Limit    int64 // most of it, so that tasks that end find room
	Free     describer.Resources
	Turning  int64 // CPU of counted tasks that will end, millicores
	Unused   int64 // CPU for fillers that is not taken, millicores
	Fillers  int64 // CPU that running fillers asked for, millicores
	Counted  int64 // waiting work that goes first or equal, millicore-seconds
	Filler   int64 // the same of fillers
	HasRack  bool  // has the rack of the job's data
	HasLabel bool  // has workers of each label that the job needs
}

// Work is what a job asks for.
type Work struct {
	Counted   int64 // millicore-seconds of tasks that count against the capacity
	Filler    int64 // the same of fillers
	Lasting   int64 // millicores that lasting tasks reserve
	Chain     time.Duration
	Objective time.Duration // from acceptance
	NeedsRack bool
}

// Decision is the outcome.
type Decision struct {
	Accepted  bool
	Shard     string        // with the nearest predicted end; empty if none has suitable workers
	Age       time.Duration // of that shard's summary
	Predicted time.Duration // from acceptance to the end
	Retry     time.Duration // when to come back, if refused
	Reason    string

	hasLastingRoom bool
}

// Decide chooses the shard with the nearest predicted end. random spreads
// returning callers.
func Decide(w Work, shards []Shard, random *rand.Rand) Decision {
	best := Decision{Predicted: math.MaxInt64, Reason: "no shard has suitable workers"}
	for i := range shards {
		s := &shards[i]
		if s.Workers == 0 || !s.HasLabel {
			continue
		}
		predicted := w.predict(s)
		hasLastingRoom := w.hasLastingRoom(s)
		if predicted < best.Predicted || hasLastingRoom && !best.hasLastingRoom {
			best.hasLastingRoom = hasLastingRoom
			best.Predicted = predicted
			best.Shard = s.Name
			best.Age = s.Age
			best.Reason = "predicted end is within reach"
		}
	}
	if best.Shard == "" {
		best.Predicted = 0
		best.Retry = spread(minRetry*2, random)
		return best
	}
	if !best.hasLastingRoom {
		best.Reason = "lasting tasks have their share"
		best.Retry = spread(maxRetry, random)
		return best
	}
	limit := time.Duration(reach * float64(w.Objective))
	if best.Predicted <= limit {
		best.Accepted = true
		return best
	}
	best.Reason = "predicted end is out of reach"
	best.Retry = spread(min(max(best.Predicted-limit, minRetry), maxRetry), random)
	return best
}

// predict is the expected time from acceptance to the end in the shard.
func (w *Work) predict(s *Shard) time.Duration {
	wait := max(w.countedWait(s), w.fillerWait(s))
	if w.Lasting > s.Free.CPU {
		wait += lastingWait * time.Duration(w.Lasting-s.Free.CPU) / time.Duration(max(w.Lasting, 1))
	}
	chain := w.Chain
	if w.NeedsRack && !s.HasRack {
		chain *= 2
	}
	predicted := wait + chain + s.Distance
	if !s.Near {
		predicted += nearBonus
	}
	return predicted
}

// hasLastingRoom reports whether the job's lasting tasks leave room for tasks
// that end.
func (w *Work) hasLastingRoom(s *Shard) bool {
	if w.Lasting == 0 || s.Lasting == 0 {
		return true
	}
	return s.Lasting+w.Lasting <= s.Limit
}

// countedWait is how long the work ahead keeps the workers busy.
func (w *Work) countedWait(s *Shard) time.Duration {
	if w.Counted == 0 {
		return 0
	}
	return backlogTime(s.Counted, s.Free.CPU+s.Turning)
}

func (w *Work) fillerWait(s *Shard) time.Duration {
	if w.Filler == 0 {
		return 0
	}
	return backlogTime(s.Filler, s.Unused+s.Fillers)
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
