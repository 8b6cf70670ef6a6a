package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestInvalidatedIsolations guards against a task that is started without limit because
// another run appears on the worker at each of its isolated starts. Bystanders are finite
// and long-running tasks beside it.
func TestInvalidatedIsolations(t *testing.T) {
	t.Parallel()
	for _, invalid := range []int{0, 1, 2, 1000} {
		for _, others := range []int{0, 3} {
			t.Run(fmt.Sprintf("%d invalid, %d other crashing tasks", invalid, others), func(t *testing.T) {
				for seed := range uint64(3) {
					checkInvalidatedIsolations(t, seed, invalid, others)
				}
			})
		}
	}
}

func checkInvalidatedIsolations(t *testing.T, seed uint64, invalid, others int) {
	s := newSimulation(t, seed, 6)
	s.advance(time.Second)
	bystander := specifier.Job{ID: "00000000000000ff", Steps: []specifier.Step{{Count: 6, Needs: resources(300), Estimate: time.Second, LongRunning: true}}}
	s.submit(bystander)
	s.advance(8 * time.Second)
	for i := range 1 + others {
		job := deadlyJob(nil)
		job.ID = fmt.Sprintf("deadd%011x", i)
		s.addDeadly(&deadlyTask{id: specifier.TaskID{Job: job.ID}, delay: 300 * time.Millisecond, down: 3 * time.Second, invalid: invalid})
		s.submit(job)
	}
	s.submitSound(20, 300*time.Millisecond)
	s.advance(90 * time.Second)
	for id, d := range s.deadly {
		if state := s.store[id.Job].state; state != specifier.Failed || d.starts > 5 {
			t.Errorf("seed %d: the job of %s is %s after %d starts", seed, id, state, d.starts)
		}
		delete(s.store, id.Job)
	}
	if state, n := s.store[bystander.ID].state, s.running(bystander.ID); state != specifier.Running || n != 6 {
		t.Errorf("seed %d: the long-running bystander is %s with %d of 6 tasks", seed, state, n)
	}
	delete(s.store, bystander.ID)
	s.checkSound()
}

const longRunningID = "00000000000000aa"

// longRunningJob returns a job with one small long-running task.
func longRunningJob() specifier.Job {
	job := oneStep(1, func(st *specifier.Step) { st.LongRunning = true })
	job.ID = longRunningID
	return job
}

// loadSuspect loads oneStep with losses of its tasks.
func (h *harness) loadSuspect(job specifier.Job, losses ...[]recorder.Loss) {
	var p recorder.Progress
	for i := range losses {
		p.Tasks = append(p.Tasks, recorder.TaskProgress{Index: i, Losses: losses[i]})
	}
	h.feed(JobLoaded{Job: job, Started: true, Progress: p})
	h.advance(100 * time.Millisecond)
}

func twoLosses() []recorder.Loss {
	return []recorder.Loss{{Run: 101, Worker: "a", Incarnation: 1}, {Run: 102, Worker: "b", Incarnation: 1}}
}

// occupyWorker submits another job with one task and confirms its start.
func (h *harness) occupyWorker() StartRun {
	job := oneStep(1, nil)
	job.ID = "ffffffffffffff01"
	h.feed(JobArrived{Job: job})
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	return start
}

// proveLongRunning starts the task of longRunningJob on w1 and keeps it ready there for 6 s.
func (h *harness) proveLongRunning() specifier.Run {
	h.feed(JobArrived{Job: longRunningJob()})
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	run := specifier.Run{Task: start.Task, Number: start.Run, ProgressPercent: full}
	for range 7 {
		h.advance(time.Second)
		h.answer("w1", 1, run)
	}
	return run
}

// TestProvenRunIsStoppedBesideIsolatedTask guards against a loss that doesn't count as
// isolated because a proven run beside it was being stopped: its job is cancelled while the
// worker is silent, or the worker drains.
func TestProvenRunIsStoppedBesideIsolatedTask(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	h.proveLongRunning()
	h.loadSuspect(oneStep(1, nil), twoLosses())
	start := takeEffects[StartRun](h)
	g.Expect(start).To(HaveLen(1), "the only worker has no other run that may crash it")
	h.confirm(start[0])
	h.feed(JobCancelled{ID: longRunningID})
	g.Expect(takeEffects[StopRun](h)).To(HaveLen(1))
	h.list(map[string]int64{"w1": 2})
	h.answer("w1", 2)
	g.Expect(losses(h)).To(ContainElement(And(HaveField("Run", start[0].Run), HaveField("Isolated", true), HaveField("Open", false))))
}

