package learner

import "time"

// Timeline keeps what ran on each worker in the recent past, so that late
// reports meet what ran when they were measured.
type Timeline struct {
	Retention    time.Duration // how far back; zero means 5 minutes
	Workers map[string][]ShareChange
}

// ShareChange is the shares of processors by class from a time on.
type ShareChange struct {
	At     time.Time
	Shares map[string]float64
}

// Record says what runs on a worker from now on. Call it at each change of
// grants, with accountant.Worker.Shares.
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

// Average returns the shares averaged over an interval, and false if the
// timeline does not reach back to its beginning.
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

// Forget drops a worker.
func (t *Timeline) Forget(worker string) { delete(t.Workers, worker) }
