package manager

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// loadRefresh is the interval at which an unchanged load summary is published again.
// Admission ignores old ones, since the owner may be gone, and balancing those above
// balancer.MaxAge. Until other hosts have one, it takes publishInterval and viewInterval more.
const loadRefresh = 2 * time.Second

// runTimesInterval is the interval at which summaries contain the learned run times. These
// change slowly and are half of a summary, which all hosts read over the link between
// regions. Hosts keep those that they have received.
const runTimesInterval = 5 * time.Second

// publish writes the load summary to the store if it has changed or the last one is old.
func (o *ownedShard) publish(ctx context.Context, load recorder.Load) {
	load.Epoch = o.fence.Epoch
	o.countMoved(&load)
	isSame := isSameLoad(load, o.lastLoad)
	if isSame && time.Since(o.publishedAt) < loadRefresh {
		return
	}
	o.lastLoad, o.publishedAt = load, time.Now()
	if !isSame {
		o.logLoad(load)
	}
	if o.publisher.add(load) {
		o.calls.Go(func() { o.writeLoads(ctx) })
	}
}

// isSameLoad reports whether two load summaries differ at most in their age and in learned run times.
func isSameLoad(a, b recorder.Load) bool {
	a.MadeAt, a.ReadRevision, a.RunTimes = b.MadeAt, b.ReadRevision, nil
	b.RunTimes = nil
	return bytes.Equal(recorder.Encode(a), recorder.Encode(b))
}

// logLoad writes a log line about a changed load summary.
func (o *ownedShard) logLoad(load recorder.Load) {
	line := o.log.Info().Int64("epoch", load.Epoch).Int("workers", load.Workers).Int64("free", load.Free.CPU).Int64("turning", load.FiniteCPU).
		Int64("unused", load.UnusedCPU).Int64("fillers", load.FillerCPU).Int64("lasting", load.LongRunningCPU).Int64("limit", load.LongRunningLimit)
	for _, b := range load.Backlog {
		line = line.Int64(fmt.Sprintf("backlog%d", b.Priority), b.ReservedWork).Int64(fmt.Sprintf("fillers%d", b.Priority), b.FillerWork)
	}
	if f := slowestFillers(load.Fillers); f != nil {
		line = line.Str("slowest", f.Image).Int64("slowestWork", f.Work).Int64("slowestCPU", f.CPU)
	}
	line.Msg("load summary changed")
}

// slowestFillers returns the fillers of the image that would take longest if they ran alone, or nil
// if none are unfinished.
func slowestFillers(loads []recorder.FillerLoad) *recorder.FillerLoad {
	var slowest *recorder.FillerLoad
	for i := range loads {
		f := &loads[i]
		if slowest == nil || f.Work*max(slowest.CPU, 1) > slowest.Work*max(f.CPU, 1) {
			slowest = f
		}
	}
	return slowest
}
