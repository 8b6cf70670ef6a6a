// Package executor runs the control plane: it feeds events to the reducer and
// carries out the effects.
//
// # Model
//
// One goroutine owns the [reducer.State]. Everything else, such as a call to a
// worker, runs in goroutines of its own and reports back by [Executor.Post].
// [Executor.Ask] turns an event with a reply into a call:
//
//	reply, err := e.Ask(ctx, func(id reducer.RequestID) reducer.Event {
//		return reducer.Inquired{Request: id, Job: "wave-7"}
//	})
package executor

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// inboxSize is the number of events that may wait for the control goroutine.
const inboxSize = 4096

// Ledger carries out Claim, Release, Append and SaveSnapshot without blocking
// and answers with events. It returns false for other effects.
type Ledger interface {
	Do(effect reducer.Effect) bool
}

// Options are the surroundings of an Executor.
type Options struct {
	State    *reducer.State
	Ledger   Ledger
	Worker   runner.Worker
	Propose  func(ctx context.Context, p reducer.ProposeDrainUpdate) error
	Publish  func(table *describer.RoutingTable)
	Interval time.Duration // between ticks
	Timeout  time.Duration // of a call to a worker or of a proposal
	MaxCalls int           // to workers at a time
	Scope    tally.Scope
	Log      zerolog.Logger
}

// Executor runs the control goroutine until it is closed.
type Executor struct {
	Done chan struct{} // closed when the control goroutine and all calls have ended

	options Options
	inbox   chan reducer.Event
	calls   chan struct{}
	stop    context.CancelFunc

	mu      sync.Mutex
	lastID  reducer.RequestID
	waiting map[reducer.RequestID]chan reducer.Reply
}

// New starts the control goroutine.
func New(o Options) *Executor {
	ctx, stop := context.WithCancel(context.Background())
	e := &Executor{
		Done:    make(chan struct{}),
		options: o,
		inbox:   make(chan reducer.Event, inboxSize),
		calls:   make(chan struct{}, o.MaxCalls),
		stop:    stop,
		waiting: make(map[reducer.RequestID]chan reducer.Reply),
	}
	var running sync.WaitGroup
	events := o.Scope.Counter("control_events")
	duration := o.Scope.Histogram("control_reduce", tally.MustMakeExponentialDurationBuckets(time.Microsecond, 2, 24))
	reduce := func(event reducer.Event) {
		began := time.Now()
		effects := o.State.Reduce(event)
		duration.RecordDuration(time.Since(began))
		events.Inc(1)
		for _, effect := range effects {
			e.carryOut(ctx, &running, effect)
		}
	}
	go func() {
		defer close(e.Done)
		defer running.Wait()
		ticker := time.NewTicker(o.Interval)
		defer ticker.Stop()
		reduce(reducer.Tick{Now: time.Now()})
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				reduce(reducer.Tick{Now: now})
			case event := <-e.inbox:
				reduce(event)
			}
		}
	}()
	return e
}

// Post hands an event to the control goroutine. It waits while the inbox is
// full and drops the event once the executor is closed.
func (e *Executor) Post(event reducer.Event) {
	select {
	case e.inbox <- event:
	case <-e.Done:
	}
}

// Close stops at once; effects under way are cancelled.
func (e *Executor) Close() {
	e.stop()
	<-e.Done
}

// Ask posts the event made by make and waits for its reply. When ctx ends
// first, the verdict is MayHaveRun.
func (e *Executor) Ask(ctx context.Context, make func(reducer.RequestID) reducer.Event) (reducer.Reply, error) {
	id, answer := e.register()
	defer e.forget(id)
	select {
	case e.inbox <- make(id):
	case <-ctx.Done():
		return reducer.Reply{}, &classifier.Error{
			Verdict: classifier.NotRun, Status: 503, Code: "busy", Message: "control is busy", RetryAfter: time.Second, Err: ctx.Err(),
		}
	case <-e.Done:
		return reducer.Reply{}, &classifier.Error{
			Verdict: classifier.NotRun, Status: 503, Code: "stopping", Message: "daemon is stopping", RetryAfter: time.Second,
		}
	}
	select {
	case reply := <-answer:
		if reply.Err != nil {
			return reply, reply.Err
		}
		return reply, nil
	case <-ctx.Done():
	case <-e.Done:
	}
	return reducer.Reply{}, &classifier.Error{
		Verdict: classifier.MayHaveRun, Status: 504, Code: "timeout", Message: "no answer from control in time", RetryAfter: time.Second, Err: ctx.Err(),
	}
}

func (e *Executor) register() (reducer.RequestID, chan reducer.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	answer := make(chan reducer.Reply, 1)
	e.waiting[e.lastID] = answer
	return e.lastID, answer
}

func (e *Executor) forget(id reducer.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, id)
}

func (e *Executor) answer(reply reducer.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if waiting, ok := e.waiting[reply.Request]; ok {
		waiting <- reply
		delete(e.waiting, reply.Request)
	}
}
