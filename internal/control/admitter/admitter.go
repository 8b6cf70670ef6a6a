// Package admitter decides whether to accept a submitted job, and which shard
// takes it.
//
// # Algorithm
//
// An accepted job is guaranteed to be run, so accepting more work than the
// workers can do would make all of it late. For each shard [Decide] predicts
// when the job would end there. It accepts the job if a shard meets the job's
// objective with a fixed tolerance. Otherwise it refuses the job at once and says
// after which time to retry, which is when enough of the backlog will be done. No
// job is refused while some shard has room for it.
//
// Many hosts decide by the same summaries, which are a second or more old. If all
// took the shard with the earliest predicted end, it would be overloaded until they
// learn of it. So while jobs wait somewhere, the shard is drawn at random among those
// that meet the objective and on which the job would end hardly later than on the best.
//
// Long-running tasks hold their processors until their job is cancelled. If
// they took everything, short tasks would find no capacity, so each shard
// accepts them only up to a limit. The shard for such a job is drawn at random
// among those below their limits.
//
// Fillers are best-effort tasks that run on processor time that other tasks
// leave unused. Their backlog is separate and doesn't delay other tasks.
package admitter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

const (
	objectiveTolerance = 1.3                    // accepted ratio of the predicted end to the objective
	otherDomainPenalty = 150 * time.Millisecond // added to the prediction for a shard of another failure domain
	shortWait          = otherDomainPenalty     // wait up to which the nearest shard is better than any
	spreadMargin       = 2 * time.Second        // by how much later than on the best shard a job may be predicted to end
	minRetryAfter      = 500 * time.Millisecond
	maxRetryAfter      = 8 * time.Second // limit before jitter is added
	minRate            = 50              // millicores; lowest processing rate assumed for a backlog, also in a full shard
	longRunningWait    = 3 * time.Second // predicted wait of a long-running job if no processors are free, less if some are
)

// Shard is the load of one shard as its latest summary shows it.
type Shard struct {
	Name             string
	SameDomain       bool          // whether it is in the failure domain of the deciding host
	RoundTrip        time.Duration // duration of a call to the shard
	Age              time.Duration // age of the summary
	Workers          int           // usable workers
	LongRunningCPU   int64         // millicores that long-running tasks reserve or wait for
	LongRunningLimit int64         // upper bound of LongRunningCPU, millicores
	Free             describer.Resources
	MaxFree          describer.Resources // part of Free on the worker with the most free CPU
	MaxUsable        describer.Resources // maximum capacity of a usable worker, for each resource
	FiniteCPU        int64               // millicores held by finite tasks, which end by themselves
	UnusedCPU        int64               // millicores that fillers may still take
	FillerCPU        int64               // millicores that running fillers use
	ReservedBacklog  int64               // waiting work of equal or higher priority that reserves capacity, millicore-seconds
	FillerBacklog    int64               // waiting work of fillers of equal or higher priority, millicore-seconds
	Fillers          []FillerLoad
	AdviceBacklog    time.Duration // requests for placement advice that come before one of the job
	HasRack          bool          // whether it contains the rack of the job's data
	HasLabel         bool          // whether it has workers with every label that the job requires
}

// FillerLoad is the load of a shard by fillers of one image, of equal or higher
// priority.
type FillerLoad struct {
	Image string
	Work  int64 // unfinished work, millicore-seconds
	CPU   int64 // millicores that fillers of the image could use if they were alone; 0 if not known
}

// Work is what a job needs in total.
type Work struct {
	ReservedWork   int64         // millicore-seconds of finite tasks that reserve capacity
	FillerWork     int64         // millicore-seconds of fillers
	FillerImages   []string      // images of the fillers
	LongRunningCPU int64         // millicores that long-running tasks reserve
	CriticalPath   time.Duration // estimated run time of the longest chain of dependent steps
	AdviceTime     time.Duration // of a request for placement advice; 0 if the job needs none
	Objective      time.Duration // wanted time from acceptance to the end
	NeedsRack      bool          // whether the job prefers the rack that holds its data
	Spread         int           // see specifier.Job.Spread
}

