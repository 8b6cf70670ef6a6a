package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestStartExceedsShrunkenRoom changes the workers' capacity at random through the faults
// of TestInvariants; checkRoom fails if a start exceeds it.
func TestStartExceedsShrunkenRoom(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		s.advance(time.Second)
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			w := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker of room")]
			w.setRoom(int64(rapid.IntRange(1, 4).Draw(t, "cores")) * 1000)
			s.submit(drawJob(t, fmt.Sprintf("%016x", 100+i), 1))
			s.randomStep(t, i)
			s.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
		}
		for _, w := range s.workers {
			w.setRoom(workerCPU)
		}
		s.endFaults()
		s.advance(3 * time.Minute)
		s.checkEnded()
	})
}

// TestStoreOutageHidesShrunkenRoom has an owner that doesn't reach the store while a room
// shrinks that has shrunk before.
func TestStoreOutageHidesShrunkenRoom(t *testing.T) {
	s := newSimulation(t, 1, 1)
	s.advance(time.Second)
	w := s.workers[0]
	w.setRoom(3000)
	s.advance(time.Second)
	w.setRoom(workerCPU)
	s.advance(2 * time.Second)
	s.shards[0].owner.reachesStore = false
	s.advance(100 * time.Millisecond)
	w.setRoom(1000)
	for i := range 40 {
		s.submit(specifier.Job{ID: fmt.Sprintf("%016x", i), Steps: []specifier.Step{
			{Count: 4, Needs: resources(1000), Estimate: 400 * time.Millisecond},
		}})
		s.advance(200 * time.Millisecond)
	}
}

// TestGrownRoomStaysUnused lets a room shrink and grow again.
func TestGrownRoomStaysUnused(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, 1, 1)
	s.workers[0].setRoom(1000)
	s.advance(time.Second)
	s.submit(specifier.Job{ID: "0000000000000001", Steps: []specifier.Step{
		{Count: 4, Needs: resources(1000), Estimate: 30 * time.Second},
	}})
	s.advance(5 * time.Second)
	g.Expect(s.running("0000000000000001")).To(Equal(1))
	s.workers[0].setRoom(workerCPU)
	s.advance(6 * time.Second)
	g.Expect(s.running("0000000000000001")).To(Equal(4))
}

// TestSlowRegistrationsCountFromTheirRequest guards against starts beyond a capacity that has
// shrunk, after registrations that were long on their way counted as current.
func TestSlowRegistrationsCountFromTheirRequest(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	h.options.RoomNotice = 4 * time.Second
	h.roomVaries = true
	reg := h.workers["w1"].reg
	h.now = h.now.Add(10 * time.Second)
	sent := h.now.Add(-6 * time.Second)
	h.feed(OwnershipChecked{Confirmed: true}, WorkersListed{Workers: []specifier.Worker{reg}, ReadAt: sent}, JobArrived{Job: oneStep(1, nil)})
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())
	h.feed(WorkersUnchanged{ReadAt: h.now})
	h.advance(50 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
}

// TestRestartedWorkerOfASmallerKind guards against starts by the capacity that a worker had before it
// was started again: its answer to a poll may come before its new registration.
func TestRestartedWorkerOfASmallerKind(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(departureQueue, "w1")
	h.answer("w1", 2)
	job := oneStep(3, nil)
	h.feed(JobArrived{Job: job})
	h.advance(100 * time.Millisecond)
	h.register([]string{"w1"}) // read before the restart
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty())

	smaller := specifier.Worker{ID: "w1", Incarnation: 2, Service: "desk", Capacity: resources(job.Steps[0].Needs.CPU)}
	h.feed(WorkersListed{Workers: []specifier.Worker{smaller}})
	h.advance(100 * time.Millisecond)
	g.Expect(takeEffects[StartRun](h)).To(HaveLen(1))
	g.Expect(h.roomVaries).To(BeFalse(), "the capacity hasn't changed while the worker ran")
}
