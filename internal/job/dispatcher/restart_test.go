package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// restartHarness is an owner of the workers w1, which may restart, and w2, with one job of one
// task, whose start on w1 is ordered and not answered yet.
type restartHarness struct {
	*harness
	start StartRun
}

func newRestartHarness(t *testing.T) *restartHarness {
	h := &restartHarness{harness: newHarness(lossQueue, "w1", "w2")}
	h.feed(WorkersListed{Workers: []specifier.Worker{h.registration("w1", 1), h.full("w2")}})
	h.feed(JobArrived{Job: oneStep(1, nil)})
	starts := takeEffects[StartRun](h.harness)
	NewWithT(t).Expect(starts).To(ConsistOf(HaveField("Worker.ID", "w1")))
	h.start = starts[0]
	h.wait(10 * time.Millisecond)
	return h
}

func (h *restartHarness) registration(id string, incarnation int64) specifier.Worker {
	return specifier.Worker{ID: id, Incarnation: incarnation, Service: "desk", Capacity: describer.Resources{CPU: workerCPU, Memory: 1000}}
}

// full returns the registration of a worker without room for any run.
func (h *restartHarness) full(id string) specifier.Worker {
	reg := h.registration(id, 1)
	reg.Capacity.CPU = 1
	return reg
}

// restart registers the second incarnation of w1, and gives w2 room.
func (h *restartHarness) restart() {
	h.feed(WorkersListed{Workers: []specifier.Worker{h.registration("w1", 2), h.registration("w2", 1)}})
}

// wait lets a time pass in which w2 answers.
func (h *restartHarness) wait(d time.Duration) {
	h.answer("w2", 1)
	h.advance(d)
}

// list delivers an inventory of the second incarnation of w1, requested now and received later.
func (h *restartHarness) list(clock time.Duration, active ...specifier.Run) {
	sent := h.now
	h.wait(10 * time.Millisecond)
	h.feed(PollAnswered{Worker: "w1", Sent: sent, Inventory: specifier.Inventory{Incarnation: 2, Clock: clock, Active: active}})
	h.wait(10 * time.Millisecond)
}

// ordered returns the run as an inventory lists it.
func (h *restartHarness) ordered() specifier.Run {
	return specifier.Run{Task: h.start.Task, Number: h.start.Run}
}

// answerStart delivers the answer to the start on w1.
func (h *restartHarness) answerStart(fault Fault) {
	h.feed(StartAnswered{Worker: "w1", Incarnation: 1, Task: h.start.Task, Run: h.start.Run, Fault: fault})
	h.wait(10 * time.Millisecond)
}

// expectOneRun fails if another run of the task was ordered, or the run on w1 was stopped.
func (h *restartHarness) expectOneRun(g *WithT) {
	g.Expect(takeEffects[StartRun](h.harness)).To(BeEmpty(), "a second run of the task")
	g.Expect(takeEffects[StopRun](h.harness)).To(BeEmpty(), "the run on w1 is the only one")
}

// TestStartCarriedOutByNextIncarnation guards against two runs of a task at a time. A worker
// restarts under its id while a start is on its way: orders name the id, so that the new
// incarnation carries it out. The owner learns of the restart before it learns of the run.
func TestStartCarriedOutByNextIncarnation(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(*restartHarness) // before the restart is known
		after  func(*restartHarness) // after it
	}{
		{"unanswered", nil, nil},
		{"confirmed before", func(h *restartHarness) { h.answerStart(NoFault) }, nil},
		{"confirmed after", nil, func(h *restartHarness) { h.answerStart(NoFault) }},
		{"answer lost before", func(h *restartHarness) { h.answerStart(OutcomeUnknown) }, nil},
		{"answer lost after", nil, func(h *restartHarness) { h.answerStart(OutcomeUnknown) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newRestartHarness(t)
			if c.before != nil {
				c.before(h)
			}
			h.restart()
			h.wait(50 * time.Millisecond)
			if c.after != nil {
				c.after(h)
			}
			h.list(time.Second, h.ordered())
			h.expectOneRun(g)
			h.list(2*time.Second, h.ordered())
			h.wait(3 * time.Second)
			h.expectOneRun(g)
		})
	}
}

