package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Bounds of requests for advice.
const (
	adviceWorkers = 24                     // asked for in one call; each costs the service time
	adviceRetry   = 400 * time.Millisecond // after a call that failed
	adviceMargin  = 300 * time.Millisecond // before its end, a ticket is not used any more
)

// AskAdvice asks which of some workers may run a step. The answer is Advised.
type AskAdvice struct {
	Step    specifier.TaskID // of its first task
	Workers []specifier.Worker
}

// AdviceAnswered is the outcome of AskAdvice. Workers that were asked for and have no
// ticket may not run the step.
type AdviceAnswered struct {
	Step     specifier.TaskID
	Asked    []specifier.Worker
	Tickets  []Ticket
	Validity time.Duration
	Failed   bool // no answer: ask again
}

// Ticket lets one life of a worker run a step.
type Ticket struct {
	Worker string
	Text   string
}

func (AskAdvice) effect()     {}
func (AdviceAnswered) event() {}

// advice is what is known of the workers that may run a step.
type advice struct {
	asking  bool
	retry   time.Time
	verdict map[string]verdict // by worker
}

// verdict is the advice on one worker. Whether it may run the step does not
// change; a ticket is for one life of the worker and a time.
type verdict struct {
	allowed bool
	ticket  string
	born    int64
	expires time.Time
}

// ticketFor returns a ticket that is valid on the worker.
func (st *step) ticketFor(w *worker, now time.Time) (string, bool) {
	v := st.advice.verdict[w.reg.ID]
	if !v.allowed || v.born != w.reg.Incarnation || !now.Before(v.expires) {
		return "", false
	}
	return v.ticket, true
}

// seekAdvice asks for tickets, if those at hand don't do for the tasks that wait.
func (p *placement) seekAdvice(st *step) {
	s := p.s
	if !st.job.queue.Advice.Needed || st.advice.asking || st.waiting == 0 || s.now.Before(st.advice.retry) {
		return
	}
	ask := p.candidates(st)
	if len(ask) == 0 {
		return
	}
	st.advice.asking = true
	s.emit(AskAdvice{Step: st.tasks[0].id(), Workers: ask})
	s.emit(Log{Message: "advice asked for", Job: st.job.spec.ID, Task: st.tasks[0].id().StepID()})
}

// candidates are the workers with room whose tickets are wanted: those that
// are known to be allowed first, then those not asked for yet.
func (p *placement) candidates(st *step) []specifier.Worker {
	need := st.fitterNeed()
	var known, unknown []int
	for i, w := range p.workers {
		v, asked := st.advice.verdict[w.reg.ID]
		_, valid := st.ticketFor(w, p.s.now)
		switch {
		case valid || asked && !v.allowed || !need.Fits(&p.rooms[i]) || !w.reg.HasLabel(st.spec.Label):
		case asked:
			known = append(known, i)
		default:
			unknown = append(unknown, i)
		}
	}
	byRoom := func(a, b int) int { return cmp.Compare(p.rooms[b].Free.CPU, p.rooms[a].Free.CPU) }
	slices.SortStableFunc(known, byRoom)
	slices.SortStableFunc(unknown, byRoom)
	chosen := append(known, unknown...)
	var out []specifier.Worker
	for _, i := range chosen[:min(len(chosen), adviceWorkers)] {
		out = append(out, p.workers[i].reg)
	}
	return out
}

// advised takes in the answer.
func (s *Shard) advised(e AdviceAnswered) {
	j := s.jobs[e.Step.Job]
	if j == nil || j.task(e.Step) == nil {
		return
	}
	st := j.task(e.Step).step
	st.advice.asking = false
	if e.Failed {
		st.advice.retry = s.now.Add(adviceRetry)
		return
	}
	if st.advice.verdict == nil {
		st.advice.verdict = make(map[string]verdict)
	}
	for _, w := range e.Asked {
		v := verdict{born: w.Incarnation}
		for _, t := range e.Tickets {
			if t.Worker == w.ID {
				v.allowed, v.ticket = true, t.Text
				v.expires = s.now.Add(e.Validity - adviceMargin)
			}
		}
		st.advice.verdict[w.ID] = v
	}
	s.changed = true
}