// Decision is the outcome for one job.
type Decision struct {
	Accepted bool
	// Shard is the shard that the prediction is for. It is any suitable one if all
	// are at their limits of long-running tasks, and empty if none has suitable
	// workers.
	Shard      string
	Age        time.Duration // age of that shard's summary
	Predicted  time.Duration // predicted time from acceptance to the end on that shard
	RetryAfter time.Duration // time after which to retry; only set if the job is refused
	Reason     string        // explanation for callers and logs
}

// Decide chooses a shard for the job and decides whether to accept it. random
// adds jitter to RetryAfter and distributes long-running jobs over the shards.
func Decide(w Work, shards []Shard, random *rand.Rand) Decision {
	candidates := w.suitable(shards)
	if len(candidates) == 0 {
		return Decision{Reason: "no shard has suitable workers", RetryAfter: jitter(minRetryAfter*2, random)}
	}
	limit := time.Duration(objectiveTolerance * float64(w.Objective))
	s := w.choose(candidates, limit, random)
	if s == nil {
		return Decision{Shard: candidates[0].Name, Age: candidates[0].Age, Reason: "the limit of lasting tasks is reached", RetryAfter: jitter(maxRetryAfter, random)}
	}
	best := Decision{Shard: s.Name, Age: s.Age, Predicted: w.predict(s), Reason: "predicted end is within reach"}
	if best.Predicted <= limit {
		best.Accepted = true
		return best
	}
	best.Reason = "predicted end is out of reach"
	best.RetryAfter = jitter(min(max(best.Predicted-limit, minRetryAfter), maxRetryAfter), random)
	return best
}

// choose returns the shard with the earliest predicted end, or draws one of those that are hardly
// later if jobs like this one wait somewhere. For a job with long-running tasks it draws one that
// is below its limit of these, or returns nil if none is.
func (w *Work) choose(shards []*Shard, limit time.Duration, random *rand.Rand) *Shard {
	if w.LongRunningCPU > 0 {
		return w.drawLongRunning(shards, random)
	}
	earliest := slices.MinFunc(shards, func(a, b *Shard) int { return cmp.Compare(w.predict(a), w.predict(b)) })
	if !slices.ContainsFunc(shards, func(s *Shard) bool { return w.wait(s) > shortWait }) {
		return earliest
	}
	latest := w.predict(earliest) + spreadMargin
	drawn := draw(shards, random, func(s *Shard) float64 {
		if w.predict(s) > latest {
			return 0
		}
		return w.headroom(s, limit)
	})
	return cmp.Or(drawn, earliest)
}

// headroom returns the work that the shard can still take until the predicted end of the job
// exceeds limit, in millicore-seconds. It is 0 if the end is out of reach.
func (w *Work) headroom(s *Shard, limit time.Duration) float64 {
	rate := int64(0)
	if w.ReservedWork > 0 {
		rate += s.Free.CPU + s.FiniteCPU
	}
	if w.FillerWork > 0 {
		rate += s.UnusedCPU + s.FillerCPU
	}
	return max((limit-w.predict(s)).Seconds(), 0) * float64(max(rate, minRate))
}

// ChooseLongRunning draws a shard for a job's long-running tasks and returns its
// name. It returns "" if all suitable shards are at their limits.
func ChooseLongRunning(w Work, shards []Shard, random *rand.Rand) string {
	if s := w.drawLongRunning(w.suitable(shards), random); s != nil {
		return s.Name
	}
	return ""
}

// suitable returns the shards that have workers with the required labels and, if
// there are several shards, enough of them for tasks that have to be on different
// ones.
func (w *Work) suitable(shards []Shard) []*Shard {
	var out []*Shard
	for i := range shards {
		s := &shards[i]
		hasSpread := len(shards) == 1 || w.Spread <= int(SpreadShare*float64(s.Workers))
		if s.Workers > 0 && s.HasLabel && hasSpread {
			out = append(out, s)
		}
	}
	return out
}

// SpreadShare is the fraction of a shard's workers that the tasks of one job may
// need at the same time. Some workers are always away or full.
const SpreadShare = 0.85