// TestStartBeforeRestartIsRepeated guards against a task that waits for ever: the start was for
// the earlier incarnation, and the run has ended with it.
func TestStartBeforeRestartIsRepeated(t *testing.T) {
	for name, fault := range map[string]Fault{"confirmed": NoFault, "answer lost": OutcomeUnknown, "refused": WorkerRestarted} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newRestartHarness(t)
			h.restart()
			h.answerStart(fault)
			for i := range 4 {
				h.list(time.Duration(i+1) * time.Second)
				for _, stop := range takeEffects[StopRun](h.harness) {
					h.feed(StopAnswered{Worker: "w1", Incarnation: stop.Worker.Incarnation, Task: stop.Task, Run: stop.Run})
				}
				h.wait(300 * time.Millisecond)
			}
			g.Expect(takeEffects[StartRun](h.harness)).To(HaveLen(1))
		})
	}
}

// TestListedRunIsLostWithItsIncarnation guards against a task that waits for the next incarnation's
// inventory, though the earlier one has listed the run: an order is carried out once.
func TestListedRunIsLostWithItsIncarnation(t *testing.T) {
	g := NewWithT(t)
	h := newRestartHarness(t)
	h.answerStart(NoFault)
	h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute, Active: []specifier.Run{h.ordered()}}})
	h.restart()
	g.Expect(takeEffects[RunsLost](h.harness)).To(ConsistOf(RunsLost{Worker: "w1", Cause: LossRestart, Runs: 1}))
}

// TestLeaseByTheClockOfAnEarlierIncarnation guards against two runs of a task at a time. A poll
// that was sent before the restart is carried out after it. The end of the lease in it, by the
// earlier clock, is far off by the new one, so that the lease lasts as long as workers accept.
func TestLeaseByTheClockOfAnEarlierIncarnation(t *testing.T) {
	const maxLease = 10 * time.Second // of the worker
	g := NewWithT(t)
	h := newRestartHarness(t)
	h.options.MaxLease = maxLease
	h.answerStart(NoFault)
	h.restart()
	restarted := h.now
	h.list(time.Second, h.ordered())
	takeEffects[StartRun](h.harness)
	for h.now.Before(restarted.Add(maxLease)) {
		h.feed(PollFailed{Worker: "w1", Incarnation: 2, Fault: OutcomeUnknown})
		h.wait(250 * time.Millisecond)
		g.Expect(takeEffects[StartRun](h.harness)).To(BeEmpty(), "%s after the restart", h.now.Sub(restarted))
	}
	for range 20 {
		h.feed(PollFailed{Worker: "w1", Incarnation: 2, Fault: OutcomeUnknown})
		h.wait(250 * time.Millisecond)
	}
	g.Expect(takeEffects[StartRun](h.harness)).To(HaveLen(1), "the lease has expired")
}

// TestAcknowledgementIsSentUntilConfirmed guards against an end that no owner learns of. Ends are
// numbered anew in each incarnation, so an acknowledgement that reaches the next one makes it
// forget other ends. So it isn't repeated once the worker has it.
func TestAcknowledgementIsSentUntilConfirmed(t *testing.T) {
	g := NewWithT(t)
	h := newRestartHarness(t)
	h.answerStart(NoFault)
	nextPoll := func(answer Event) PollWorker {
		takeEffects[PollWorker](h.harness)
		h.feed(answer)
		h.wait(50 * time.Millisecond) // for the commit
		h.wait(300 * time.Millisecond)
		polls := takeEffects[PollWorker](h.harness)
		polls = slices.DeleteFunc(polls, func(e PollWorker) bool { return e.Worker.ID != "w1" })
		g.Expect(polls).To(HaveLen(1))
		return polls[0]
	}
	answered := func(ended ...specifier.End) PollAnswered {
		return PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: time.Minute + h.now.Sub(epoch), Ended: ended}}
	}
	end := specifier.End{Number: 7, Task: h.start.Task, Run: h.start.Run, Outcome: specifier.OutcomeDone}
	g.Expect(nextPoll(answered(end)).Acknowledged).To(BeEquivalentTo(7))
	g.Expect(nextPoll(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown}).Acknowledged).To(BeEquivalentTo(7), "it isn't confirmed")
	g.Expect(nextPoll(answered()).Acknowledged).To(BeZero(), "it is confirmed")
}

