package dispatcher

import (
	"math"
	"time"
)

// Workers that fail or stall are avoided for a while, and slow ones rank lower. Both are
// judged against the other workers: a fault of a task, of the network or of all workers must
// not leave the shard without any.

const (
	// maxAvoidedShare is the largest share of the shard's workers that are avoided at the
	// same time. It leaves room for a whole rack.
	maxAvoidedShare = 1.0 / 3

	slowFactor        = 1.5              // run time, relative to that of the other workers, from which on a worker counts as slow
	maxSpeedRatio     = 3                // a larger ratio of one run counts as this, so that a few long tasks don't make a worker slow
	minSpeedSamples   = 5                // runs that must have ended before a worker is judged
	speedSmoothing    = 0.2              // weight of the last run in the average of a worker
	baselineSmoothing = 0.05             // weight of the last run in the average of a queue
	speedHalfLife     = 10 * time.Second // a slow worker gets no runs that could show that it is fast again
)

// workerHealth is what the recent runs tell about a worker. The zero value knows nothing.
type workerHealth struct {
	avoidedUntil time.Time // after failed, stalled or overtaken runs; counts against maxAvoidedShare
	slowness     float64   // average log of the run time relative to that of all workers
	samples      int
	sampledAt    time.Time
}

// avoid starts no runs on the worker for some time, unless too many workers are avoided. It
// reports whether the worker is avoided.
func (s *Shard) avoid(w *worker, d time.Duration) bool {
	if s.now.Before(w.health.avoidedUntil) || s.avoidedWorkers() < s.maxAvoidedWorkers() {
		w.health.avoidedUntil = s.now.Add(d)
		w.avoidUntil = w.health.avoidedUntil
		return true
	}
	if s.now.Sub(s.avoidRefusedAt) >= reportInterval {
		s.avoidRefusedAt = s.now
		s.emit(Log{Message: "worker not avoided", Worker: w.reg.ID, Reason: "too many workers are avoided"})
	}
	return false
}

// avoidedWorkers returns the number of workers that are avoided after failed, stalled or
// overtaken runs.
func (s *Shard) avoidedWorkers() int {
	n := 0
	for _, w := range s.sortedWorkers {
		if w.stays() && s.now.Before(w.health.avoidedUntil) {
			n++
		}
	}
	return n
}

// maxAvoidedWorkers returns how many workers may be avoided at the same time, at least one.
func (s *Shard) maxAvoidedWorkers() int {
	return max(int(maxAvoidedShare*float64(s.stayingWorkers())), 1)
}

// stayingWorkers returns the number of workers that are registered and not about to leave.
func (s *Shard) stayingWorkers() int {
	n := 0
	for _, w := range s.sortedWorkers {
		if w.stays() {
			n++
		}
	}
	return n
}

// observeSpeed records the run time of a finite task that has completed. The expected run
// time may be wrong for the whole queue, so the run is compared with others of its queue.
// Fillers aren't judged: they run at the pace that they are given.
func (s *Shard) observeSpeed(r *run) {
	if r.task == nil || r.phase != active || r.startedAt.IsZero() || r.task.adopted || r.isFiller() || r.task.step.spec.LongRunning {
		return
	}
	expected, took := s.expectedRunTime(r.task.step), s.now.Sub(r.startedAt)
	if expected <= 0 || took <= 0 {
		return
	}
	sample := math.Log(took.Seconds() / expected.Seconds())
	baseline := s.speedBaseline(r.task.step.job.spec.Queue)
	if baseline.samples == 0 {
		baseline.mean = sample
	}
	deviation := min(max(sample-baseline.mean, -math.Log(maxSpeedRatio)), math.Log(maxSpeedRatio))
	baseline.samples++
	baseline.mean += max(baselineSmoothing, 1/float64(baseline.samples)) * deviation
	h := &r.worker.health
	h.slowness = h.current(s.now)
	h.samples++
	h.slowness += max(speedSmoothing, 1/float64(h.samples)) * (deviation - h.slowness)
	h.sampledAt = s.now
}

// speedBaseline is the average log of real to expected run time of a queue's tasks in the
// shard.
type speedBaseline struct {
	mean    float64
	samples int
}

// maxSpeedBaselines bounds the queues that are remembered. Configurations may replace queues.
const maxSpeedBaselines = 256

// speedBaseline returns the baseline of a queue.
func (s *Shard) speedBaseline(queue string) *speedBaseline {
	b := s.speedBaselines[queue]
	if b == nil {
		if s.speedBaselines == nil || len(s.speedBaselines) >= maxSpeedBaselines {
			s.speedBaselines = make(map[string]*speedBaseline)
		}
		b = &speedBaseline{}
		s.speedBaselines[queue] = b
	}
	return b
}

// current returns the worker's slowness, which decays without samples.
func (h *workerHealth) current(now time.Time) float64 {
	return h.slowness * math.Exp2(-now.Sub(h.sampledAt).Seconds()/speedHalfLife.Seconds())
}

// slownessOf returns by how much longer than elsewhere runs on the worker take, as a
// fraction, or 0 if it isn't clearly slow.
func (s *Shard) slownessOf(w *worker) float64 {
	if w.health.samples < minSpeedSamples || w.health.slowness <= 0 {
		return 0
	}
	factor := math.Exp(w.health.current(s.now))
	if factor < slowFactor {
		return 0
	}
	return factor - 1
}
