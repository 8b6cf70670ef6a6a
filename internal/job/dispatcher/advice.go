package dispatcher

import (
	"cmp"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/rotator"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// On some queues a step may run only on workers for which the adviser has issued a ticket.
// The adviser handles one request of a host at a time and takes longer the more workers a
// request names, see specifier.Advice. So a shard has one request in progress, and gives
// the queues turns. A request names the workers that the step would use now, few of them if
// each takes long, so that the first tasks start before the last worker is judged.
//
// A ticket is used as soon as it arrives. Whether the adviser allows a worker never changes,
// so that a late answer is used, too.

// Limits of requests for placement advice.
const (
	maxAdviceWorkers   = 100                     // workers in one request
	maxAdviceRequests  = 3                       // requests in progress, of which all but the last one are delayed
	minAdviceBackoff   = 400 * time.Millisecond  // first delay after a request that failed
	maxAdviceBackoff   = 3200 * time.Millisecond // longest such delay
	minAdviceTurn      = 10 * time.Millisecond   // shortest time that a request counts for in the turns of the queues
	maxCountedVerdicts = 200                     // verdicts about a queue after which earlier ones count half
)

// RequestAdvice requests tickets that allow workers to run a step. Each request is answered
// by one AdviceAnswered, however late.
type RequestAdvice struct {
	Number   int64            // of the request in this shard
	Step     specifier.TaskID // id of the step's first task
	Workers  []specifier.Worker
	Expected time.Duration // how long it takes by the configuration
}

// AdviceDelayed reports that a request takes much longer than expected. The answer may still
// come.
type AdviceDelayed struct{ Number int64 }

// AdviceAnswered is the outcome of RequestAdvice. Requested workers without a ticket
// must not run the step.
type AdviceAnswered struct {
	Number    int64
	Step      specifier.TaskID
	Requested []specifier.Worker
	Tickets   []Ticket
	Validity  time.Duration // lifetime of the tickets; 0 is that of the configuration
	Received  time.Time     // when the answer arrived; zero is now
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
func (AdviceDelayed) event()  {}
func (AdviceAnswered) event() {}

// advising is how a shard uses the adviser.
type advising struct {
	last      int64 // number of the last request
	requests  []adviceRequest
	turns     rotator.Turns[string] // by queue
	failures  int                   // requests that failed since the last answer
	retryAt   time.Time             // no request before this time
	approvals map[string]approval   // by queue
}

// adviceRequest is a request in progress.
type adviceRequest struct {
	number  int64
	step    *step
	workers int // number of workers that it names
	delayed bool
}

// approval counts the verdicts about workers for the steps of a queue.
type approval struct{ allowed, judged float64 }

// rate returns the probability that a further worker is allowed.
func (a approval) rate() float64 { return (a.allowed + 1) / (a.judged + 2) }

// isBusy reports whether the adviser may still work on a request without which another one
// would only wait.
func (a *advising) isBusy() bool {
	for _, r := range a.requests {
		if !r.delayed {
			return true
		}
	}
	return len(a.requests) >= maxAdviceRequests
}

// countVerdict adds a verdict about a worker that is new.
func (a *advising) countVerdict(queue string, allowed bool) {
	if a.approvals == nil {
		a.approvals = make(map[string]approval)
	}
	c := a.approvals[queue]
	if c.judged >= maxCountedVerdicts {
		c.allowed, c.judged = c.allowed/2, c.judged/2
	}
	c.judged++
	if allowed {
		c.allowed++
	}
	a.approvals[queue] = c
}

// adviceBackoff returns the delay before the next request after n that failed in a row.
func adviceBackoff(n int) time.Duration {
	backoff := minAdviceBackoff
	for range n - 1 {
		backoff = min(2*backoff, maxAdviceBackoff)
	}
	return backoff
}

// advice is what is known about which workers may run a step.
type advice struct {
	verdicts   map[string]verdict // by worker id
	maxWorkers int                // limit of workers that no verdict is known about in one request; 0 is none
	failures   int                // requests that failed since the last answer
	unused     int                // answers in a row that said nothing new, and after which nothing started
	retryAt    time.Time          // no request before this time
}

// started notes that a start with a ticket has succeeded.
func (a *advice) started() { a.unused, a.retryAt = 0, time.Time{} }

// noteUnused notes an answer that was of no use. The first one is followed by another request at
// once, since the step's situation may have changed while it was in progress.
func (a *advice) noteUnused(now time.Time) {
	a.unused++
	if a.unused > 1 {
		a.retryAt = now.Add(adviceBackoff(a.unused - 1))
	}
}

// adviceBacklog returns how long the adviser needs for the first requests of the waiting steps.
func (s *Shard) adviceBacklog() time.Duration {
	total := time.Duration(0)
	for _, st := range s.waitingSteps {
		if a := &st.job.queue.Advice; a.Needed && st.waiting > 0 && len(st.advice.verdicts) == 0 {
			total += a.CallTime(min(st.waiting, specifier.TypicalAdviceWorkers))
		}
	}
	return total
}

// adviceDelayed lets other requests go on beside one that takes long. The next one for the
// same step names fewer workers.
func (s *Shard) adviceDelayed(e AdviceDelayed) {
	for i := range s.advising.requests {
		r := &s.advising.requests[i]
		if r.number != e.Number {
			continue
		}
		r.delayed = true
		r.step.advice.maxWorkers = max(r.workers/2, 1)
		s.placementDue = true
		s.emit(Log{Message: "advice delayed", Job: r.step.job.spec.ID, Task: r.step.tasks[0].id().StepID()})
	}
}

// endRequest removes a request that was answered.
func (a *advising) endRequest(number int64) {
	var left []adviceRequest
	for _, r := range a.requests {
		if r.number != number {
			left = append(left, r)
		}
	}
	a.requests = left
}

// adviceAnswered stores the tickets of an answer.
func (s *Shard) adviceAnswered(e AdviceAnswered) {
	s.advising.endRequest(e.Number)
	s.placementDue = true
	var st *step
	if t := s.findTask(e.Step); t != nil {
		st = t.step
	}
	if e.Outcome != AdviceGiven {
		s.adviceFailed(st)
		return
	}
	s.advising.failures, s.advising.retryAt = 0, time.Time{}
	if st == nil {
		return
	}
	st.advice.failures = 0
	if !s.learnVerdicts(st, &e) {
		st.advice.noteUnused(s.now)
	}
	s.orderPrepared()
}

// adviceFailed delays further requests after one that failed.
func (s *Shard) adviceFailed(st *step) {
	a := &s.advising
	a.failures++
	a.retryAt = s.now.Add(adviceBackoff(a.failures))
	if st != nil {
		st.advice.failures++
		st.advice.retryAt = s.now.Add(adviceBackoff(st.advice.failures))
	}
}

// learnVerdicts stores the verdicts of an answer and reports whether one of them is about a
// worker of which none was known.
func (s *Shard) learnVerdicts(st *step, e *AdviceAnswered) (isNew bool) {
	if st.advice.verdicts == nil {
		st.advice.verdicts = make(map[string]verdict)
	}
	tickets := make(map[string]string, len(e.Tickets))
	for _, t := range e.Tickets {
		tickets[t.Worker] = t.Text
	}
	received, validity := cmp.Or(e.Received, s.now), cmp.Or(e.Validity, st.job.queue.Advice.Validity)
	for _, w := range e.Requested {
		text, allowed := tickets[w.ID]
		earlier, judged := st.advice.verdicts[w.ID]
		if !judged || earlier.incarnation != w.Incarnation {
			isNew = true
			s.advising.countVerdict(st.job.spec.Queue, allowed)
		}
		v := verdict{allowed: allowed, ticket: text, incarnation: w.Incarnation, received: received}
		if allowed {
			v.expires = received.Add(validity - ticketMargin(validity))
		}
		st.advice.verdicts[w.ID] = v
	}
	return isNew
}