// TestUnreadyRunStaysProven guards against a run that counts as a suspect again because it
// isn't ready for a moment.
func TestUnreadyRunStaysProven(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	run := h.proveLongRunning()
	run.ProgressPercent = 50
	h.answer("w1", 1, run)
	h.list(map[string]int64{"w1": 2})
	g.Expect(h.suspects).To(BeEmpty())
}

// TestSlowlyReadyRunIsNotProven guards against a run that counts as proven as soon as it is
// ready because it took long until then.
func TestSlowlyReadyRunIsNotProven(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	h.feed(JobArrived{Job: longRunningJob()})
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	run := specifier.Run{Task: start.Task, Number: start.Run}
	for range 7 {
		h.advance(time.Second)
		h.answer("w1", 1, run)
	}
	run.ProgressPercent = full
	h.answer("w1", 1, run)
	h.list(map[string]int64{"w1": 2})
	g.Expect(h.suspects).To(HaveLen(1))
}

// TestTakeOverBesideIsolatedTask guards against a loss that doesn't count as isolated
// because a new owner has known the long-running run beside it for less than provenTime.
func TestTakeOverBesideIsolatedTask(t *testing.T) {
	for name, cancelled := range map[string]bool{"running": false, "of an ended job": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue)
			h.inheritedExpiry["w1"] = epoch.Add(10 * time.Second)
			if !cancelled {
				h.feed(JobLoaded{Job: longRunningJob(), Started: true})
			}
			open := recorder.Loss{Run: 5, Worker: "w1", Incarnation: 1, Isolated: true, Open: true}
			h.loadSuspect(oneStep(1, nil), append(twoLosses(), open))
			h.list(map[string]int64{"w1": 1})
			h.answer("w1", 1, specifier.Run{Task: specifier.TaskID{Job: oneStep(1, nil).ID}, Number: 5},
				specifier.Run{Task: specifier.TaskID{Job: longRunningID}, Number: 1, ProgressPercent: full})
			h.list(map[string]int64{"w1": 2})
			g.Expect(losses(h)).To(ContainElement(And(HaveField("Run", int64(5)), HaveField("Isolated", true), HaveField("Open", false))))
		})
	}
}

// TestNoStartAfterLastLoss guards against one more start by an owner that loads a task that
// has reached a limit before it has reviewed it.
func TestNoStartAfterLastLoss(t *testing.T) {
	beside := recorder.Loss{Run: 3, Worker: "c", Incarnation: 1}
	isolated := recorder.Loss{Run: 4, Worker: "d", Incarnation: 1, Isolated: true}
	later := isolated
	later.Run, later.Worker = 5, "e" // losses on the same worker count as one
	for name, tasks := range map[string][][]recorder.Loss{
		"five losses":                              {append(twoLosses(), beside, beside, beside)},
		"two isolated losses":                      {append(twoLosses(), isolated, later)},
		"two members of a gang crash in turn":      {append(twoLosses(), isolated), append(twoLosses(), later)},
		"two members of a gang, always invalid":    {append(twoLosses(), beside, recorder.Loss{Run: 7}), append(twoLosses(), recorder.Loss{Run: 6})},
		"a task of another shard after two of its": {append(twoLosses(), isolated, later)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue, "w1", "w2")
			job := oneStep(len(tasks), func(st *specifier.Step) { st.Gang = len(tasks) > 1 })
			if name == "a task of another shard after two of its" {
				job.Accepted = epoch
				h.feed(JobLoaded{Job: job, Started: true, Progress: recorder.Progress{
					Shards: []string{"other"}, Tasks: []recorder.TaskProgress{{Hop: 1, Away: true}},
				}})
				id := specifier.TaskID{Job: job.ID}
				h.feed(TaskArrived{Task: id, Transfer: recorder.Transfer{Job: job, Home: "desk", Hop: 2, LastRun: 9, Losses: tasks[0]}})
			} else {
				h.loadSuspect(job, tasks...)
			}
			h.advance(time.Second)
			g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
			g.Expect(h.jobs).To(BeEmpty(), "the job has failed")
		})
	}
}

