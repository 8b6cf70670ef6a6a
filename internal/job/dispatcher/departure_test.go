package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

const sharedAddress = "10.0.0.1:80"

// workerAt returns the registration of a worker at an address, started at incarnation.
func workerAt(address, id string, incarnation int64) specifier.Worker {
	return specifier.Worker{
		ID: id, Incarnation: incarnation, Service: "desk", Address: address,
		Capacity: describer.Resources{CPU: workerCPU, Memory: 1000},
	}
}

// startOn lists a worker alone and starts the task of oneStep there.
func (h *harness) startOn(w specifier.Worker) specifier.Run {
	h.feed(WorkersListed{Workers: []specifier.Worker{w}})
	h.answer(w.ID, w.Incarnation)
	h.advance(100 * time.Millisecond)
	h.feed(JobArrived{Job: oneStep(1, nil)})
	start := takeEffects[StartRun](h)[0]
	h.confirm(start)
	return specifier.Run{Task: start.Task, Number: start.Run}
}

// refusePoll delivers the refusal of a poll by another worker at the address.
func (h *harness) refusePoll(w specifier.Worker) {
	h.feed(PollFailed{Worker: w.ID, Incarnation: w.Incarnation, Fault: WorkerRestarted})
}

// TestEntryAtAddressOfLiveWorker guards against a second run of a task whose worker is up: the
// registration of a worker that has ended, with a later time of start by a clock that was ahead,
// has its address. The dead worker's polls are refused, or have no answer.
func TestEntryAtAddressOfLiveWorker(t *testing.T) {
	for _, fault := range []Fault{WorkerRestarted, OutcomeUnknown} {
		t.Run(fault.String(), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue)
			dead, live, idle := workerAt(sharedAddress, "dead", 9), workerAt(sharedAddress, "live", 5), workerAt("10.0.0.2:80", "idle", 7)
			active := h.startOn(live)
			for range 40 {
				h.feed(WorkersListed{Workers: []specifier.Worker{dead, idle, live}})
				h.feed(PollFailed{Worker: dead.ID, Incarnation: dead.Incarnation, Fault: fault})
				h.answer(idle.ID, idle.Incarnation)
				h.answer(live.ID, live.Incarnation, active)
				h.advance(250 * time.Millisecond)
			}
			g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "the task's run is listed in each inventory")
			g.Expect(takeEffects[RunsLost](h)).To(BeEmpty())
			g.Expect(h.workers[live.ID].isUsable(h.now)).To(BeTrue(), "the dead worker isn't waited for")
			g.Expect(h.workers[live.ID].crashes.IsRecent(h.now)).To(BeFalse())
			takeEffects[PollWorker](h)
			h.answer(live.ID, live.Incarnation, active)
			g.Expect(takeEffects[PollWorker](h)).To(ContainElement(HaveField("Worker.ID", live.ID)), "its leases are renewed")
		})
	}
}

// TestTakeOverWithEntryAtAddressOfLiveWorker guards against the same by a new owner, which hasn't
// heard from the worker that runs the task yet.
func TestTakeOverWithEntryAtAddressOfLiveWorker(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue)
	h.inheritedExpiry["live"] = epoch.Add(10 * time.Second)
	dead, live, idle := workerAt(sharedAddress, "dead", 9), workerAt(sharedAddress, "live", 5), workerAt("10.0.0.2:80", "idle", 7)
	h.feed(JobLoaded{Job: oneStep(1, nil)}, WorkersListed{Workers: []specifier.Worker{dead, idle, live}})
	h.answer(idle.ID, idle.Incarnation)
	h.refusePoll(dead)
	for range 4 {
		h.advance(250 * time.Millisecond)
	}
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "an earlier owner may have started the task on the live worker")
	h.answer(live.ID, live.Incarnation, specifier.Run{Task: specifier.TaskID{Job: oneStep(1, nil).ID}, Number: 1})
	h.advance(time.Second)
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
}

