package dispatcher

import (
	"fmt"
	"maps"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// runKey identifies a run of a shard.
type runKey struct {
	task   specifier.TaskID
	number int64
}

// forgottenRun is a run that the owner doesn't expect on its worker any more, though the worker
// has listed no end of it. It is only for logs: if the run appears again, it says why it wasn't
// expected.
type forgottenRun struct {
	worker string
	reason string
	at     time.Time
}

// forgottenRetention is how long forgotten runs are remembered. It is longer than a lease.
const forgottenRetention = 30 * time.Second

// forgetRun removes a run that has ended by other evidence than a listed end.
func (s *Shard) forgetRun(r *run, reason string) {
	if s.forgotten == nil {
		s.forgotten = make(map[runKey]forgottenRun)
	}
	s.forgotten[runKey{r.id, r.number}] = forgottenRun{worker: r.worker.reg.ID, reason: reason, at: s.now}
	s.removeRun(r)
}

// expireForgotten drops the forgotten runs that are older than forgottenRetention.
func (s *Shard) expireForgotten() {
	maps.DeleteFunc(s.forgotten, func(_ runKey, f forgottenRun) bool { return s.now.Sub(f.at) > forgottenRetention })
}

// logUnexpected completes and logs the line about a run that a worker lists, or the end of one,
// if this owner has forgotten it or the task has another run. An unexpected run, other than an
// unexpected end, may be one of two runs of a task at a time.
func (s *Shard) logUnexpected(line Log, id specifier.TaskID) {
	f, wasForgotten := s.forgotten[runKey{id, line.Run}]
	t := s.findTask(id)
	if !wasForgotten && (t == nil || t.worker == nil || t.mayHaveDuplicate()) {
		return
	}
	line.Task, line.Job = id.String(), id.Job
	line.Reason = "not known to this owner; " + t.describeRuns()
	if wasForgotten {
		line.Age = s.now.Sub(f.at)
		line.Reason = fmt.Sprintf("forgotten on %s: %s; %s", f.worker, f.reason, t.describeRuns())
	}
	s.emit(line)
}

// describeRuns returns which run the task has, or why it has none, for logs.
func (t *task) describeRuns() string {
	switch {
	case t == nil:
		return "job not known or ended"
	case t.worker != nil && t.worker.runs[t.id()] != nil:
		return fmt.Sprintf("the task has run %d on %s", t.worker.runs[t.id()].number, t.worker.reg.ID)
	case t.done:
		return "the task has completed"
	case t.elsewhere:
		return "another shard has the task"
	}
	return "the task waits"
}

// logRestart logs that a worker has a new incarnation, what has shown it, how many of its runs
// were never listed, and how old the last inventory is.
func (s *Shard) logRestart(w *worker, incarnation int64, evidence string) {
	line := Log{Message: "worker restarted", Worker: w.reg.ID}
	if !w.polledAt.IsZero() {
		line.Age = s.now.Sub(w.polledAt)
	}
	unlisted := 0
	for _, r := range w.runs {
		if !r.listed {
			unlisted++
		}
	}
	line.Reason = fmt.Sprintf("%s with incarnation %d after %d, %d of %d runs never listed", evidence, incarnation, w.reg.Incarnation, unlisted, len(w.runs))
	s.emit(line)
}
