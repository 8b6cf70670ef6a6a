package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

var lossQueue = specifier.Queue{Name: "menus", Slack: 2, Attempts: 4}

// list delivers registrations of workers in the given incarnations.
func (h *harness) list(incarnations map[string]int64) {
	var workers []specifier.Worker
	for _, id := range sortedKeys(incarnations) {
		workers = append(workers, specifier.Worker{
			ID: id, Incarnation: incarnations[id], Service: "desk", Capacity: describer.Resources{CPU: workerCPU, Memory: 1000},
		})
	}
	h.feed(WorkersListed{Workers: workers})
}

// answer delivers the inventory of a worker.
func (h *harness) answer(id string, incarnation int64, active ...specifier.Run) {
	h.feed(PollAnswered{Worker: id, Sent: h.now, Inventory: specifier.Inventory{
		Incarnation: incarnation, Clock: time.Minute + h.now.Sub(epoch), Active: active,
	}})
}

// confirm delivers the answer to a start. Inventories that are delivered after it were requested
// later: an earlier one needn't have the run.
func (h *harness) confirm(start StartRun) {
	h.feed(StartAnswered{Worker: start.Worker.ID, Incarnation: start.Worker.Incarnation, Task: start.Task, Run: start.Run})
	h.now = h.now.Add(time.Millisecond)
}

// crashTwice restarts w1 under the only task, twice, and returns its third start, which is in
// isolation. The worker's third incarnation has confirmed it.
func (h *harness) crashTwice() StartRun {
	for incarnation := int64(2); incarnation <= 3; incarnation++ {
		h.confirm(takeEffects[StartRun](h)[0])
		h.list(map[string]int64{"w1": incarnation})
		h.answer("w1", incarnation)
		h.advance(100 * time.Millisecond)
	}
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	return start
}

// losses returns the losses of the tasks of oneStep as the next commit would have them.
func losses(h *harness) []recorder.Loss {
	var out []recorder.Loss
	for _, p := range h.jobs[oneStep(1, nil).ID].progress().Tasks {
		out = append(out, p.Losses...)
	}
	return out
}

// silence fails the polls of a worker until its leases have expired, while others answer.
func (h *harness) silence(silent string, others ...string) {
	for range 40 {
		h.advance(250 * time.Millisecond)
		h.feed(PollFailed{Worker: silent, Incarnation: 1, Fault: OutcomeUnknown})
		for _, id := range others {
			h.answer(id, 1)
		}
	}
}

func TestSuspectStartsBeforeItIsRecorded(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	h.feed(JobArrived{Job: oneStep(1, nil)})
	h.confirm(takeEffects[StartRun](h)[0])
	h.list(map[string]int64{"w1": 2})
	h.advance(time.Second)
	takeEffects[StartRun](h)
	effects := h.Reduce(h.now.Add(time.Second), PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 2, Clock: time.Second}}, Tick{})
	g.Expect(effects).NotTo(ContainElement(BeAssignableToTypeOf(StartRun{})))
	var commit *Commit
	for _, e := range effects {
		if c, ok := e.(Commit); ok {
			commit = &c
		}
	}
	g.Expect(commit).NotTo(BeNil())
	g.Expect(commit.Changes[0].Progress.Tasks[0].Losses).To(HaveLen(2), "the lost run and the one to come")
	effects = h.Reduce(h.now, Committed{Batch: commit.Batch})
	g.Expect(effects).To(ContainElement(BeAssignableToTypeOf(StartRun{})))
}

func TestCutOffWorkerCountsAsCrash(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1", "w2")
	h.feed(JobArrived{Job: oneStep(1, nil)})
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	other := map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
	h.silence(start.Worker.ID, other)
	g.Expect(losses(h)).To(ContainElement(And(HaveField("Run", start.Run), HaveField("Open", false))))
	h.answer(start.Worker.ID, 1)
	h.advance(time.Second)
	g.Expect(losses(h)).NotTo(ContainElement(HaveField("Run", start.Run)), "the worker has answered in the same incarnation")
}

func TestLeavingWorkerCountsAsCrash(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1", "w2")
	h.feed(JobArrived{Job: oneStep(1, nil)})
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	leaving, other := start.Worker, map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
	leaving.Draining = true
	h.feed(WorkersListed{Workers: []specifier.Worker{leaving, {ID: other, Incarnation: 1, Capacity: leaving.Capacity}}})
	h.list(map[string]int64{other: 1})
	h.silence(leaving.ID, other)
	g.Expect(losses(h)).NotTo(ContainElement(HaveField("Open", false)))
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
}

