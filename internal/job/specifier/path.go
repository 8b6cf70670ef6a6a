package specifier

import "time"

// Paths returns for each step the longest sum of run times along dependent steps
// that begins with it. runTimes holds the run time of each step's tasks.
func (j *Job) Paths(runTimes []time.Duration) []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		paths[i] += runTimes[i]
		for _, earlier := range j.Steps[i].After {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}

// CriticalPath returns the longest sum of run times along dependent steps. runTimes holds
// the run time of each step's tasks.
func (j *Job) CriticalPath(runTimes []time.Duration) time.Duration {
	var longest time.Duration
	for _, path := range j.Paths(runTimes) {
		longest = max(longest, path)
	}
	return longest
}

// Estimates returns the estimated run time of each step's tasks.
func (j *Job) Estimates() []time.Duration {
	times := make([]time.Duration, len(j.Steps))
	for i := range times {
		times[i] = j.Steps[i].Estimate
	}
	return times
}
