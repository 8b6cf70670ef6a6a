package hoster

import (
	"encoding/json"
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// never is added to the time of a run that doesn't complete by itself. It is far
// longer than any test takes.
const never = 100 * 365 * 24 * time.Hour

// run is a run of a task in progress. It advances by the share of full speed that its
// CPU grant allows.
type run struct {
	start     runner.StartRequest
	payload   Payload
	work      time.Duration // total work, as run time at full speed
	done      time.Duration // work done until updatedAt
	updatedAt time.Time
	startedAt time.Time
	leaseEnd  time.Time

	throttleToken describer.Token // epoch and sequence of the last throttle
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newLeaseEnd returns when a lease granted now ends: after its duration, but not after
// until, if that is set.
func newLeaseEnd(now time.Time, lease time.Duration, until time.Time) time.Time {
	end := now.Add(lease)
	if !until.IsZero() && until.Before(end) {
		return until
	}
	return end
}

// newRun returns the run that a start request asks for. A checkpoint is the work that
// an earlier run has done, as duration text.
func newRun(s runner.StartRequest, now time.Time) (*run, error) {
	r := &run{start: s, work: s.RunTime, updatedAt: now, startedAt: now, leaseEnd: newLeaseEnd(now, s.Lease, s.Until)}
	if len(s.Payload) > 0 {
		if err := json.Unmarshal(s.Payload, &r.payload); err != nil {
			return nil, fmt.Errorf("payload: %w", err)
		}
	}
	if r.payload.Work != "" {
		work, err := time.ParseDuration(r.payload.Work)
		if err != nil {
			return nil, fmt.Errorf("payload.work: %w", err)
		}
		r.work = work
	}
	if s.Checkpoint != "" {
		done, err := time.ParseDuration(s.Checkpoint)
		if err != nil {
			return nil, fmt.Errorf("checkpoint: %w", err)
		}
		r.done = done
	}
	if r.payload.CPU == 0 {
		r.payload.CPU = s.Granted.CPU
	}
	return r, nil
}

// id returns the task and token that identify the run.
func (r *run) id() runner.Run { return runner.Run{Task: r.start.Task, Token: r.start.Token} }

// speed returns the share of full speed that the CPU grant allows, 0 to 1.
func (r *run) speed() float64 {
	if r.payload.CPU <= 0 {
		return 1
	}
	return min(1, float64(r.start.Granted.CPU)/float64(r.payload.CPU))
}

// advance adds the work done until now.
func (r *run) advance(now time.Time) {
	r.done += time.Duration(float64(now.Sub(r.updatedAt)) * r.speed())
	r.updatedAt = now
}

// completionTime returns when the run completes at its present speed. A
// latency-critical task doesn't complete by itself.
func (r *run) completionTime() time.Time {
	remaining := max(0, r.work-r.done)
	speed := r.speed()
	if remaining > 0 && (speed == 0 || r.start.Kind == describer.LatencyCritical) {
		return r.updatedAt.Add(never)
	}
	return r.updatedAt.Add(time.Duration(float64(remaining) / max(speed, 1e-9)))
}

// checkpoint returns the work done as duration text, from which a later run resumes.
func (r *run) checkpoint() string { return min(r.done, r.work).String() }

// activeRun returns the run as an inventory reports it. Its usage is included only
// once the report delay has passed since the start.
func (r *run) activeRun(now time.Time, delay time.Duration) runner.ActiveRun {
	out := runner.ActiveRun{Run: r.id(), Granted: r.start.Granted, ThrottleToken: r.throttleToken}
	if r.work > 0 {
		out.Progress = min(1, float64(r.done)/float64(r.work))
	}
	if now.Sub(r.startedAt) >= delay {
		out.Used = r.start.Granted
		out.Used.CPU = min(r.payload.CPU, r.start.Granted.CPU)
	}
	return out
}
