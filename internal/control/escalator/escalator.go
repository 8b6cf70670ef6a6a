// Package escalator decides what to do on a worker whose services miss their
// latency targets because of colocated batch tasks.
//
// # Steps
//
// The steps, in rising cost, are: keep new batch tasks off, throttle, move
// (checkpoint and resume elsewhere), stop (without waiting for a checkpoint).
// [Decide] takes the cheapest step that is expected to restore the target,
// waits until late reports can show its effect, and only then goes on. Moves
// and stops are taken from a [Budget]. Reports are smoothed, and the bound at
// which steps are undone is lower than the one at which they are taken, so
// that noise does not cause a swing.
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

// Kinds of action, in rising cost; Unthrottle undoes a throttle.
const (
	Unthrottle Kind = iota
	BlockBatch
	Throttle
	Move
	Stop
)

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

// Action is one thing to do on the worker.
type Action struct {
	Kind   Kind
	Task   describer.TaskID // all but KeepOff
	Token  describer.Token  // of the run
	CPU    int64            // Raise, Throttle: new grant in millicores
	Until  time.Time        // KeepOff
	Reason string
}

// Input is what a decision is made from. State and Budget are changed.
type Input struct {
	Now           time.Time
	Worker        *accountant.Worker
	Services      map[string]describer.Service // by name
	Learner       *learner.Learner
	LatencyBounds map[string]time.Duration // optional, by service: throttle where more is expected
	State         *State                   // of the worker, kept between calls
	Budget        *Budget                  // shared by the shard's workers
	Options       Options
}

// Options tune the decisions. Zero fields take defaults.
type Options struct {
	EscalateAbove  float64       // share of the target above which steps are taken
	RelaxBelow  float64       // share of the target below which they are undone
	StepInterval time.Duration // between steps, longer than the lag of reports
	EvictAfter time.Duration // for which a target must be missed without a break before evictions
	Smoothing float64       // of the newest report in the smoothed latency
	ThrottleShare  float64       // share of its grant that a throttled task keeps
	MinSlowdown  float64       // relative slow-down by batch below which batch is not to blame
}

func (o Options) orDefault() Options {
	set := func(v *float64, otherwise float64) {
		if *v == 0 {
			*v = otherwise
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

// State is what is remembered about one worker. Its zero value is ready to use.
type State struct {
	Services  map[string]*Smoothed
	Throttled map[describer.TaskID]int64 // grant before throttling, millicores
	LastStep     time.Time                  // last step or undoing
	MissedSince    time.Time                  // since when a target is missed without a break; zero if met
	RelaxedSince      time.Time                  // since when all targets are kept with ease; zero if not
	LastUnthrottle    time.Time                  // last undoing
	UnthrottleDelay      time.Duration              // of calm before the next undoing; doubles when one was premature
	Level     Kind                       // of the last step; Raise when at rest
}

// Smoothed is the smoothed latency of one service.
type Smoothed struct {
	Log  float64 // logarithm of the 99th percentile as a share of the target
	Last time.Time
}

// Decide returns what to do on the worker now, or nothing.
func Decide(in Input) []Action {
	in.Options = in.Options.orDefault()
	in.State.take(in)
	service, ratio := in.State.worst()
	in.State.MissedSince = since(in.State.MissedSince, in.Now, ratio > in.Options.EscalateAbove)
	in.State.RelaxedSince = since(in.State.RelaxedSince, in.Now, ratio < in.Options.RelaxBelow)
	switch {
	case service == "":
		return nil
	case ratio > in.Options.EscalateAbove:
		return escalate(in, service, ratio)
	}
	if service, excess := expected(in); excess > 1 {
		in.State.RelaxedSince = time.Time{}
		return prevent(in, service, excess)
	}
	switch {
	case ratio < in.Options.RelaxBelow:
		return relax(in)
	}
	return nil
}

// take smooths the reports that are new.
func (s *State) take(in Input) {
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

// worst returns the service with the highest share of its target.
func (s *State) worst() (service string, ratio float64) {
	for name, v := range s.Services {
		r := math.Exp(v.Log)
		if r > ratio || r == ratio && name < service {
			service, ratio = name, r
		}
	}
	return service, ratio
}

// since returns the time from which a condition holds without a break.
func since(before, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// expected returns the service whose expected latency is the highest as a
// share of its bound.
func expected(in Input) (service string, excess float64) {
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
		e := base.Seconds() * (1 + mean) / bound.Seconds()
		if e > excess || e == excess && name < service {
			service, excess = name, e
		}
	}
	return service, excess
}
