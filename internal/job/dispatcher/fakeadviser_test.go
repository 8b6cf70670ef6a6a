package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Times of advisedShard.
const (
	adviceStep  = 10 * time.Millisecond // step of the virtual clock
	advisedRun  = 500 * time.Millisecond
	maxPollTime = 100 * time.Millisecond
	delayFactor = 3 // multiple of the expected time, and of a second, after which a request is delayed
)

// advisedShard runs a shard whose queues need advice in virtual time, with an adviser that
// handles one request at a time, and workers that check the tickets of starts.
type advisedShard struct {
	t        reporter
	h        *harness
	refused  map[string]bool // workers that the adviser doesn't allow
	slowdown float64         // multiple of the configured time that the adviser needs; 0 is 1
	lost     int             // number of the next requests of which no answer comes

	requests  []*fakeRequest
	freeAt    time.Time // when the adviser is done with all requests
	tickets   map[string]time.Time
	rejected  int // starts without a valid ticket
	starts    map[specifier.TaskID]time.Time
	active    map[string]map[specifier.TaskID]specifier.Run
	polls     []fakePoll
	ends      []fakeEnd
	lastEnd   map[string]int64
	listed    map[string][]specifier.End
	catalog   *specifier.Catalog
	mostNamed int // workers in one request
}

// fakeRequest is a request that the adviser works on, or that waits for its turn.
type fakeRequest struct {
	RequestAdvice
	queue     specifier.Queue
	endsAt    time.Time
	delayedAt time.Time // when the shard is told that it is delayed
	isLost    bool
}

// fakePoll is a poll that is answered at a time.
type fakePoll struct {
	PollWorker
	at time.Time
}

// fakeEnd is the end of a run at a time.
type fakeEnd struct {
	at     time.Time
	worker string
	run    specifier.Run
}

// newAdvisedShard returns a shard with a number of workers, all of which are allowed.
func newAdvisedShard(t reporter, workers int, queues ...specifier.Queue) *advisedShard {
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("w%03d", i))
	}
	a := &advisedShard{
		t: t, h: newHarness(queues[0], ids...), refused: make(map[string]bool), tickets: make(map[string]time.Time),
		starts: make(map[specifier.TaskID]time.Time), active: make(map[string]map[specifier.TaskID]specifier.Run),
		lastEnd: make(map[string]int64), listed: make(map[string][]specifier.End),
	}
	for _, id := range ids {
		a.active[id] = make(map[specifier.TaskID]specifier.Run)
	}
	a.catalog = &specifier.Catalog{Version: 2, Queues: queues}
	a.h.feed(CatalogUpdated{Catalog: a.catalog})
	return a
}

// submit hands in a job of one step.
func (a *advisedShard) submit(id int, queue string, count int, change func(*specifier.Step)) specifier.Job {
	job := oneStep(count, change)
	job.ID, job.Queue, job.Accepted = fmt.Sprintf("%016x", id), queue, a.h.now
	a.h.feed(JobArrived{Job: job})
	return job
}

// run lets time pass.
func (a *advisedShard) run(d time.Duration) {
	for until := a.h.now.Add(d); a.h.now.Before(until); {
		a.h.advance(adviceStep)
		a.endRuns()
		a.answerPolls()
		a.answerRequests()
		for a.execute() {
		}
	}
}

// execute carries out the effects of the shard and reports whether there were any.
func (a *advisedShard) execute() bool {
	requests, starts, polls, stops := takeEffects[RequestAdvice](a.h), takeEffects[StartRun](a.h), takeEffects[PollWorker](a.h), takeEffects[StopRun](a.h)
	for _, r := range requests {
		a.receive(r)
	}
	for _, o := range starts {
		a.start(o)
	}
	for _, o := range stops {
		a.endRun(o.Worker.ID, o.Task, specifier.OutcomeStopped)
		a.h.feed(StopAnswered{Worker: o.Worker.ID, Incarnation: 1, Task: o.Task, Run: o.Run})
	}
	for _, o := range polls {
		a.polls = append(a.polls, fakePoll{o, a.h.now.Add(min(max(o.Wait, adviceStep), maxPollTime))})
	}
	a.h.effects = nil
	return len(requests)+len(starts) > 0
}

// receive adds a request to those that the adviser handles in turn.
func (a *advisedShard) receive(r RequestAdvice) {
	job := a.h.jobs[r.Step.Job]
	if len(a.requests) >= maxAdviceRequests {
		a.t.Fatalf("%d requests wait at the adviser", len(a.requests)+1)
	}
	f := &fakeRequest{RequestAdvice: r, queue: job.queue}
	a.mostNamed = max(a.mostNamed, len(r.Workers))
	took := f.queue.Advice.CallTime(len(r.Workers))
	f.delayedAt = a.h.now.Add(delayFactor * (took + time.Second))
	if a.slowdown > 0 {
		took = time.Duration(a.slowdown * float64(took))
	}
	if a.lost > 0 {
		a.lost--
		f.isLost = true
		took = 0
	}
	if a.freeAt.Before(a.h.now) {
		a.freeAt = a.h.now
	}
	a.freeAt = a.freeAt.Add(took)
	f.endsAt = a.freeAt
	a.requests = append(a.requests, f)
}