// drawLongRunning draws a shard with a probability proportional to its headroom
// for long-running tasks. Many hosts decide by the same summaries at the same
// time; if all took the best shard it would be overloaded for as long as the
// tasks run.
func (w *Work) drawLongRunning(shards []*Shard, random *rand.Rand) *Shard {
	return draw(shards, random, w.longRunningHeadroom)
}

// predict returns the expected time from acceptance to the end of the job if
// the shard runs it.
func (w *Work) predict(s *Shard) time.Duration {
	wait := w.wait(s)
	if w.LongRunningCPU > s.Free.CPU {
		wait += longRunningWait * time.Duration(w.LongRunningCPU-s.Free.CPU) / time.Duration(max(w.LongRunningCPU, 1))
	}
	criticalPath := w.CriticalPath
	if w.NeedsRack && !s.HasRack {
		criticalPath *= 2 // data is read from another rack
	}
	if cpu := w.slowestFillerCPU(s); cpu > 0 {
		criticalPath = max(criticalPath, backlogTime(w.FillerWork, cpu))
	}
	predicted := wait + criticalPath + s.RoundTrip
	if !s.SameDomain {
		predicted += otherDomainPenalty
	}
	return predicted
}

// longRunningHeadroom returns the millicores that the shard may still give to
// long-running tasks, or 0 if the job's would exceed its limit. A shard without
// such tasks takes a job of any size.
func (w *Work) longRunningHeadroom(s *Shard) float64 {
	headroom := s.LongRunningLimit - s.LongRunningCPU
	if s.LongRunningCPU == 0 || w.LongRunningCPU <= headroom {
		return float64(max(headroom, 1))
	}
	return 0
}

// wait returns how long the job waits for the backlog ahead of it. What it waits for frees
// room meanwhile, so that the longest wait counts.
func (w *Work) wait(s *Shard) time.Duration {
	return max(w.reservedWait(s), w.fillerWait(s), w.adviceWait(s))
}

// adviceWait returns how long the job waits for requests for placement advice, which are
// answered one at a time.
func (w *Work) adviceWait(s *Shard) time.Duration {
	if w.AdviceTime == 0 {
		return 0
	}
	return s.AdviceBacklog
}

// reservedWait returns how long the job's tasks that reserve capacity wait for
// the backlog ahead of them.
func (w *Work) reservedWait(s *Shard) time.Duration {
	if w.ReservedWork == 0 {
		return 0
	}
	return backlogTime(s.ReservedBacklog, s.Free.CPU+s.FiniteCPU)
}

// fillerWait returns how long the job's fillers wait for the fillers ahead. Those of
// some images get little CPU, since they disturb serving tasks. They wait for each
// other, but hardly for fillers that get more.
func (w *Work) fillerWait(s *Shard) time.Duration {
	if w.FillerWork == 0 {
		return 0
	}
	wait := backlogTime(s.FillerBacklog, s.UnusedCPU+s.FillerCPU)
	cpu := w.slowestFillerCPU(s)
	if cpu == 0 {
		return wait
	}
	held := time.Duration(0)
	for _, f := range s.Fillers {
		held += backlogTime(f.Work, max(cpu, f.CPU))
	}
	return max(wait, held)
}

// slowestFillerCPU returns the CPU that fillers of the job's most restricted image
// can get, or 0 if that isn't known.
func (w *Work) slowestFillerCPU(s *Shard) int64 {
	slowest := int64(0)
	for _, f := range s.Fillers {
		if f.CPU > 0 && slices.Contains(w.FillerImages, f.Image) && (slowest == 0 || f.CPU < slowest) {
			slowest = f.CPU
		}
	}
	return slowest
}

// backlogTime returns how long work of the given millicore-seconds takes at a
// rate in millicores, at most an hour.
func backlogTime(work, rate int64) time.Duration {
	if work == 0 {
		return 0
	}
	seconds := float64(work) / float64(max(rate, minRate))
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// jitter adds up to half of d, so that refused callers don't all retry at once.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d + time.Duration(random.Float64()*float64(d)/2)
}
