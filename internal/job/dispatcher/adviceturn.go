package dispatcher

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/batcher"
	"dotterelcart.dev/dotterelcart/internal/control/fitter"
)

// adviceChoice is the request for advice that a round of placement makes, if any.
type adviceChoice struct {
	step    *step
	workers []*worker
	start   time.Duration // start tag of the queue, see package rotator
}

// considerAdvice makes the step's request for advice the one of this round if it needs any
// and its queue comes before that of the present choice. Of one queue the step that ranks
// first is chosen.
func (p *placement) considerAdvice(st *step) {
	if st.waiting == 0 || !p.isAdviceDue(st) || p.isDeferred(st) {
		return
	}
	start := p.shard.advising.turns.Start(st.job.spec.Queue)
	if p.advice.step != nil && start >= p.advice.start {
		return
	}
	workers := p.adviceCandidates(st)
	if len(workers) > 0 {
		p.advice = adviceChoice{st, workers, start}
	}
}

// isAdviceDue reports whether the step may request advice in this round.
func (p *placement) isAdviceDue(st *step) bool {
	s := p.shard
	if !st.job.queue.Advice.Needed || s.advising.isBusy() {
		return false
	}
	return !s.now.Before(s.advising.retryAt) && !s.now.Before(st.advice.retryAt)
}

// considerPrepared is considerAdvice for the prepared runs whose tickets have expired. They
// come first, since they hold room.
func (p *placement) considerPrepared() {
	for _, r := range p.shard.preparing {
		st := r.task.step
		if p.advice.step != nil || !r.isDurable() || !p.isAdviceDue(st) || !p.shard.needsTickets(r) {
			continue
		}
		if workers := p.preparedOn(st); len(workers) > 0 {
			p.advice = adviceChoice{step: st, workers: workers}
		}
	}
}

// preparedOn returns the workers on which the step has prepared runs that need tickets, at most as
// many as a request can name. For a gang these are all whose tickets would expire before the answer.
func (p *placement) preparedOn(st *step) []*worker {
	at := p.shard.now
	if st.spec.Gang {
		at = p.answerTime(st, len(st.tasks))
	}
	var out []*worker
	for _, r := range p.shard.preparing {
		if r.task.step == st && !st.hasTicket(r.worker, at) && !slices.Contains(out, r.worker) {
			out = append(out, r.worker)
		}
	}
	return out[:min(len(out), maxAdviceWorkers)]
}

// answerTime returns when a request that names a number of workers, sent now, is expected to
// be answered at the latest if nothing delays it.
func (p *placement) answerTime(st *step, workers int) time.Time {
	a := &st.job.queue.Advice
	return p.shard.now.Add(a.CallTime(min(workers, maxAdviceWorkers)) + maxTicketMargin)
}

// requestAdvice emits the request for advice of this round.
func (p *placement) requestAdvice() {
	st, s := p.advice.step, p.shard
	if st == nil {
		return
	}
	a := &s.advising
	a.last++
	request := RequestAdvice{
		Number: a.last, Step: st.tasks[0].id(), Expected: st.job.queue.Advice.CallTime(len(p.advice.workers)),
	}
	for _, w := range p.advice.workers {
		request.Workers = append(request.Workers, w.reg)
	}
	a.requests = append(a.requests, adviceRequest{number: a.last, step: st, workers: len(request.Workers)})
	a.turns.Begin(st.job.spec.Queue, max(request.Expected, minAdviceTurn))
	s.emit(request)
	s.emit(Log{Message: "advice requested", Job: st.job.spec.ID, Task: request.Step.StepID()})
}

