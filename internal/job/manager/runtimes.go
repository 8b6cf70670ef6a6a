package manager

import (
	"maps"
	"slices"

	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/estimator"
)

// learnedRunTimes returns what the owners of all shards have published about run times,
// from which a new owner starts.
func (m *Manager) learnedRunTimes() estimator.Records {
	view := m.View()
	summaries := make([]estimator.Records, 0, len(view.Shards))
	for _, name := range slices.Sorted(maps.Keys(view.Shards)) {
		summaries = append(summaries, view.Shards[name].Load.RunTimes)
	}
	return estimator.MergeAll(summaries...)
}

// usableRunTimes returns the learned run times of a load summary, or the known ones if it
// contains none. Those that can't be decoded are logged.
func (m *Manager) usableRunTimes(key string, received, known estimator.Records) estimator.Records {
	valid, invalid := received.Valid()
	if invalid > 0 {
		m.log.Warn().Str("key", key).Int("records", invalid).Msg("learned run times ignored, decoding failed")
	}
	if len(valid) == 0 {
		return known
	}
	return valid
}

// setRunTimes updates the gauges of the learned run times of a shard.
func setRunTimes(scope tally.Scope, records estimator.Records) {
	for i := range records {
		r := &records[i]
		tagged := scope.Tagged(map[string]string{"queue": r.Queue, "image": r.Image})
		tagged.Gauge("run_time_ratio").Update(r.Ratio())
		tagged.Gauge("run_time_exponent").Update(r.Predict(0).Slope)
		tagged.Gauge("run_time_evidence").Update(r.Weight)
	}
}
