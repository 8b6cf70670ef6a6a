// Package restorer decides how fast a drained worker gets its work back.
//
// # Model
//
// Restore goes through rising limits on the processors that batch tasks may
// hold. A limit is raised when it has been in force for a while and the
// worker's services are within their targets. It is never lowered: what to do
// about a service that misses its target is the escalator's matter, and a
// limit that follows noisy load would swing. A limit that is held back for
// too long is raised nevertheless, since the placer weighs each placement
// anyway; so a restore always ends while the worker answers.
//
//	decision := restorer.Decide(input)
//	worker.Limited, worker.Limit = !decision.Done, decision.Limit
package restorer

import (
	"fmt"
	"math"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Input is what a decision is made from. State is changed.
type Input struct {
	Now       time.Time
	Worker    *accountant.Worker
	Services  map[string]describer.Service // by name
	Returning int                          // tasks drained off this worker that wait to run
	Removed   bool                         // the worker has left the host list for good
	State     *State                       // of this worker and drain
	Options   Options
}

// Decision is what the worker may take now.
type Decision struct {
	Open      bool   // requests may be sent to it
	Limit     int64  // millicores that batch tasks may hold
	Done      bool   // has its work back
	BlockedBy string // what holds it back; empty when Done or when only time has to pass
}

// Options tune the pace. Zero fields take defaults.
type Options struct {
	Steps          []float64     // rising shares of the worker's processors, the last one 1
	MinStep        time.Duration // shortest time of a step, longer than the lag of reports
	MaxStep        time.Duration // longest time of a step
	SilenceTimeout time.Duration // without inventory the worker counts as silent
	PauseAbove     float64       // share of a service's target above which a step is held back
	ResumeBelow    float64       // share below which it is no longer
	Smoothing      float64       // of the newest report in the smoothed latency
}

func (o Options) orDefault() Options {
	if len(o.Steps) == 0 {
		o.Steps = []float64{0.125, 0.25, 0.5, 1}
	}
	duration := func(v *time.Duration, otherwise time.Duration) {
		if *v == 0 {
			*v = otherwise
		}
	}
	duration(&o.MinStep, time.Minute)
	duration(&o.MaxStep, 5*time.Minute)
	duration(&o.SilenceTimeout, time.Minute)
	number := func(v *float64, otherwise float64) {
		if *v == 0 {
			*v = otherwise
		}
	}
	number(&o.PauseAbove, 1)
	number(&o.ResumeBelow, 0.9)
	number(&o.Smoothing, 0.3)
	return o
}

// State is what is remembered of one restore. Its zero value begins one; a
// successor that lost it begins again at the first step, which is safe.
type State struct {
	Step       int
	StepSince  time.Time // of the step
	Paused     bool
	Smoothed   map[string]float64 // logarithm of latency as a share of the target, by service
	LastReport map[string]time.Time
}

// Decide returns what the worker may take now.
func Decide(in Input) Decision {
	o := in.Options.orDefault()
	if in.Removed {
		return Decision{Done: true}
	}
	if silent := in.Now.Sub(in.Worker.LastInventory); silent > o.SilenceTimeout {
		in.State.StepSince = in.Now // no time passes in a step for a silent worker
		return Decision{BlockedBy: fmt.Sprintf("no answer from the worker for %s", silent.Round(time.Second))}
	}
	if in.State.StepSince.IsZero() {
		in.State.StepSince = in.Now
	}
	service, ratio := in.State.take(in, o)
	passed := in.Now.Sub(in.State.StepSince)
	held := in.State.held(in, o, service, ratio)
	if passed >= o.MaxStep || passed >= o.MinStep && held == "" {
		if in.State.Step == len(o.Steps)-1 {
			return Decision{Open: true, Limit: in.Worker.Host.Capacity.CPU, Done: true}
		}
		in.State.Step++
		in.State.StepSince = in.Now
	}
	share := o.Steps[in.State.Step]
	return Decision{
		Open:      true,
		Limit:     int64(share * float64(in.Worker.Host.Capacity.CPU)),
		BlockedBy: held,
	}
}

// held returns what keeps the present step from ending.
func (s *State) held(in Input, o Options, service string, ratio float64) string {
	if s.Paused {
		return fmt.Sprintf("%s is at %.0f %% of its target, must fall below %.0f %%",
			service, 100*ratio, 100*o.ResumeBelow)
	}
	if s.Step == len(o.Steps)-1 && in.Returning > 0 {
		return fmt.Sprintf("%d tasks wait to come back", in.Returning)
	}
	return ""
}

// take smooths new reports and returns the service that is nearest to its target.
func (s *State) take(in Input, o Options) (service string, ratio float64) {
	if s.Smoothed == nil {
		s.Smoothed = make(map[string]float64)
		s.LastReport = make(map[string]time.Time)
	}
	for name, report := range in.Worker.Reports {
		target := in.Services[name].Target
		if target <= 0 || report.P99 <= 0 || report.Count <= 0 {
			continue
		}
		value := math.Log(report.P99.Seconds() / target.Seconds())
		if last, ok := s.LastReport[name]; !ok {
			s.Smoothed[name] = value
		} else if report.To.After(last) {
			s.Smoothed[name] += o.Smoothing * (value - s.Smoothed[name])
		}
		s.LastReport[name] = report.To
	}
	for name, v := range s.Smoothed {
		r := math.Exp(v)
		if r > ratio || r == ratio && name < service {
			service, ratio = name, r
		}
	}
	if ratio > o.PauseAbove {
		s.Paused = true
	}
	if ratio < o.ResumeBelow {
		s.Paused = false
	}
	return service, ratio
}