// TestOneWorkerCrashesTwice guards against failing the job of a healthy task because the
// worker that ran it in isolation crashes again and again.
func TestOneWorkerCrashesTwice(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1", "w2")
	job := oneStep(1, nil)
	isolated := recorder.Loss{Run: 4, Worker: "d", Incarnation: 1, Isolated: true}
	again := isolated
	again.Run = 5
	h.loadSuspect(job, append(twoLosses(), isolated, again))
	h.advance(time.Second)
	g.Expect(h.jobs).To(HaveKey(job.ID), "the job goes on")
}

// TestCrashOfDrainingWorker guards against a crash that isn't counted because the worker was
// draining, and against one that is counted although the worker left as it had announced.
func TestCrashOfDrainingWorker(t *testing.T) {
	for remaining, counted := range map[time.Duration]int{time.Minute: 1, 1500 * time.Millisecond: 0, 0: 0} {
		t.Run(remaining.String(), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue, "w1", "w2")
			h.feed(JobArrived{Job: oneStep(1, nil)})
			start := takeEffects[StartRun](h)[0]
			h.confirm(start)
			leaving, other := start.Worker, map[string]string{"w1": "w2", "w2": "w1"}[start.Worker.ID]
			leaving.Draining, leaving.Remaining = true, remaining
			list := []specifier.Worker{leaving, {ID: other, Incarnation: 1, Capacity: leaving.Capacity}}
			for range 3 { // the registration is listed again when another one changes
				h.feed(WorkersListed{Workers: list})
				h.advance(200 * time.Millisecond)
			}
			h.list(map[string]int64{other: 1})
			h.silence(leaving.ID, other)
			n := 0
			for _, l := range losses(h) {
				if !l.Open {
					n++
				}
			}
			g.Expect(n).To(Equal(counted))
		})
	}
}

// TestWorkerReturnsAtSameAddress guards against a wait for the leases on a worker whose
// process has ended for certain, and against a worker that counts as ended without proof.
func TestWorkerReturnsAtSameAddress(t *testing.T) {
	for name, c := range map[string]struct {
		address     string
		incarnation int64
		fault       Fault // of the poll of the predecessor
		proven      bool
	}{
		"same address, later incarnation":           {"10.0.0.1:80", 9, WorkerRestarted, true},
		"same address, later incarnation, silent":   {"10.0.0.1:80", 9, OutcomeUnknown, false},
		"other address":                             {"10.0.0.1:81", 9, OutcomeUnknown, false},
		"other address, refused":                    {"10.0.0.1:81", 9, WorkerRestarted, false},
		"same address, earlier incarnation":         {"10.0.0.1:80", 3, WorkerRestarted, true},
		"same address, earlier incarnation, silent": {"10.0.0.1:80", 3, OutcomeUnknown, false},
	} {
		for _, isListed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, predecessor listed %t", name, isListed), func(t *testing.T) {
				g := NewWithT(t)
				old := specifier.Worker{ID: "w1", Incarnation: 5, Address: "10.0.0.1:80", Capacity: describer.Resources{CPU: workerCPU, Memory: 1000}}
				next := old
				next.ID, next.Address, next.Incarnation = "w2", c.address, c.incarnation
				h := newHarness(lossQueue)
				h.feed(WorkersListed{Workers: []specifier.Worker{old}})
				h.answer("w1", 5)
				h.advance(100 * time.Millisecond)
				h.feed(JobArrived{Job: oneStep(1, nil)})
				start := takeEffects[StartRun](h)[0]
				h.confirm(start)
				list := []specifier.Worker{next}
				if isListed {
					list = append(list, old)
				}
				h.feed(WorkersListed{Workers: list})
				h.answer("w2", c.incarnation)
				h.advance(100 * time.Millisecond)
				g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the registration proves nothing")
				h.feed(PollFailed{Worker: "w1", Incarnation: 5, Fault: c.fault})
				h.advance(100 * time.Millisecond)
				if !c.proven {
					g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
				}
				h.answer("w1", 5, specifier.Run{Task: start.Task, Number: start.Run}) // a late answer
				h.advance(100 * time.Millisecond)
				h.advance(100 * time.Millisecond)
				starts := takeEffects[StartRun](h)
				if !c.proven {
					g.Expect(starts).To(BeEmpty())
					return
				}
				g.Expect(starts).To(ConsistOf(HaveField("Worker.ID", "w2")))
				g.Expect(losses(h)).To(ContainElement(And(HaveField("Worker", "w1"), HaveField("Open", false))))
				takeEffects[PollWorker](h)
				h.advance(time.Second)
				g.Expect(takeEffects[PollWorker](h)).NotTo(ContainElement(HaveField("Worker.ID", "w1")))
			})
		}
	}
}