// TestLeaseOfStartInFlight guards against two runs of a task at a time. A start that is on its way
// when the restart becomes known is carried out a second later, and its lease lasts from then on.
func TestLeaseOfStartInFlight(t *testing.T) {
	const maxLease = 10 * time.Second // of the worker
	g := NewWithT(t)
	h := newRestartHarness(t)
	h.options.MaxLease = maxLease
	h.restart()
	h.wait(1400 * time.Millisecond)
	carriedOut := h.now
	h.answerStart(NoFault)
	h.list(1500*time.Millisecond, h.ordered())
	takeEffects[StartRun](h.harness)
	for h.now.Before(carriedOut.Add(maxLease)) {
		h.feed(PollFailed{Worker: "w1", Incarnation: 2, Fault: OutcomeUnknown})
		h.wait(100 * time.Millisecond)
		g.Expect(takeEffects[StartRun](h.harness)).To(BeEmpty(), "%s after the start was carried out", h.now.Sub(carriedOut))
	}
}

// TestStopByEarlierIncarnationSettlesNothing guards against two runs of a task at a time. A start
// has no answer, and the stop of its run was carried out before the restart: the next incarnation
// doesn't know of it, and may still get the start.
func TestStopByEarlierIncarnationSettlesNothing(t *testing.T) {
	g := NewWithT(t)
	h := newRestartHarness(t)
	h.answerStart(OutcomeUnknown)
	h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 1, Clock: 2 * time.Minute}})
	g.Expect(takeEffects[StopRun](h.harness)).To(HaveLen(1))
	h.wait(20 * time.Millisecond)
	h.restart()
	h.feed(StopAnswered{Worker: "w1", Incarnation: 1, Task: h.start.Task, Run: h.start.Run})
	h.wait(10 * time.Millisecond)
	h.list(time.Second)
	g.Expect(takeEffects[StartRun](h.harness)).To(BeEmpty(), "the second incarnation knows of no stop")
}

// TestLossWithEarlierIncarnationStays guards against a task that crashes its workers without limit:
// its loss was refuted by an answer of the next incarnation.
func TestLossWithEarlierIncarnationStays(t *testing.T) {
	g := NewWithT(t)
	h := newRestartHarness(t)
	h.answerStart(NoFault)
	h.restart()
	h.wait(20 * time.Millisecond)
	h.list(time.Second)
	task := h.findTask(h.start.Task)
	g.Expect(task.lossCount()).To(Equal(1))
	h.feed(PollFailed{Worker: "w1", Incarnation: 2, Fault: OutcomeUnknown})
	h.wait(300 * time.Millisecond)
	h.list(2 * time.Second)
	g.Expect(task.lossCount()).To(Equal(1), "the first incarnation has crashed")
}

// TestSettledRunOnCutOffWorkerIsNoCrash guards against a loss that stays though the worker of the
// run has answered again: its open loss had the incarnation before.
func TestSettledRunOnCutOffWorkerIsNoCrash(t *testing.T) {
	g := NewWithT(t)
	h := newRestartHarness(t)
	task := h.findTask(h.start.Task)
	h.addLoss(h.workers["w1"].runs[h.start.Task]) // as of a suspect task
	h.restart()
	h.wait(10 * time.Millisecond)
	h.answerStart(NoFault)
	h.list(time.Second, h.ordered())
	for range 60 {
		h.feed(PollFailed{Worker: "w1", Incarnation: 2, Fault: OutcomeUnknown})
		h.wait(250 * time.Millisecond)
	}
	h.list(20*time.Second, h.ordered())
	for _, l := range task.losses {
		g.Expect(l.Open || l.Run != h.start.Run).To(BeTrue(), "the worker was only cut off")
	}
}

