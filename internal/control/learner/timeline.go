package learner

import "time"

// Timeline is the recent history of the shares of processors that batch classes
// held on each worker. It tells what ran during the interval of a late report.
// Its zero value is ready to use.
type Timeline struct {
	Retention time.Duration            // how long changes are kept; zero means 5 minutes
	Workers   map[string][]ShareChange // changes by worker name, in order of time
}

// ShareChange holds the shares of processors by class from a time on.
type ShareChange struct {
	At     time.Time
	Shares map[string]float64
}

// Record sets the shares of a worker from now on. It must be called at each
// change of its grants, with the result of accountant.Worker.BatchShares.
func (t *Timeline) Record(worker string, now time.Time, shares map[string]float64) {
	if t.Workers == nil {
		t.Workers = make(map[string][]ShareChange)
	}
	changes := t.Workers[worker]
	cutoff := now.Add(-orDefault(t.Retention, 5*time.Minute))
	first := 0
	for first+1 < len(changes) && !changes[first+1].At.After(cutoff) {
		first++
	}
	changes = append(changes[:0:0], changes[first:]...)
	if n := len(changes); n > 0 && changes[n-1].At.Equal(now) {
		changes = changes[:n-1]
	}
	t.Workers[worker] = append(changes, ShareChange{now, shares})
}

// Average returns a worker's mean shares over an interval, and false if the
// timeline does not reach back to the beginning of the interval.
func (t *Timeline) Average(worker string, from, to time.Time) (map[string]float64, bool) {
	changes := t.Workers[worker]
	total := to.Sub(from).Seconds()
	if len(changes) == 0 || changes[0].At.After(from) || total <= 0 {
		return nil, false
	}
	out := make(map[string]float64)
	for i, c := range changes {
		begin, end := c.At, to
		if begin.Before(from) {
			begin = from
		}
		if i+1 < len(changes) && changes[i+1].At.Before(to) {
			end = changes[i+1].At
		}
		part := end.Sub(begin).Seconds() / total
		if part <= 0 {
			continue
		}
		for class, share := range c.Shares {
			out[class] += part * share
		}
	}
	return out, true
}

// Forget removes a worker.
func (t *Timeline) Forget(worker string) { delete(t.Workers, worker) }
