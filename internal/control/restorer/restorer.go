// Package restorer decides how fast a drained worker gets batch tasks back.
//
// # Algorithm
//
// A restore goes through steps with rising limits on the processors that batch
// tasks may hold on the worker. A step ends when it has lasted for a minimum
// time and the worker's services are within their latency targets. A limit is
// never lowered, because one that follows noisy load would oscillate; reacting
// to a service that misses its target is left to the escalator. A step that has
// lasted for its maximum time ends in any case, since the placer checks the
// effect of each placement anyway. So every restore ends as long as the worker
// responds.
//
//	decision := restorer.Decide(input)
//	worker.BatchLimited, worker.BatchLimit = !decision.Done, decision.Limit
package restorer

import (
	"fmt"
	"math"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Input is what a decision is made from. Decide changes State, and only reads
// the rest.
type Input struct {
	Now       time.Time
	Worker    *accountant.Worker
	Services  map[string]describer.Service // all services by name
	Returning int                          // number of tasks drained from this worker that wait to run on it again
	Removed   bool                         // whether the worker has left the host list for good
	State     *State                       // memory of this worker and drain
	Options   Options
}

// Decision is what may run on the worker now.
type Decision struct {
	Open      bool   // whether service requests may be sent to the worker
	Limit     int64  // millicores that batch tasks may hold
	Done      bool   // whether the restore has ended
	BlockedBy string // reason why the step can't end, for operators; empty if Done or if only time has to pass
}

// Options are the parameters of the decisions. Zero fields take defaults.
type Options struct {
	Steps          []float64     // limits as rising shares of the worker's processors, the last one 1
	MinStep        time.Duration // minimum time of a step, longer than the delay of reports
	MaxStep        time.Duration // maximum time of a step
	SilenceTimeout time.Duration // time without an inventory after which the worker counts as not responding
	PauseAbove     float64       // latency ratio of a service (99th percentile to target) above which the step pauses
	ResumeBelow    float64       // latency ratio below which the step resumes
	Smoothing      float64       // weight of the newest report in the exponentially smoothed latency
}

// orDefault fills in the defaults.
func (o Options) orDefault() Options {
	if len(o.Steps) == 0 {
		o.Steps = []float64{0.125, 0.25, 0.5, 1}
	}
	duration := func(v *time.Duration, fallback time.Duration) {
		if *v == 0 {
			*v = fallback
		}
	}
	duration(&o.MinStep, time.Minute)
	duration(&o.MaxStep, 5*time.Minute)
	duration(&o.SilenceTimeout, time.Minute)
	number := func(v *float64, fallback float64) {
		if *v == 0 {
			*v = fallback
		}
	}
	number(&o.PauseAbove, 1)
	number(&o.ResumeBelow, 0.9)
	number(&o.Smoothing, 0.3)
	return o
}

// State is the memory of one restore. Its zero value begins one. It is not
// durable: a new owner of the shard begins again at the first step, which is
// safe.
type State struct {
	Step       int                  // index of the current step in Options.Steps
	StepSince  time.Time            // beginning of the current step
	Paused     bool                 // whether the step pauses because of a service's latency
	Smoothed   map[string]float64   // logarithm of the latency ratio, by service
	LastReport map[string]time.Time // end of the latest report by service
}

// Decide returns what may run on the worker now.
func Decide(in Input) Decision {
	o := in.Options.orDefault()
	if in.Removed {
		return Decision{Done: true}
	}
	if silence := in.Now.Sub(in.Worker.LastInventory); silence > o.SilenceTimeout {
		in.State.StepSince = in.Now // the step's time does not pass while the worker does not respond
		return Decision{BlockedBy: fmt.Sprintf("no answer from the worker for %s", silence.Round(time.Second))}
	}
	if in.State.StepSince.IsZero() {
		in.State.StepSince = in.Now
	}
	service, ratio := in.State.update(in, o)
	elapsed := in.Now.Sub(in.State.StepSince)
	blockedBy := in.State.blockedBy(in, o, service, ratio)
	if elapsed >= o.MaxStep || elapsed >= o.MinStep && blockedBy == "" {
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
		BlockedBy: blockedBy,
	}
}

// blockedBy returns why the current step can't end yet, or "".
func (s *State) blockedBy(in Input, o Options, service string, ratio float64) string {
	if s.Paused {
		return fmt.Sprintf("%s is at %.0f %% of its target, must fall below %.0f %%",
			service, 100*ratio, 100*o.ResumeBelow)
	}
	if s.Step == len(o.Steps)-1 && in.Returning > 0 {
		return fmt.Sprintf("%d tasks wait to come back", in.Returning)
	}
	return ""
}

// update adds new reports to the smoothed latencies. It returns the service
// with the highest latency ratio, and that ratio.
func (s *State) update(in Input, o Options) (service string, ratio float64) {
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
