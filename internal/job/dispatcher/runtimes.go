package dispatcher

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/estimator"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

const (
	runTimeLogDelay   = 10 * time.Second // minimum time between log lines about one key
	departureLogged   = 1.5              // ratio of expectation to estimate, or its inverse, from which a key is logged
	departureChange   = 1.25             // change of that ratio after which it is logged again
	maxLoggedRunTimes = 64               // keys whose last log line is remembered
)

// runTimes is what the owner has learned about the run times of tasks.
type runTimes struct {
	model  *estimator.Estimator
	logged map[estimator.Key]loggedRatio
}

// loggedRatio is the last log line about a key.
type loggedRatio struct {
	at    time.Time
	ratio float64
}

// newRunTimes returns a model that starts from the records of earlier summaries.
func newRunTimes(records estimator.Records) runTimes {
	r := runTimes{model: estimator.New(), logged: make(map[estimator.Key]loggedRatio)}
	for _, record := range records {
		r.model.Start(record)
	}
	return r
}

// runClock measures the run time of a run at full pace.
type runClock struct {
	startSeen bool          // the answer to this owner's start order came soon, so the start is known
	resumed   bool          // the run had a checkpoint to resume from
	uncertain bool          // the pace was unknown for a while
	at        time.Time     // until when work is complete; zero before the start
	work      time.Duration // run time at full pace until then
	speed     float64       // speed from then on, as a share of full speed
	pacedAt   time.Time     // when the pace last changed

	firstProgress  int           // progress in percent with which the clock began
	workAtProgress time.Duration // work when the progress last changed
}

// isExact reports whether the clock measures the whole run.
func (c *runClock) isExact() bool { return c.startSeen && !c.resumed && !c.uncertain }

// runTimeKey returns the key of a step's run times.
func (st *step) runTimeKey() estimator.Key {
	return estimator.Key{Queue: st.job.spec.Queue, Image: st.spec.Image}
}

// beginClock starts the clock of a run that this owner has started.
func (r *run) beginClock(now time.Time) {
	r.clock.at, r.clock.pacedAt, r.clock.speed = now, now, r.paceShare()
	r.clock.startSeen = now.Sub(r.orderedAt) <= orderTime
}

// beginAdoptedClock starts the clock of a run of an earlier owner.
func (r *run) beginAdoptedClock(now time.Time) {
	r.clock = runClock{at: now, pacedAt: now, speed: r.paceShare(), firstProgress: r.progress}
}

// paceShare returns the run's pace as a share of full speed, 0 to 1. An unknown
// pace counts as full.
func (r *run) paceShare() float64 {
	if r.pace == unknownPace {
		return 1
	}
	return float64(r.pace) / full
}

// advance updates the clock to now.
func (r *run) advance(now time.Time) {
	c := &r.clock
	if c.at.IsZero() || !now.After(c.at) {
		return
	}
	c.uncertain = c.uncertain || r.pace == unknownPace
	c.work += time.Duration(float64(now.Sub(c.at)) * c.speed)
	c.at = now
}

// changePace sets the pace of a run.
func (r *run) changePace(now time.Time, percent int) {
	r.advance(now)
	r.pace = percent
	r.clock.speed, r.clock.pacedAt = r.paceShare(), now
}

// noteProgress updates the clock by a reported progress, before the run's own is updated.
// A resumed run begins with the progress of its checkpoint.
func (r *run) noteProgress(now time.Time, percent int) {
	c := &r.clock
	if c.at.IsZero() || percent == r.progress {
		return
	}
	r.advance(now)
	if c.resumed && c.firstProgress == 0 {
		c.firstProgress, c.work = percent, 0
	}
	c.workAtProgress = c.work
}

// measureSpeeds updates the clocks of a worker's fillers by the CPU that the last
// inventory reports. Fillers share the CPU that others leave, so they may be slower than
// their pace. The report covers tailWindow.
func (s *Shard) measureSpeeds(w *worker) {
	if w.allocated.filler == 0 {
		return
	}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if !r.isFiller() || r.phase != active {
			continue
		}
		r.advance(s.now)
		if s.now.Sub(r.clock.pacedAt) < tailWindow || r.pace <= 0 || r.needs.filler <= 0 {
			continue
		}
		r.clock.speed = s.runTimes.model.ObserveUsage(r.task.step.runTimeKey(), r.metric/float64(r.needs.filler), r.paceShare())
	}
}

// observeEnd learns from the end of a run. After failed polls of its worker the time of the
// end isn't known.
func (s *Shard) observeEnd(r *run, end specifier.End) {
	if r.task == nil || r.number != end.Run || end.Outcome != specifier.OutcomeDone || r.task.step.spec.LongRunning {
		return
	}
	r.advance(s.now)
	if !r.clock.isExact() || r.worker.endsDelayed {
		return
	}
	st := r.task.step
	s.runTimes.model.Observe(st.runTimeKey(), estimator.Sample{
		Estimate: st.spec.Estimate, RunTime: r.clock.work, Weight: 1 / float64(len(st.tasks)),
	}, s.now)
	st.times.own.Observe(r.clock.work)
	st.times.expectedAt = time.Time{}
}

// logRunTimes logs keys whose expectation departs from the callers' estimates.
func (s *Shard) logRunTimes(records estimator.Records) {
	for i := range records {
		record := &records[i]
		key, ratio := estimator.Key{Queue: record.Queue, Image: record.Image}, record.Ratio()
		last, wasLogged := s.runTimes.logged[key]
		switch {
		case !wasLogged && !exceedsFactor(ratio, departureLogged):
			continue
		case wasLogged && (s.now.Sub(last.at) < runTimeLogDelay || !exceedsFactor(ratio/last.ratio, departureChange)):
			continue
		}
		if len(s.runTimes.logged) >= maxLoggedRunTimes {
			s.forgetLoggedRunTimes()
		}
		if len(s.runTimes.logged) >= maxLoggedRunTimes {
			continue
		}
		s.runTimes.logged[key] = loggedRatio{s.now, ratio}
		s.emit(Log{Message: "run time expectation departs from estimates", Reason: fmt.Sprintf(
			"queue %s, image %s: %s of the estimates, exponent %.2f, by %.0f steps", record.Queue, strconv.Quote(record.Image),
			percentText(ratio), record.Predict(time.Second).Slope, record.Weight,
		)})
	}
}

// forgetLoggedRunTimes forgets log lines that are older than runTimeLogDelay.
func (s *Shard) forgetLoggedRunTimes() {
	for key, last := range s.runTimes.logged {
		if s.now.Sub(last.at) >= runTimeLogDelay {
			delete(s.runTimes.logged, key)
		}
	}
}

// exceedsFactor reports whether a ratio or its inverse is above the factor.
func exceedsFactor(ratio, factor float64) bool { return math.Abs(math.Log(ratio)) > math.Log(factor) }