// TestJobEndsWhileItsRunsAreReconciled guards against a daemon that ends: a run that is found lost
// exhausts its task, and the end of the job removes another run of the same worker.
func TestJobEndsWhileItsRunsAreReconciled(t *testing.T) {
	h := newHarness(lossQueue, "w1")
	h.feed(JobArrived{Job: oneStep(2, nil)})
	starts := takeEffects[StartRun](h)
	for _, start := range starts {
		h.confirm(start)
	}
	h.list(map[string]int64{"w1": 2})
	lost, next := h.workers["w1"].runs[starts[0].Task], h.workers["w1"].runs[starts[1].Task]
	for i := range 4 {
		lost.task.losses = append(lost.task.losses, recorder.Loss{Run: int64(100000 + i), Worker: "x"})
	}
	h.suspects[lost.id] = lost.task
	next.phase, next.unsettled = preparing, nil // as if it was placed after the restart
	h.advance(10 * time.Millisecond)
	h.answer("w1", 2)
	NewWithT(t).Expect(h.workers["w1"].runs).To(BeEmpty())
}

// TestRestartsOfUnreachableWorker guards against a task that waits as long as its worker restarts
// again and again out of reach: no lease is granted meanwhile.
func TestRestartsOfUnreachableWorker(t *testing.T) {
	g := NewWithT(t)
	h := newRestartHarness(t)
	h.options.MaxLease = 10 * time.Second
	h.answerStart(NoFault)
	started := 0
	for incarnation := int64(2); incarnation < 4; incarnation++ {
		h.feed(WorkersListed{Workers: []specifier.Worker{h.registration("w1", incarnation), h.registration("w2", 1)}})
		for range 32 { // 8 s
			h.feed(PollFailed{Worker: "w1", Incarnation: incarnation, Fault: OutcomeUnknown})
			h.wait(250 * time.Millisecond)
		}
		started += len(takeEffects[StartRun](h.harness))
	}
	g.Expect(started).To(Equal(1))
}

// TestOnePollAfterRestart guards against an acknowledgement that counts as confirmed by the answer
// to another poll.
func TestOnePollAfterRestart(t *testing.T) {
	g := NewWithT(t)
	h := newRestartHarness(t)
	h.answerStart(NoFault)
	takeEffects[PollWorker](h.harness)
	h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: specifier.Inventory{Incarnation: 2, Clock: time.Second}})
	g.Expect(takeEffects[PollWorker](h.harness)).To(ConsistOf(HaveField("Worker.ID", "w1")))
}

// TestPollAfterRestartGoesToTheNewAddress guards against a worker that counts as replaced though it
// is up: another one refuses a poll at the address that it has left.
func TestPollAfterRestartGoesToTheNewAddress(t *testing.T) {
	g := NewWithT(t)
	h := newRestartHarness(t)
	at := func(id string, incarnation int64, address string) specifier.Worker {
		reg := h.registration(id, incarnation)
		reg.Address = address
		return reg
	}
	h.feed(WorkersListed{Workers: []specifier.Worker{at("w1", 1, "a:1"), at("w2", 1, "b:1")}})
	h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown})
	takeEffects[PollWorker](h.harness)
	h.feed(WorkersListed{Workers: []specifier.Worker{at("w1", 2, "b:1"), at("w2", 1, "b:1")}})
	h.advance(300 * time.Millisecond)
	g.Expect(takeEffects[PollWorker](h.harness)).NotTo(ContainElement(HaveField("Worker.Address", "a:1")))
}

