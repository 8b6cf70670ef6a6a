package dispatcher

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// pollWaiting carries out a poll that may wait at the worker until a run ends.
func (o *owner) pollWaiting(e PollWorker) {
	s, w := o.sim, o.sim.worker(e.Worker.ID)
	sent := s.now
	lose := func() {
		s.schedule(time.Second, func() {
			o.post(PollFailed{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Fault: o.pollFault(e.Worker)})
		})
	}
	answer := func(event Event) { s.schedule(o.delayTo(w), func() { o.post(event) }) }
	s.schedule(o.delayTo(w), func() {
		isLost := s.ordersAreBound && e.IsForIncarnation() && w.incarnation != e.Worker.Incarnation
		if !w.isUp() || o.unreachable[w] || isLost {
			lose()
			return
		}
		inventory, fault := w.poll(o.token, e)
		switch {
		case fault != NoFault:
			answer(PollFailed{Worker: w.id, Incarnation: e.Worker.Incarnation, Fault: fault})
		case len(inventory.Ended) > 0 || e.Wait == 0:
			answer(PollAnswered{Worker: w.id, Sent: sent, Inventory: inventory})
		default:
			w.awaitEnd(e.Wait, lose, func() { answer(w.answerPoll(o.token, sent)) })
		}
	})
}

// answerPoll returns the answer to a poll that has waited.
func (w *fakeWorker) answerPoll(token int64, sent time.Time) Event {
	if w.sim.waitingPollsFenced && token < w.token {
		return PollFailed{Worker: w.id, Incarnation: w.incarnation, Fault: Fenced}
	}
	return PollAnswered{Worker: w.id, Sent: sent, Inventory: w.inventory()}
}

// awaitEnd calls answer when a run ends, or after limit, or lose then if the incarnation has ended.
func (w *fakeWorker) awaitEnd(limit time.Duration, lose, answer func()) {
	incarnation, isAnswered := w.incarnation, false
	once := func() {
		switch {
		case isAnswered:
		case !w.isUp() || w.incarnation != incarnation:
			lose()
		default:
			answer()
		}
		isAnswered = true
	}
	w.waitingPolls = append(w.waitingPolls, once)
	w.sim.schedule(limit, once)
}

// answerWaitingPolls answers all polls that wait.
func (w *fakeWorker) answerWaitingPolls() {
	waiting := w.waitingPolls
	w.waitingPolls = nil
	for _, answer := range waiting {
		answer()
	}
}

// interrupt ends a random run of the worker.
func (w *fakeWorker) interrupt(outcome specifier.Outcome) {
	ids := sortedFakeRuns(w.runs)
	if len(ids) > 0 && w.isUp() {
		w.endRun(ids[w.sim.random.IntN(len(ids))], outcome)
	}
}