// TestSoundTaskStartsBesideIsolatedOne has a task with two losses and one worker.
func TestSoundTaskStartsBesideIsolatedOne(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	suspect := oneStep(1, nil)
	h.feed(JobArrived{Job: suspect})
	start := h.crashTwice()
	sound := oneStep(1, nil)
	sound.ID = "0000000000000001"
	h.feed(JobArrived{Job: sound})
	h.advance(time.Second)
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
	h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{
		Incarnation: 3, Clock: time.Minute, Ended: []specifier.End{{Number: 1, Task: start.Task, Run: start.Run, Outcome: specifier.OutcomeDone}},
	}})
	g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Task.Job", sound.ID)))
}

// TestLateStartBesideIsolatedTask has a run of another task appear beside an isolated one,
// by an order that its worker carried out late. The crash that follows has two suspects.
func TestLateStartBesideIsolatedTask(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	h.feed(JobArrived{Job: oneStep(1, nil)})
	start := h.crashTwice()
	late := oneStep(1, nil)
	late.ID = "0000000000000001"
	h.answer("w1", 3, specifier.Run{Task: start.Task, Number: start.Run}, specifier.Run{Task: specifier.TaskID{Job: late.ID}, Number: 1})
	h.list(map[string]int64{"w1": 4})
	g.Expect(losses(h)).To(HaveLen(3))
	g.Expect(losses(h)).To(HaveEach(HaveField("Isolated", false)))
}

// TestDeadlyTaskStaysInOtherShard has a task that was transferred to a shard where it
// crashes another worker. Only its home can end the job.
func TestDeadlyTaskStaysInOtherShard(t *testing.T) {
	g := NewWithT(t)
	spec := oneStep(2, func(s *specifier.Step) { s.LongRunning = true })
	spec.Queue, spec.Accepted = "menus", epoch
	id := specifier.TaskID{Job: spec.ID, Index: 1}
	earlier := []recorder.Loss{{Run: 1, Worker: "a"}, {Run: 2, Worker: "b"}, {Run: 3, Worker: "c", Isolated: true}}
	part := newHarness(lossQueue, "w1")
	part.feed(TaskArrived{Task: id, Transfer: recorder.Transfer{Job: spec, Home: "home", Hop: 1, LastRun: 5, Losses: earlier}})
	part.advance(100 * time.Millisecond)
	part.confirm(takeEffects[StartRun](part)[0])
	part.list(map[string]int64{"w1": 2})
	part.answer("w1", 2)
	part.advance(100 * time.Millisecond)
	var back *Handover
	for _, c := range takeEffects[Commit](part) {
		for _, change := range c.Changes {
			for _, h := range change.Handovers {
				back = &h
			}
		}
	}
	g.Expect(back).NotTo(BeNil())
	g.Expect(back.Shard).To(Equal("home"))
	g.Expect(back.Transfer.Losses).To(HaveLen(4))

	home := newHarness(lossQueue, "w9")
	home.options.Name = "home"
	home.feed(JobLoaded{Job: spec, Started: true, Progress: recorder.Progress{
		Shards: []string{"desk"}, Tasks: []recorder.TaskProgress{{Index: 1, Hop: 1, Away: true}},
	}})
	home.feed(TaskArrived{Task: id, Transfer: back.Transfer})
	home.advance(100 * time.Millisecond)
	states := []specifier.State{}
	for _, c := range takeEffects[Commit](home) {
		for _, change := range c.Changes {
			states = append(states, change.State)
		}
	}
	g.Expect(states).To(ContainElement(specifier.Failed))
}

// TestCrashesEndLongRunningJob crashes workers under long-running tasks that have run for
// long.
func TestCrashesEndLongRunningJob(t *testing.T) {
	s := newSimulation(t, 3, 4)
	job := specifier.Job{ID: "00000000000000ff", Steps: []specifier.Step{{Count: 6, Needs: resources(800), Estimate: time.Second, LongRunning: true}}}
	s.submit(job)
	for range 8 {
		s.advance(8 * time.Second)
		w := s.workers[s.random.IntN(len(s.workers))]
		w.crash()
		s.schedule(3*time.Second, w.restart)
		s.advance(8 * time.Second)
	}
	s.advance(20 * time.Second)
	if state, n := s.store[job.ID].state, s.running(job.ID); state != specifier.Running || n != 6 {
		t.Errorf("job is %s with %d of 6 tasks running", state, n)
	}
}
