// Package escalator decides how to protect the services on a worker when batch
// tasks on the same worker make them miss their latency targets.
//
// # Steps
//
// The steps, in order of rising cost, are: block the placement of new batch
// tasks, throttle batch tasks, move them (checkpoint and resume on another
// worker), and stop them (without waiting for a checkpoint). [Decide] takes the
// cheapest step that is expected to restore the target, waits until reports,
// which arrive late, can show its effect, and only then takes the next. Moves
// and stops are evictions, which a [Budget] limits. Latency reports are
// smoothed, and steps are undone at a lower latency than they are taken, so
// that noise doesn't make the decisions oscillate.
//
//	for _, action := range escalator.Decide(input) {
//		// carry out
//	}
package escalator

import (
	"fmt"
	"math"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
)

// Kind is the kind of an action.
type Kind uint8

// Kinds of action, in order of rising cost.
const (
	Unthrottle Kind = iota // return the processors that a throttle took
	BlockBatch             // place no batch tasks on the worker for a while
	Throttle               // reduce the processors granted to a task
	Move                   // checkpoint a task and resume it on another worker
	Stop                   // end a task without waiting for a checkpoint
)

// String returns the word for the kind in texts. For Unthrottle and BlockBatch
// it differs from the name of the constant.
func (k Kind) String() string {
	switch k {
	case Unthrottle:
		return "raise"
	case BlockBatch:
		return "keep-off"
	case Throttle:
		return "throttle"
	case Move:
		return "move"
	case Stop:
		return "stop"
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Action is one thing to do on the worker. Fields that its kind does not use are
// zero.
type Action struct {
	Kind   Kind
	Task   describer.TaskID // unused by BlockBatch
	Token  describer.Token  // token of the task's run; unused by BlockBatch
	CPU    int64            // new grant in millicores; used by Unthrottle and Throttle
	Until  time.Time        // end of the block; used by BlockBatch
	Reason string           // explanation for operators
}

// Input is what a decision is made from. Decide changes State and Budget, and
// only reads the rest.
type Input struct {
	Now           time.Time
	Worker        *accountant.Worker
	Services      map[string]describer.Service // all services by name
	Learner       *learner.Learner             // optional, estimates the slowdown by batch tasks
	LatencyBounds map[string]time.Duration     // optional, by service; an expected latency above its bound leads to throttling
	State         *State                       // memory of this worker, kept between calls
	Budget        *Budget                      // eviction budget that the shard's workers share; nil means unlimited
	Options       Options
}

// Options are the parameters of the decisions. Zero fields take defaults.
type Options struct {
	EscalateAbove float64       // latency ratio (99th percentile to target) above which steps are taken
	RelaxBelow    float64       // latency ratio below which throttles are undone
	StepInterval  time.Duration // minimum time between steps, longer than the delay of reports
	EvictAfter    time.Duration // time for which a target must be missed without interruption before evictions
	Smoothing     float64       // weight of the newest report in the exponentially smoothed latency
	ThrottleShare float64       // share of its grant that a throttled task keeps
	MinSlowdown   float64       // estimated relative slowdown by batch tasks below which they are left alone
}

// orDefault fills in the defaults.
func (o Options) orDefault() Options {
	set := func(v *float64, fallback float64) {
		if *v == 0 {
			*v = fallback
		}
	}
	set(&o.EscalateAbove, 1)
	set(&o.RelaxBelow, 0.85)
	set(&o.Smoothing, 0.3)
	set(&o.ThrottleShare, 0.5)
	set(&o.MinSlowdown, 0.03)
	if o.StepInterval == 0 {
		o.StepInterval = 45 * time.Second
	}
	if o.EvictAfter == 0 {
		o.EvictAfter = 2 * o.StepInterval
	}
	return o
}

// State is the memory of the decisions on one worker. Its zero value is ready to
// use.
type State struct {
	Services        map[string]*Smoothed       // smoothed latencies by service name
	Throttled       map[describer.TaskID]int64 // millicores granted before throttling
	LastStep        time.Time                  // time of the last step or Unthrottle
	MissedSince     time.Time                  // start of the uninterrupted time in which a target is missed; zero if all are met
	RelaxedSince    time.Time                  // start of the uninterrupted time below RelaxBelow; zero if above
	LastUnthrottle  time.Time                  // time of the last Unthrottle
	UnthrottleDelay time.Duration              // time below RelaxBelow before the next Unthrottle; doubles when one was premature
	Level           Kind                       // kind of the last step; Unthrottle before the first step and after an Unthrottle
}

// Smoothed is the exponentially smoothed latency of one service.
type Smoothed struct {
	Log  float64   // logarithm of the latency ratio
	Last time.Time // end of the latest report's interval
}

// Decide returns the actions to take on the worker now, if any.
func Decide(in Input) []Action {
	in.Options = in.Options.orDefault()
	in.State.update(in)
	service, ratio := in.State.slowest()
	in.State.MissedSince = since(in.State.MissedSince, in.Now, ratio > in.Options.EscalateAbove)
	in.State.RelaxedSince = since(in.State.RelaxedSince, in.Now, ratio < in.Options.RelaxBelow)
	switch {
	case service == "":
		return nil
	case ratio > in.Options.EscalateAbove:
		return escalate(in, service, ratio)
	}
	if service, excess := highestExpected(in); excess > 1 {
		in.State.RelaxedSince = time.Time{}
		return throttleAhead(in, service, excess)
	}
	switch {
	case ratio < in.Options.RelaxBelow:
		return relax(in)
	}
	return nil
}

// update adds new reports to the smoothed latencies and forgets throttled tasks
// that have left the worker.
func (s *State) update(in Input) {
	if s.Services == nil {
		s.Services = make(map[string]*Smoothed)
		s.Throttled = make(map[describer.TaskID]int64)
	}
	for task := range s.Throttled {
		if _, ok := in.Worker.Grants[task]; !ok {
			delete(s.Throttled, task)
		}
	}
	for name, report := range in.Worker.Reports {
		target := in.Services[name].Target
		if target <= 0 || report.P99 <= 0 || report.Count <= 0 {
			continue
		}
		value := math.Log(report.P99.Seconds() / target.Seconds())
		old := s.Services[name]
		if old == nil {
			s.Services[name] = &Smoothed{value, report.To}
			continue
		}
		if report.To.After(old.Last) {
			old.Log += in.Options.Smoothing * (value - old.Log)
			old.Last = report.To
		}
	}
}

// slowest returns the service with the highest latency ratio, and that ratio.
func (s *State) slowest() (service string, ratio float64) {
	for name, v := range s.Services {
		r := math.Exp(v.Log)
		if r > ratio || r == ratio && name < service {
			service, ratio = name, r
		}
	}
	return service, ratio
}

// since returns from when on a condition holds without interruption, or zero if
// it doesn't hold now. start is the result of the previous call.
func since(start, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case start.IsZero():
		return now
	}
	return start
}

// highestExpected returns the service whose expected latency is the highest
// share of its bound, and that share.
func highestExpected(in Input) (service string, excess float64) {
	if in.Learner == nil {
		return "", 0
	}
	shares := in.Worker.BatchShares()
	for name, bound := range in.LatencyBounds {
		load := in.Worker.Reports[name].Load
		base, known := in.Learner.Baseline(name, load)
		if !known || bound <= 0 {
			continue
		}
		mean, _ := in.Learner.Slowdown(name, shares, load)
		share := base.Seconds() * (1 + mean) / bound.Seconds()
		if share > excess || share == excess && name < service {
			service, excess = name, share
		}
	}
	return service, excess
}
