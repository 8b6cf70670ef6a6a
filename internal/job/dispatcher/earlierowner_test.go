package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// endsOfRuns are the ways in which TestOneStartAfterEachEnd ends runs.
var endsOfRuns = []specifier.Outcome{
	specifier.OutcomeFailed, specifier.OutcomeStopped, specifier.OutcomeLeaseExpired, specifier.OutcomeGangBroken, specifier.OutcomeGangIncomplete,
}

// tasksPerWorker is the number of long-running tasks in a test of a takeover, for each worker.
const tasksPerWorker = 3

// TestOneStartAfterEachEnd guards against two owners that start a task after one and the same end of a
// run. The earlier one has lost the store and reaches the workers, among them some far away; it has polls
// waiting there when the next one claims the shard.
func TestOneStartAfterEachEnd(t *testing.T) {
	t.Parallel()
	for _, end := range endsOfRuns {
		t.Run(string(end), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { playTakeover(t, end) })
		})
	}
}

// TestOneStartAfterEachFailure does the same with runs that fail by themselves, all through the takeover.
func TestOneStartAfterEachFailure(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { playTakeover(t, "") })
}

// playTakeover loses the store for the owner of a shard, lets another one claim it, and ends runs
// meanwhile.
func playTakeover(t *rapid.T, end specifier.Outcome) {
	n := rapid.IntRange(6, 16).Draw(t, "workers")
	s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), n)
	s.ordersAreBound, s.pollsWait = true, true
	s.waitingPollsFenced = rapid.IntRange(0, 4).Draw(t, "waiting polls fenced") == 0
	if end == "" {
		s.longRunningFailures, s.longRunningLife = 1, 1200*time.Millisecond
	}
	s.submitTakeoverJobs(t, n)
	s.advance(3 * time.Second)
	if end != "" {
		s.emptyWorkers(rapid.IntRange(0, n/2).Draw(t, "empty workers"))
	}
	s.advance(time.Second)
	first := s.shards[0].owner
	first.reachesStore = false
	first.drawDistances(t)
	claimed := simOwnerTTL + drawTime(t, 800*time.Millisecond, "claimed after")
	s.schedule(claimed, func() {
		s.shards[0].placeOwner = func(o *owner) { o.drawReachable(t) }
		s.shards[0].claim()
	})
	for range rapid.IntRange(0, 1).Draw(t, "restarts") {
		w := s.workers[rapid.IntRange(0, n-1).Draw(t, "restarted")]
		at := claimed - 500*time.Millisecond + drawTime(t, 2*time.Second, "crashes after")
		s.schedule(at, w.crash)
		s.schedule(at+50*time.Millisecond, w.restart)
	}
	if end != "" {
		s.interruptRuns(t, end, claimed)
	}
	watch := &longRunningWatch{sim: s, lastRun: make(map[specifier.TaskID]time.Time)}
	for i := range tasksPerWorker * n {
		watch.tasks = append(watch.tasks, specifier.TaskID{Job: fmt.Sprintf("%016x", 0), Index: i})
	}
	for end := s.now.Add(claimed + 15*time.Second); s.now.Before(end); {
		s.advance(100 * time.Millisecond)
		if gap, id := watch.longestGap(); gap > gapLimit {
			s.fail("%s has no run for %v; the owner reports %+v", id, gap, s.waits)
		}
	}
}

// drawDistances draws which workers are in other regions than the owner.
func (o *owner) drawDistances(t *rapid.T) {
	o.distances = make(map[*fakeWorker]time.Duration)
	for _, w := range o.home.workers {
		o.distances[w] = rapid.SampledFrom([]time.Duration{0, 0, 30 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "distance")
	}
}

// drawReachable draws which workers the owner doesn't reach, and which are in other regions.
func (o *owner) drawReachable(t *rapid.T) {
	o.drawDistances(t)
	n := len(o.home.workers)
	for _, w := range o.home.workers[n-rapid.IntRange(0, (n-1)/3).Draw(t, "silent workers"):] {
		o.unreachable[w] = true
	}
}

// submitTakeoverJobs submits jobs of each kind of task that may not have two runs.
func (s *simulation) submitTakeoverJobs(t *rapid.T, n int) {
	steps := []specifier.Step{
		{Count: tasksPerWorker * n, Needs: resources(200), Estimate: time.Second, LongRunning: true},
		{Count: 2 * n, Needs: resources(200), Estimate: 20 * time.Second, Checkpoint: true},
		{Count: n / 2, Needs: resources(200), Estimate: 20 * time.Second, Gang: true},
		{Count: n, Needs: resources(200), Estimate: 20 * time.Second, Filler: true},
	}
	for i, step := range steps {
		if i > 0 && rapid.Bool().Draw(t, "left out") {
			continue
		}
		s.submit(specifier.Job{ID: fmt.Sprintf("%016x", i), Steps: []specifier.Step{step}})
	}
}

// emptyWorkers restarts the first workers, so that they are the ones with most room.
func (s *simulation) emptyWorkers(n int) {
	for _, w := range s.workers[:n] {
		w.crash()
		s.schedule(50*time.Millisecond, w.restart)
	}
}

// interruptRuns ends runs with an outcome, most of them just after the claim.
func (s *simulation) interruptRuns(t *rapid.T, end specifier.Outcome, claimed time.Duration) {
	for range rapid.IntRange(30, 90).Draw(t, "ends") {
		at := claimed + drawTime(t, 200*time.Millisecond, "ends after")
		if rapid.IntRange(0, 3).Draw(t, "at any time") == 0 {
			at = claimed - time.Second + drawTime(t, 4*time.Second, "ends after")
		}
		w := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker")]
		s.schedule(at, func() { w.interrupt(end) })
	}
}