// TestTakeOverFromReplacedWorker guards against a new owner that waits for the leases of a
// worker that has been replaced at its address.
func TestTakeOverFromReplacedWorker(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue)
	h.inheritedExpiry["w1"] = epoch.Add(10 * time.Second)
	old := specifier.Worker{ID: "w1", Incarnation: 5, Address: "10.0.0.1:80", Capacity: describer.Resources{CPU: workerCPU, Memory: 1000}}
	next := old
	next.ID, next.Incarnation = "w2", 9
	h.feed(JobLoaded{Job: oneStep(1, nil)}, WorkersListed{Workers: []specifier.Worker{old, next}})
	h.answer("w2", 9)
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the registration proves nothing")
	h.feed(PollFailed{Worker: "w1", Incarnation: 5, Fault: WorkerRestarted})
	h.advance(100 * time.Millisecond)
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Worker.ID", "w2")))
	g.Expect(losses(h)).To(ContainElement(HaveField("Worker", "w1")), "the earlier owner may have started the task there")
}

// TestDroppedPreparedRunHasReason guards against a line that doesn't say why a suspect task
// hasn't started.
func TestDroppedPreparedRunHasReason(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	loaded := JobLoaded{Job: oneStep(1, nil), Progress: recorder.Progress{Tasks: []recorder.TaskProgress{{Losses: twoLosses()}}}}
	var commit Commit
	for _, e := range h.Reduce(h.now.Add(time.Second), OwnershipChecked{Confirmed: true}, loaded) {
		if c, ok := e.(Commit); ok {
			commit = c
		}
	}
	g.Expect(h.preparing).To(HaveLen(1))
	effects := h.Reduce(h.now, PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown}, Committed{Batch: commit.Batch})
	g.Expect(effects).To(ContainElement(And(HaveField("Message", "prepared run dropped"), HaveField("Reason", "the worker is not usable"))))
}

// TestIsolatedTasksTakeTheWholeShard guards against tasks that can't start anywhere because each
// worker isolates a suspect, one after the other.
func TestIsolatedTasksTakeTheWholeShard(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1", "w2", "w3", "w4", "w5", "w6")
	const suspects = 12
	all := make([][]recorder.Loss, suspects)
	for i := range all {
		all[i] = twoLosses()
	}
	h.loadSuspect(oneStep(suspects, nil), all...)
	h.advance(100 * time.Millisecond)
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(3), "half of the workers isolates tasks")
	h.feed(JobArrived{Job: longRunningJob()})
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Task.Job", longRunningID)))
}

// TestRefutedTaskOpensNoWorker guards against a task that opens the worker which was once to become
// empty for it, and now isolates another task: its own losses have been refuted since.
func TestRefutedTaskOpensNoWorker(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	h.occupyWorker()
	job := oneStep(1, nil)
	h.loadSuspect(job, twoLosses())
	for range 3 {
		h.advance(200 * time.Millisecond)
	}
	waiting := h.jobs[job.ID].steps[0].tasks[0]
	g.Expect(waiting.emptying).NotTo(BeNil())
	h.dropLosses(waiting, func(*recorder.Loss) bool { return true })
	g.Expect(waiting.emptying).To(BeNil())
}