// answerRequests delivers the answers that are due.
func (a *advisedShard) answerRequests() {
	for _, f := range slices.Clone(a.requests) {
		switch {
		case !f.delayedAt.IsZero() && !a.h.now.Before(f.delayedAt):
			f.delayedAt = time.Time{}
			a.h.feed(AdviceDelayed{Number: f.Number})
		case !f.isLost && !a.h.now.Before(f.endsAt):
			a.requests = slices.DeleteFunc(a.requests, func(other *fakeRequest) bool { return other == f })
			a.h.feed(a.judge(f))
		}
	}
}

// judge returns the answer to a request.
func (a *advisedShard) judge(f *fakeRequest) AdviceAnswered {
	answer := AdviceAnswered{Number: f.Number, Step: f.Step, Requested: f.Workers, Validity: f.queue.Advice.Validity}
	for _, w := range f.Workers {
		if a.refused[w.ID] {
			continue
		}
		text := fmt.Sprintf("%s/%s/%d", f.Step.StepID(), w.ID, f.Number)
		a.tickets[text] = f.endsAt.Add(answer.Validity)
		answer.Tickets = append(answer.Tickets, Ticket{Worker: w.ID, Text: text})
	}
	return answer
}

// start starts a run if its ticket is valid.
func (a *advisedShard) start(o StartRun) {
	answer := StartAnswered{Worker: o.Worker.ID, Incarnation: 1, Task: o.Task, Run: o.Run}
	if !a.h.now.Before(a.tickets[o.Ticket]) {
		a.rejected++
		answer.Fault = InvalidTicket
		a.h.feed(answer)
		return
	}
	run := specifier.Run{Task: o.Task, Number: o.Run, ProgressPercent: 10}
	a.active[o.Worker.ID][o.Task] = run
	a.starts[o.Task] = a.h.now
	a.ends = append(a.ends, fakeEnd{a.h.now.Add(advisedRun), o.Worker.ID, run})
	a.h.feed(answer)
}

// endRuns ends the finite runs that are done.
func (a *advisedShard) endRuns() {
	a.ends = slices.DeleteFunc(a.ends, func(e fakeEnd) bool {
		if a.h.now.Before(e.at) {
			return false
		}
		if j := a.h.jobs[e.run.Task.Job]; j != nil && j.spec.Steps[0].LongRunning {
			return true
		}
		a.endRun(e.worker, e.run.Task, specifier.OutcomeDone)
		return true
	})
}

// endRun ends a run if the worker has it.
func (a *advisedShard) endRun(worker string, task specifier.TaskID, outcome specifier.Outcome) {
	run, ok := a.active[worker][task]
	if !ok {
		return
	}
	delete(a.active[worker], task)
	a.lastEnd[worker]++
	a.listed[worker] = append(a.listed[worker], specifier.End{
		Number: a.lastEnd[worker], Task: task, Run: run.Number, Outcome: outcome,
	})
}

// answerPolls answers the polls that are due.
func (a *advisedShard) answerPolls() {
	due := slices.Clone(a.polls)
	a.polls = slices.DeleteFunc(a.polls, func(p fakePoll) bool { return !a.h.now.Before(p.at) })
	for _, p := range due {
		if !a.h.now.Before(p.at) {
			a.answerPoll(p.PollWorker)
		}
	}
}

func (a *advisedShard) answerPoll(o PollWorker) {
	id := o.Worker.ID
	a.listed[id] = slices.DeleteFunc(a.listed[id], func(e specifier.End) bool { return e.Number <= o.Acknowledged })
	inventory := specifier.Inventory{Incarnation: 1, Clock: time.Minute + a.h.now.Sub(epoch), Ended: slices.Clone(a.listed[id])}
	for _, task := range slices.SortedFunc(maps.Keys(a.active[id]), compareTasks) {
		inventory.Active = append(inventory.Active, a.active[id][task])
	}
	a.h.feed(PollAnswered{Worker: id, Sent: a.h.now, Inventory: inventory})
}

// advisedQueue returns a queue that needs advice.
func advisedQueue(name string, request, each, validity time.Duration) specifier.Queue {
	return specifier.Queue{
		Name: name, Slack: 2, Attempts: 2, Completion: 5 * time.Second,
		Advice: specifier.Advice{Needed: true, RequestTime: request, PerWorkerTime: each, Validity: validity},
	}
}

// largeWorkers has the workers' capacity raised, so that room is never scarce.
func (a *advisedShard) largeWorkers() {
	var list []specifier.Worker
	for _, w := range a.h.sortedWorkers {
		reg := w.reg
		reg.Capacity = describer.Resources{CPU: 64000, Memory: 256000}
		list = append(list, reg)
	}
	a.h.feed(WorkersListed{Workers: list})
}