// TestSuccessorWithEarlierStart guards against a worker that gets no polls because its machine's
// clock is behind that of its predecessor at the address, and against a wait for the leases on
// the predecessor, whose poll it refuses.
func TestSuccessorWithEarlierStart(t *testing.T) {
	for _, isListed := range []bool{false, true} {
		t.Run(fmt.Sprintf("predecessor listed %t", isListed), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue)
			dead, live := workerAt(sharedAddress, "dead", 9), workerAt(sharedAddress, "live", 5)
			h.startOn(dead)
			list := []specifier.Worker{live}
			if isListed {
				list = append(list, dead)
			}
			h.feed(PollFailed{Worker: dead.ID, Incarnation: dead.Incarnation, Fault: OutcomeUnknown}, WorkersListed{Workers: list})
			h.answer(live.ID, live.Incarnation)
			h.refusePoll(dead)
			h.advance(100 * time.Millisecond)
			h.advance(100 * time.Millisecond)
			g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Worker.ID", live.ID)))
		})
	}
}

// TestRefusalOfEarlierPoll guards against a worker that counts as ended because a poll of its
// earlier incarnation was refused.
func TestRefusalOfEarlierPoll(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue)
	other, live := workerAt(sharedAddress, "other", 9), workerAt(sharedAddress, "live", 5)
	active := h.startOn(live)
	h.feed(WorkersListed{Workers: []specifier.Worker{live, other}})
	h.feed(PollFailed{Worker: live.ID, Incarnation: live.Incarnation - 1, Fault: WorkerRestarted})
	h.answer(live.ID, live.Incarnation, active)
	h.advance(time.Second)
	g.Expect(takeEffects[RunsLost](h)).To(BeEmpty())
}

// TestStartsAtSharedAddress guards against starts on the worker of two that has probably ended,
// before the polls have shown which one is up.
func TestStartsAtSharedAddress(t *testing.T) {
	for name, c := range map[string]struct {
		ended, up string
	}{"the earlier one has ended": {"early", "late"}, "the later one has ended": {"late", "early"}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue)
			workers := map[string]specifier.Worker{"early": workerAt(sharedAddress, "early", 5), "late": workerAt(sharedAddress, "late", 9)}
			h.feed(WorkersListed{Workers: []specifier.Worker{workers["early"]}})
			h.answer("early", 5)
			h.advance(100 * time.Millisecond)
			h.feed(WorkersListed{Workers: []specifier.Worker{workers["early"], workers["late"]}}, JobArrived{Job: oneStep(1, nil)})
			h.advance(100 * time.Millisecond)
			g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
			h.refusePoll(workers[c.ended])
			h.answer(c.up, workers[c.up].Incarnation)
			h.advance(100 * time.Millisecond)
			h.advance(100 * time.Millisecond)
			g.Expect(takeEffects[StartRun](h)).To(ConsistOf(HaveField("Worker.ID", c.up)))
		})
	}
}

// TestSharedAddressIsSettledSoon guards against a wait of more than a poll's retry delay until the
// address is asked which of two workers is up, and against a worker that is asked for good after
// both have left.
func TestSharedAddressIsSettledSoon(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue)
	early, late := workerAt(sharedAddress, "early", 5), workerAt(sharedAddress, "late", 9)
	h.startOn(early)
	h.feed(PollFailed{Worker: early.ID, Incarnation: early.Incarnation, Fault: OutcomeUnknown})
	takeEffects[PollWorker](h)
	h.feed(WorkersListed{Workers: []specifier.Worker{late}})
	g.Expect(takeEffects[PollWorker](h)).To(ContainElement(HaveField("Worker.ID", early.ID)), "its rival has just registered")
	h.feed(PollFailed{Worker: early.ID, Incarnation: early.Incarnation, Fault: OutcomeUnknown})
	h.advance(pollRetryDelay)
	g.Expect(takeEffects[PollWorker](h)).To(ContainElement(HaveField("Worker.ID", early.ID)))
	h.feed(WorkersListed{})
	h.silence(early.ID)
	h.feed(PollFailed{Worker: late.ID, Incarnation: late.Incarnation, Fault: OutcomeUnknown})
	h.advance(time.Second)
	g.Expect(h.workers).To(BeEmpty())
}
