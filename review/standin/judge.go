//go:build review

package main

import (
	"fmt"
	"time"
)

// byTask returns the runs of each task in the order of their starts.
func (l *record) byTask() map[string][]*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]*run{}
	for _, r := range l.runs {
		out[r.task] = append(out[r.task], r)
	}
	return out
}

// isNoted reports whether a run's end has been taken note of, then or later.
func (r *run) isNoted() bool { return !r.noted.IsZero() && !r.lapsed }

func (l *record) at(t time.Time) float64 { return t.Sub(l.began).Seconds() }

// twice returns the breaks of TWICE, for steps without AllowDuplicates.
func (l *record) twice() (broken []string) {
	for task, runs := range l.byTask() {
		for i, r := range runs {
			for _, earlier := range runs[:i] {
				switch {
				case earlier.ended.IsZero() || earlier.ended.After(r.started):
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s began at %.3f while run %d was at work on %s",
						task, r.number, r.worker, l.at(r.started), earlier.number, earlier.worker))
				case earlier.how == "done" && earlier.isNoted():
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s began at %.3f, run %d on %s had ended done at %.3f, taken note of at %.3f",
						task, r.number, r.worker, l.at(r.started), earlier.number, earlier.worker, l.at(earlier.ended), l.at(earlier.noted)))
				}
			}
		}
	}
	return broken
}

// budget returns the breaks of BUDGET.
func (l *record) budget(attempts int) (broken []string) {
	for task, runs := range l.byTask() {
		for i, r := range runs {
			failed := 0
			for _, earlier := range runs[:i] {
				if earlier.how == "failed" && earlier.isNoted() && !earlier.ended.IsZero() && earlier.ended.Before(r.started) {
					failed++
				}
			}
			if failed >= attempts {
				broken = append(broken, fmt.Sprintf("BUDGET: %s run %d on %s began at %.3f after %d failed runs, Attempts is %d",
					task, r.number, r.worker, l.at(r.started), failed, attempts))
			}
		}
	}
	return broken
}

// limit returns the breaks of LIMIT.
func (l *record) limit() (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, text := range l.over {
		broken = append(broken, "LIMIT:"+text)
	}
	return broken
}

// unasked returns the breaks of UNASKED for jobs whose cancelling was acknowledged at the
// given times. The core has been stable from stable on; all daemons run and reach it.
func (l *record) unasked(acknowledged map[string]time.Time, stable, end time.Time) (broken []string) {
	for task, runs := range l.byTask() {
		ack, ok := acknowledged[task[:16]]
		if !ok {
			continue
		}
		for _, r := range runs {
			if r.started.After(ack.Add(cancelTime)) && r.started.After(stable.Add(contactTime)) {
				broken = append(broken, fmt.Sprintf("UNASKED: %s run %d on %s began at %.3f, the cancelling of its job was acknowledged at %.3f, the core was stable from %.3f",
					task, r.number, r.worker, l.at(r.started), l.at(ack), l.at(stable)))
			}
			if gone := later(ack, stable.Add(contactTime)).Add(cancelTime + stopTimeout); r.ended.IsZero() && end.After(gone) {
				broken = append(broken, fmt.Sprintf("UNASKED: %s run %d on %s still runs at %.3f, the cancelling of its job was acknowledged at %.3f, the core was stable from %.3f",
					task, r.number, r.worker, l.at(end), l.at(ack), l.at(stable)))
			}
		}
	}
	return broken
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// count records how the runs ended, and whether any end was passed by a lapse of its lease.
func (l *record) count() {
	ends, lapsed := map[string]int{}, 0
	for _, runs := range l.byTask() {
		for _, r := range runs {
			ends[r.how]++
			if r.lapsed {
				lapsed++
			}
		}
	}
	l.printf("runs by outcome: %v; ends whose lease lapsed before they were taken note of: %d", ends, lapsed)
}
