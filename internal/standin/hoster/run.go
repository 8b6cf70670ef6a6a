package hoster

import (
	"encoding/json"
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// forever is far beyond the end of any trial.
const forever = 100 * 365 * 24 * time.Hour

// run is one run of a task in progress.
type run struct {
	start   runner.StartRequest
	payload Payload
	work    time.Duration // at full speed
	done    time.Duration // of work, up to since
	since   time.Time
	began   time.Time
	ends    time.Time // of the lease

	throttled describer.Token // epoch and sequence of the last throttle
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// leaseEnd returns when a lease granted now ends.
func leaseEnd(now time.Time, lease time.Duration, until time.Time) time.Time {
	end := now.Add(lease)
	if !until.IsZero() && until.Before(end) {
		return until
	}
	return end
}

func newRun(s runner.StartRequest, now time.Time) (*run, error) {
	r := &run{start: s, work: s.RunTime, since: now, began: now, ends: leaseEnd(now, s.Lease, s.Until)}
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

func (r *run) id() runner.Run { return runner.Run{Task: r.start.Task, Token: r.start.Token} }

// speed is the share of full speed that the grant allows, 0 to 1.
func (r *run) speed() float64 {
	if r.payload.CPU <= 0 {
		return 1
	}
	return min(1, float64(r.start.Granted.CPU)/float64(r.payload.CPU))
}

func (r *run) progress(now time.Time) {
	r.done += time.Duration(float64(now.Sub(r.since)) * r.speed())
	r.since = now
}

// completion returns when the run ends at the present speed. A
// latency-critical task does not end by itself.
func (r *run) completion() time.Time {
	left := max(0, r.work-r.done)
	speed := r.speed()
	if left > 0 && (speed == 0 || r.start.Kind == describer.LatencyCritical) {
		return r.since.Add(forever)
	}
	return r.since.Add(time.Duration(float64(left) / max(speed, 1e-9)))
}

func (r *run) checkpoint() string { return min(r.done, r.work).String() }

// report shows the usage only once the lag has passed.
func (r *run) report(now time.Time, lag time.Duration) runner.ActiveRun {
	out := runner.ActiveRun{Run: r.id(), Granted: r.start.Granted, ThrottleToken: r.throttled}
	if r.work > 0 {
		out.Progress = min(1, float64(r.done)/float64(r.work))
	}
	if now.Sub(r.began) >= lag {
		out.Used = r.start.Granted
		out.Used.CPU = min(r.payload.CPU, r.start.Granted.CPU)
	}
	return out
}
