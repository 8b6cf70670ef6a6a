package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestLastingTasksLeaveRoom guards against long-running tasks that take all
// room from short ones. A worker is lost under load: its long-running tasks
// would fill the others, while short jobs keep arriving, twice as many as fit.
func TestLastingTasksLeaveRoom(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, 1, 5)
	const longRunning = "00000000000000ff"
	s.submit(specifier.Job{ID: longRunning, Steps: []specifier.Step{
		{Count: 16, Needs: resources(1000), Estimate: time.Minute, LongRunning: true},
	}})
	s.advance(3 * time.Second)
	g.Expect(s.running(longRunning)).To(Equal(16))
	s.workers[0].registered = false
	s.workers[0].crash()

	const jobs = 80
	for i := range jobs {
		s.submit(specifier.Job{ID: fmt.Sprintf("%016x", i), Steps: []specifier.Step{
			{Count: 2, Needs: resources(800), Estimate: 500 * time.Millisecond},
		}})
		s.advance(250 * time.Millisecond)
	}
	done := 0
	for i := range jobs {
		if s.store[fmt.Sprintf("%016x", i)].state == specifier.Succeeded {
			done++
		}
	}
	g.Expect(done).To(BeNumerically(">=", jobs*2/5), "short jobs that succeeded")
	g.Expect(s.running(longRunning)).To(BeNumerically(">=", 14), "long-running tasks keep their share")

	// After the short jobs have ended, the long-running tasks get all room back.
	s.advance(30 * time.Second)
	g.Expect(s.running(longRunning)).To(Equal(16))
}

// TestBegunJobsNeverEnd has two slots and twice the jobs that fit, each of two tasks:
// most of the tasks that are done belong to jobs that end.
func TestBegunJobsNeverEnd(t *testing.T) {
	for seed := range uint64(8) {
		s := newSimulation(t, seed, 1)
		const jobs = 80
		for i := range jobs {
			s.submit(specifier.Job{ID: fmt.Sprintf("%016x", i), Steps: []specifier.Step{
				{Count: 2, Needs: resources(2000), Estimate: 500 * time.Millisecond},
			}})
			s.advance(250 * time.Millisecond)
		}
		ended := 0
		for _, r := range s.store {
			if r.state == specifier.Succeeded {
				ended++
			}
		}
		if done := len(s.invariants.completed); 2*ended < done*4/5 {
			t.Errorf("seed %d: %d tasks are done, but only %d jobs of two tasks", seed, done, ended)
		}
	}
}

// running returns the number of runs of a job.
func (s *simulation) running(job string) int {
	n := 0
	for _, w := range s.workers {
		for id := range w.runs {
			if id.Job == job {
				n++
			}
		}
	}
	return n
}

// TestLongRunningTaskWaitsAnewUnderEachOwner replaces the owner while long-running
// tasks wait above the limit, as planned restarts of all hosts do one after the other.
func TestLongRunningTaskWaitsAnewUnderEachOwner(t *testing.T) {
	job := oneStep(19, func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(400) })
	id := func(i int) specifier.TaskID { return specifier.TaskID{Job: job.ID, Index: i} }
	var active []specifier.Run
	for i := range 18 { // 7,200 millicores, the limit
		active = append(active, specifier.Run{Task: id(i), Number: 1, ProgressPercent: full})
	}
	began := epoch
	for owner := range 3 {
		s := New(Options{Name: "desk", Lease: simLease, OutageLimit: simOutageLimit, Epoch: int64(owner) + 1, Released: true}, began)
		h := &harness{Shard: s}
		h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{{Name: "menus", Slack: 2, Attempts: 2}}}},
			JobLoaded{Job: job, Started: true},
			WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: room}, {ID: "w2", Incarnation: 1, Capacity: room}}})
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute, Active: active[:9]}})
		h.feed(PollAnswered{Worker: "w2", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute, Active: active[9:]}})
		for range 20 { // 2 s
			h.advance(100 * time.Millisecond)
		}
		if len(takeEffects[StartRun](h)) > 0 {
			return
		}
		began = h.now
	}
	t.Fatalf("not started in %s under three owners", began.Sub(epoch))
}

// TestLongRunningTaskWaitsAnewAfterARefusal has workers refuse the start of a task
// that has waited for its turn.
func TestLongRunningTaskWaitsAnewAfterARefusal(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}, "w1", "w2")
	job := oneStep(19, func(s *specifier.Step) { s.LongRunning, s.Needs = true, resources(400) })
	h.feed(JobArrived{Job: job}) // 18 tasks are the limit
	for _, start := range takeEffects[StartRun](h) {
		h.feed(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: start.Run})
	}
	g.Expect(h.jobs[job.ID].steps[0].waiting).To(Equal(1))
	h.advance(deferralLimit)
	start := takeEffects[StartRun](h)[0]
	h.feed(StartAnswered{Worker: start.Worker.ID, Incarnation: 1, Task: start.Task, Run: start.Run, Fault: Unhealthy})
	h.advance(refusalBackoff)
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1), "started again %s after the refusal", refusalBackoff)
}

// TestLostLongRunningTasksAboveTheLimit loses two of 15 workers while long-running tasks have 84 % of
// the CPU, so that those that were lost are above the limit of what is left. It guards against
// tasks that wait for the leases on the lost workers and then anew for their turn: over 9 s, the
// time after which tasks that last have to run again.
func TestLostLongRunningTasksAboveTheLimit(t *testing.T) {
	for seed := range uint64(4) {
		g := NewWithT(t)
		s := newSimulation(t, seed, 15)
		const longRunning = "00000000000000ff"
		s.submit(specifier.Job{ID: longRunning, Steps: []specifier.Step{
			{Count: 126, Needs: resources(400), Estimate: time.Minute, LongRunning: true},
		}})
		s.submit(specifier.Job{ID: "0000000000000001", Steps: []specifier.Step{{Count: 1, Needs: resources(100), Estimate: time.Second}}})
		s.advance(5 * time.Second)
		g.Expect(s.running(longRunning)).To(Equal(126))
		s.advance(time.Duration(seed) * 400 * time.Millisecond) // polls of a worker are up to 1.5 s apart
		for _, w := range s.workers[:2] {
			w.registered = false
			w.crash()
		}
		s.advance(8 * time.Second)
		g.Expect(s.running(longRunning)).To(BeNumerically(">=", 126-minFreeSlots))
	}
}