// adviceCandidates returns the workers that a request for the step names now: those that it
// would use if they had tickets. Those that are known to be allowed come first.
func (p *placement) adviceCandidates(st *step) []*worker {
	request := st.request()
	if !request.Fits(&p.largest) {
		return nil
	}
	if st.spec.Gang {
		return p.adviceForGang(st)
	}
	tasks := p.adviceTasks(st)
	if len(tasks) == 0 {
		return nil
	}
	p.setAffinity(st)
	mayDisturb := p.mustProgress(st)
	return p.adviceWorkers(st, len(tasks), func(i int) bool {
		return slices.ContainsFunc(tasks, func(t *task) bool {
			return p.maySuspectStart(t, p.workers[i]) && p.mayStartOn(t, i, mayDisturb)
		})
	})
}

// adviceTasks returns the step's tasks that wait for nothing but workers, at most as many as
// a request can name workers.
func (p *placement) adviceTasks(st *step) []*task {
	var out []*task
	for _, t := range st.tasks {
		if len(out) < maxAdviceWorkers && p.shard.mayStart(t) {
			out = append(out, t)
		}
	}
	return out
}

// adviceWorkers returns the best workers without a ticket among the allowed ones, as many as one
// request names if a number of them is needed.
func (p *placement) adviceWorkers(st *step, needed int, allowed func(i int) bool) []*worker {
	ranked := fitter.Rank(p.candidates, st.request(), func(i int) bool {
		w := p.workers[i]
		return !st.isRefused(w) && !st.hasTicket(w, p.shard.now) && allowed(i)
	})
	if len(ranked) == 0 {
		return nil
	}
	slices.SortStableFunc(ranked, func(a, b int) int { return p.adviceOrder(st, a) - p.adviceOrder(st, b) })
	ranked = ranked[:min(len(ranked), maxAdviceWorkers)]
	ranked = ranked[:min(len(ranked), p.adviceSize(st, min(needed, len(ranked)), ranked))]
	var out []*worker
	for _, i := range ranked {
		out = append(out, p.workers[i])
	}
	return out
}

// adviceOrder returns 0 for a worker that the adviser is known to allow, 1 for others.
func (p *placement) adviceOrder(st *step, i int) int {
	if st.isAllowed(p.workers[i]) {
		return 0
	}
	return 1
}

// adviceSize returns how many of the ranked workers a request names if a number of them is
// needed. If possible, the request takes less time than its tickets last.
func (p *placement) adviceSize(st *step, needed int, ranked []int) int {
	a := &st.job.queue.Advice
	rate := p.shard.advising.approvals[st.job.spec.Queue].rate()
	approvals := make([]float64, len(ranked))
	for k, i := range ranked {
		approvals[k] = rate
		if st.isAllowed(p.workers[i]) {
			approvals[k] = 1
		}
	}
	n := batcher.Size(needed, approvals, a.CallTime)
	if limit := st.advice.maxWorkers; limit > 0 {
		n = min(n, limit)
	}
	for n > 1 && a.CallTime(n) >= a.Validity && a.CallTime(1) < a.Validity {
		n--
	}
	return n
}

// adviceForGang returns the workers that a request for a gang names. All its members start
// together, so that the tickets of all workers have to be valid at the same time: first
// workers are found that are allowed, then one request renews the tickets that would have
// expired at its answer.
func (p *placement) adviceForGang(st *step) []*worker {
	if !p.mayGangStart(st) {
		return nil
	}
	chosen, _ := p.chooseForGang(st, func(w *worker) bool { return st.isAllowed(w) })
	if missing := len(st.tasks) - len(chosen); missing > 0 {
		if all, _ := p.chooseForGang(st, func(w *worker) bool { return !st.isRefused(w) }); len(all) < len(st.tasks) {
			return nil // it doesn't fit, whatever the adviser says
		}
		return p.adviceWorkers(st, missing, func(i int) bool {
			return !st.isAllowed(p.workers[i]) && slices.ContainsFunc(st.tasks, func(t *task) bool {
				return p.maySuspectStart(t, p.workers[i]) && p.mayStartOn(t, i, true)
			})
		})
	}
	at := p.answerTime(st, len(chosen))
	var out []*worker
	for _, i := range chosen {
		if w := p.workers[i]; !st.hasTicket(w, at) && !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out[:min(len(out), maxAdviceWorkers)]
}
