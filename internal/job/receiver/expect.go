package receiver

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/estimator"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// expectedRunTimes returns the expected run time of each step's tasks, by what the owners
// of all shards have learned. Without evidence it is the caller's estimate.
func expectedRunTimes(queue specifier.Queue, job *specifier.Job, view *manager.View) []time.Duration {
	var summaries []estimator.Records
	for _, s := range view.Shards {
		if len(s.Load.RunTimes) > 0 {
			summaries = append(summaries, s.Load.RunTimes)
		}
	}
	models := make(map[estimator.Key]estimator.Moments)
	times := job.Estimates()
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.LongRunning || len(summaries) == 0 {
			continue
		}
		key := estimator.Key{Queue: queue.Name, Image: step.Image}
		model, ok := models[key]
		if !ok {
			model = estimator.Merge(key, summaries...)
			models[key] = model
		}
		times[i] = model.Predict(step.Estimate).RunTime
	}
	return times
}
