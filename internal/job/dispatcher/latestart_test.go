package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// TestLateStartOfCancelledJob guards against a run of a cancelled job that begins seconds after
// its start was ordered: on a busy link the start is carried out late, and the stop behind it.
// The worker has answered polls until then.
func TestLateStartOfCancelledJob(t *testing.T) {
	for _, delay := range []time.Duration{2100 * time.Millisecond, 4 * time.Second, 5400 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(t, 1, 1)
			s.advance(5 * time.Second)
			s.orderDelay = delay
			job := specifier.Job{ID: "7a1f03c95be2d846", Steps: []specifier.Step{{Count: 1, Needs: resources(1000), LongRunning: true}}}
			s.submit(job)
			s.advance(1500 * time.Millisecond)
			task := s.shards[0].owner.shard.findTask(specifier.TaskID{Job: job.ID})
			g.Expect(task.lastRun).To(BeNumerically(">", 0), "a start was ordered")
			s.cancel(job.ID)
			s.advance(20 * time.Second)
			g.Expect(s.invariants.lastRun).To(BeEmpty(), "no run has begun")
		})
	}
}

// leaseWorker is a worker that holds polls as long as they allow, and loses one of them on the
// way to it. Its clock runs 2 % slow.
type leaseWorker struct {
	h        *harness
	calls    map[time.Time][]func()
	polls    int // received and lost
	lostPoll int // number of the poll that is lost
	leaseEnd time.Duration
	active   []specifier.Run
}

const (
	leaseStep       = 10 * time.Millisecond
	leaseTransit    = 30 * time.Millisecond
	leaseCallLimit  = 1500 * time.Millisecond // as manager.callTimeout
	leaseClockStart = time.Minute
)

func (w *leaseWorker) clock() time.Duration {
	return leaseClockStart + time.Duration(0.98*float64(w.h.now.Sub(epoch)))
}

// after calls do when the harness' clock has advanced by d.
func (w *leaseWorker) after(d time.Duration, do func()) {
	at := w.h.now.Add(d.Round(leaseStep))
	w.calls[at] = append(w.calls[at], do)
}

// advance moves the clock by a step and carries out what is due. It reports whether a run has
// lapsed.
func (w *leaseWorker) advance() bool {
	w.h.advance(leaseStep)
	due := w.calls[w.h.now]
	delete(w.calls, w.h.now)
	for _, do := range due {
		do()
	}
	for _, e := range takeEffects[PollWorker](w.h) {
		w.poll(e)
	}
	for _, e := range takeEffects[StartRun](w.h) {
		w.after(leaseTransit, func() { w.start(e) })
	}
	return len(w.active) > 0 && w.clock() >= w.leaseEnd
}

func (w *leaseWorker) poll(e PollWorker) {
	w.polls++
	if w.polls == w.lostPoll {
		w.after(e.Wait+leaseCallLimit, func() { w.h.feed(PollFailed{Worker: "w1", Incarnation: 1, Fault: OutcomeUnknown}) })
		return
	}
	sent := w.h.now
	w.after(leaseTransit, func() { w.leaseEnd = max(w.leaseEnd, e.LeaseEnd) })
	w.after(leaseTransit+e.Wait, func() {
		answer := PollAnswered{Worker: "w1", Sent: sent, Inventory: specifier.Inventory{Incarnation: 1, Clock: w.clock(), Active: w.active}}
		w.after(leaseTransit, func() { w.h.feed(answer) })
	})
}

func (w *leaseWorker) start(e StartRun) {
	answer := StartAnswered{Worker: "w1", Incarnation: 1, Task: e.Task, Run: e.Run, Fault: LeaseExpired}
	if e.LeaseEnd > w.clock() {
		answer.Fault = NoFault
		w.leaseEnd = max(w.leaseEnd, e.LeaseEnd)
		w.active = append(w.active, specifier.Run{Task: e.Task, Number: e.Run})
	}
	w.after(leaseTransit, func() { w.h.feed(answer) })
}

// TestRunLapsesAfterOneLostPoll guards against a run that lapses on a healthy worker, because
// its start grants a shorter lease than a lost poll takes to be repeated.
func TestRunLapsesAfterOneLostPoll(t *testing.T) {
	for _, wait := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond} {
		for lost := 2; lost <= 5; lost++ {
			for arrival := time.Duration(0); arrival < 5*time.Second; arrival += 250 * time.Millisecond {
				name := fmt.Sprintf("wait %s, poll %d lost, job after %s", wait, lost, arrival)
				if err := runBesideLostPoll(wait, lost, arrival); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
		}
	}
}

// runBesideLostPoll runs a long-running task on a worker that loses one poll.
func runBesideLostPoll(wait time.Duration, lost int, arrival time.Duration) error {
	h := newHarness(lossQueue)
	h.options.PollWait = wait
	w := &leaseWorker{h: h, calls: make(map[time.Time][]func()), lostPoll: lost}
	h.list(map[string]int64{"w1": 1})
	w.after(arrival+leaseStep, func() {
		h.feed(JobArrived{Job: oneStep(1, func(st *specifier.Step) { st.LongRunning = true })})
	})
	for range int(14 * time.Second / leaseStep) {
		if w.advance() {
			return fmt.Errorf("run lapsed at %s", h.now.Sub(epoch))
		}
	}
	if len(w.active) != 1 {
		return fmt.Errorf("%d runs were started", len(w.active))
	}
	return nil
}

// TestStartRefusedAfterSlowAnswer guards against starts that a worker refuses as late, because
// its clock was last known by an answer that took seconds.
func TestStartRefusedAfterSlowAnswer(t *testing.T) {
	g := NewWithT(t)
	const drift, answerTime = 50 * time.Millisecond, 1400 * time.Millisecond
	h := newHarness(lossQueue)
	clock := func() time.Duration { return time.Minute + h.now.Sub(epoch) }
	h.list(map[string]int64{"w1": 1})
	h.answer("w1", 1)
	h.answer("w1", 1)
	h.advance(answerTime)
	h.feed(PollAnswered{Worker: "w1", Sent: h.now.Add(-answerTime), Inventory: specifier.Inventory{Incarnation: 1, Clock: clock() - answerTime}})
	h.feed(JobArrived{Job: oneStep(1, nil)})
	starts := takeEffects[StartRun](h)
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].LeaseEnd).To(BeNumerically("~", clock()+StartLease-drift, drift))
	g.Expect(h.workers["w1"].leaseExpiry).To(BeTemporally(">=", h.now.Add(simLease)), "the poll's lease")
}
