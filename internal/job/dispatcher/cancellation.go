package dispatcher

import "time"

// An owner learns of cancellations from the store. While it reads them late, although the
// store confirms its ownership, it would start tasks of jobs that have been cancelled, so it
// starts none. During an outage of the store no cancellation is accepted, and the owner
// starts runs for OutageLimit.

// cancellations is what the owner knows of how current its cancellations are.
type cancellations struct {
	readAt   time.Time // all that were accepted before have been delivered
	isPaused bool      // no runs are started, since they are read late
}

// areCancellationsKnown reports whether the cancellations have been read recently enough to
// start runs.
func (s *Shard) areCancellationsKnown() bool {
	limit := s.options.MaxCancellationAge
	return limit == 0 || s.ownership.answeredAt.Sub(s.cancellations.readAt) < limit
}

// reviewCancellations logs when starts are paused and when they go on.
func (s *Shard) reviewCancellations() {
	c := &s.cancellations
	isPaused := !s.areCancellationsKnown()
	if isPaused == c.isPaused {
		return
	}
	c.isPaused = isPaused
	line := Log{Message: "run starts resumed", Reason: "cancellations known"}
	if isPaused {
		line = Log{Message: "run starts paused", Reason: "cancellations read late", Age: s.ownership.answeredAt.Sub(c.readAt)}
	}
	s.emit(line)
}
