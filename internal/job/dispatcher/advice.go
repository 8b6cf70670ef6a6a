package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Limits of requests for placement advice.
const (
	maxAdviceWorkers = 24                     // workers in one request; each takes the service additional time
	adviceRetryDelay = 400 * time.Millisecond // delay after a failed request
	ticketMargin     = 300 * time.Millisecond // a ticket isn't used any more this long before it expires
)

// RequestAdvice requests tickets that allow workers to run a step. The answer is
// AdviceAnswered.
type RequestAdvice struct {
	Step     specifier.TaskID // id of the step's first task
	Workers  []specifier.Worker
	Expected time.Duration // how long it takes by the configuration
}

// AdviceAnswered is the outcome of RequestAdvice. Requested workers without a ticket
// must not run the step.
type AdviceAnswered struct {
	Step      specifier.TaskID
	Requested []specifier.Worker
	Tickets   []Ticket
	Validity  time.Duration
	Outcome   AdviceOutcome
}

// AdviceOutcome is how a request for placement advice has ended.
type AdviceOutcome uint8

// Outcomes of requests for placement advice.
const (
	AdviceGiven       AdviceOutcome = iota
	AdviceTimedOut                  // no answer in time
	AdviceRefused                   // the adviser refused the request, as when too many wait
	AdviceUnreachable               // the connection failed
	AdviceNoService                 // the settings name no adviser
)

// String returns the text of the outcome in logs and metrics.
func (o AdviceOutcome) String() string {
	return [...]string{"given", "timeout", "refused", "unreachable", "no-service"}[o]
}

// Ticket allows one incarnation of a worker to run a step.
type Ticket struct {
	Worker string
	Text   string
}

func (RequestAdvice) effect() {}
func (AdviceAnswered) event() {}

// advice is what is known about which workers may run a step.
type advice struct {
	requested bool // a request has no answer yet
	retryAt   time.Time
	verdicts  map[string]verdict // by worker id
}

// verdict is the advice about one worker. Whether the worker is allowed never
// changes; a ticket expires and is for one incarnation of the worker.
type verdict struct {
	allowed     bool
	ticket      string
	incarnation int64
	expires     time.Time
}

// ticketFor returns a ticket for the step that is valid on the worker now.
func (st *step) ticketFor(w *worker, now time.Time) (string, bool) {
	v := st.advice.verdicts[w.reg.ID]
	if !v.allowed || v.incarnation != w.reg.Incarnation || !now.Before(v.expires) {
		return "", false
	}
	return v.ticket, true
}

// requestAdvice requests tickets for workers that have room for the step's
// waiting tasks but no valid ticket.
func (p *placement) requestAdvice(st *step) {
	s := p.shard
	if !st.job.queue.Advice.Needed || st.advice.requested || st.waiting == 0 || s.now.Before(st.advice.retryAt) {
		return
	}
	workers := p.adviceCandidates(st)
	if len(workers) == 0 {
		return
	}
	st.advice.requested = true
	s.emit(RequestAdvice{Step: st.tasks[0].id(), Workers: workers, Expected: st.job.queue.Advice.CallTime(len(workers))})
	s.emit(Log{Message: "advice requested", Job: st.job.spec.ID, Task: st.tasks[0].id().StepID()})
}

// adviceCandidates returns at most maxAdviceWorkers workers that have room for
// the step but no valid ticket: first those known to be allowed, then those
// about which there is no answer yet.
func (p *placement) adviceCandidates(st *step) []specifier.Worker {
	request := st.request()
	var known, unknown []int
	for i, w := range p.workers {
		v, answered := st.advice.verdicts[w.reg.ID]
		_, valid := st.ticketFor(w, p.shard.now)
		switch {
		case valid || answered && !v.allowed || !request.Fits(&p.candidates[i]) || !w.reg.HasLabel(st.spec.Label):
		case answered:
			known = append(known, i)
		default:
			unknown = append(unknown, i)
		}
	}
	byRoom := func(a, b int) int { return cmp.Compare(p.candidates[b].Free.CPU, p.candidates[a].Free.CPU) }
	slices.SortStableFunc(known, byRoom)
	slices.SortStableFunc(unknown, byRoom)
	chosen := append(known, unknown...)
	var out []specifier.Worker
	for _, i := range chosen[:min(len(chosen), maxAdviceWorkers)] {
		out = append(out, p.workers[i].reg)
	}
	return out
}

// adviceAnswered stores the tickets of an answer.
func (s *Shard) adviceAnswered(e AdviceAnswered) {
	j := s.jobs[e.Step.Job]
	if j == nil || j.task(e.Step) == nil {
		return
	}
	st := j.task(e.Step).step
	st.advice.requested = false
	if e.Outcome != AdviceGiven {
		st.advice.retryAt = s.now.Add(adviceRetryDelay)
		return
	}
	if st.advice.verdicts == nil {
		st.advice.verdicts = make(map[string]verdict)
	}
	for _, w := range e.Requested {
		v := verdict{incarnation: w.Incarnation}
		for _, t := range e.Tickets {
			if t.Worker == w.ID {
				v.allowed, v.ticket = true, t.Text
				v.expires = s.now.Add(e.Validity - ticketMargin)
			}
		}
		st.advice.verdicts[w.ID] = v
	}
	s.placementDue = true
}