// TestRestartRemovesTheFence guards against two runs of a task at a time. A worker that has answered
// a new owner restarts, and knows no fencing token any more: an earlier owner that is cut off from
// the store may start runs there.
func TestRestartRemovesTheFence(t *testing.T) {
	g := NewWithT(t)
	h := &harness{Shard: New(Options{
		Name: "desk", Service: "desk", Epoch: 1, Lease: simLease, OutageLimit: simOutageLimit,
		Previous: recorder.WorkerList{Workers: []string{"w1", "w2"}}, Reservations: true,
	}, epoch)}
	registered := func(id string, incarnation, cpu int64) specifier.Worker {
		return specifier.Worker{ID: id, Incarnation: incarnation, Service: "desk", Capacity: describer.Resources{CPU: cpu, Memory: 1000}}
	}
	h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{lossQueue}}},
		WorkersListed{Workers: []specifier.Worker{registered("w1", 1, 1), registered("w2", 1, 1)}}, JobLoaded{Job: oneStep(1, nil)})
	h.answer("w1", 1)
	h.answer("w2", 1)
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "there is no room")
	h.feed(WorkersListed{Workers: []specifier.Worker{registered("w1", 2, 1), registered("w2", 1, workerCPU)}})
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the earlier owner may have started it on w1")
}

// TestInvariantsWithQuickRestarts guards against two runs of a task at a time, and against a start
// after an acknowledged end. Workers crash and are back under their ids before their owner
// notices: orders for an earlier incarnation are carried out by the next.
func TestInvariantsWithQuickRestarts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		s.advance(time.Second)
		for i := range rapid.IntRange(10, 60).Draw(t, "steps") {
			s.quickRestartStep(t, i)
			s.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * time.Millisecond)
		}
		s.endFaults()
		s.advance(3 * time.Minute)
		s.checkEnded()
	})
}

// TestLateOrdersAfterRestarts guards against an end that no owner learns of, and a lease that the
// owner doesn't count: a poll is carried out seconds after it was sent, by a later incarnation of
// its worker.
func TestLateOrdersAfterRestarts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		s.lateOutliveRestarts = true
		s.advance(time.Second)
		for i := range rapid.IntRange(10, 60).Draw(t, "steps") {
			s.lostAnswerRate, s.lateCallRate = 0.1, 0.1
			s.quickRestartStep(t, i)
			s.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * time.Millisecond)
		}
		s.endFaults()
		s.advance(3 * time.Minute)
		s.checkEnded()
	})
}

// quickRestartStep submits a job, restarts a worker, also while its owner pauses, or cuts one off.
func (s *simulation) quickRestartStep(t *rapid.T, i int) {
	sh := s.shards[0]
	w := sh.workers[rapid.IntRange(0, len(sh.workers)-1).Draw(t, "worker")]
	length := time.Duration(rapid.IntRange(20, 3000).Draw(t, "length")) * time.Millisecond
	o := sh.owner
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0, 1, 2, 3:
		s.submit(drawJob(t, fmt.Sprintf("%016x", i), 1))
	case 4, 5, 6:
		s.restartQuickly(w, length/20)
	case 7:
		s.logf("owner %d pauses for %s", o.token, length)
		o.paused = true
		s.schedule(length, o.resume)
		s.restartQuickly(w, length/4)
	case 8:
		s.logf("owner %d is cut off from %s for %s", o.token, w.id, 4*length)
		o.unreachable[w] = true
		s.schedule(4*length, func() { delete(o.unreachable, w) })
	default:
		s.failureRate = 0.2
		s.schedule(length, func() { s.failureRate = 0 })
	}
}

// restartQuickly crashes a worker that is back under its id after a while.
func (s *simulation) restartQuickly(w *fakeWorker, after time.Duration) {
	s.logf("%s crashes for %s", w.id, after)
	w.crash()
	s.schedule(after, w.restart)
}
