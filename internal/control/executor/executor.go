// Package executor runs the control plane of a daemon: it passes events to the
// reducer and carries out the effects that the reducer returns.
//
// # Model
//
// One goroutine owns the [reducer.State]. All I/O, such as a call to a worker,
// runs in other goroutines, which report the outcome as an event. [Executor.Ask]
// turns an event that has a reply into a blocking call:
//
//	reply, err := e.Ask(ctx, func(id reducer.RequestID) reducer.Event {
//		return reducer.JobStatusRequested{Request: id, Job: "wave-7"}
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

// inboxSize is the maximum number of events that wait for the control goroutine.
const inboxSize = 4096

// Ledger carries out the effects on the durable ledgers of shards.
type Ledger interface {
	// Do carries out a ClaimShard, ReleaseShard, AppendRecords or SaveSnapshot
	// effect without blocking, and reports the outcome as an event. It returns
	// false for other effects.
	Do(effect reducer.Effect) bool
}

// Options are the dependencies and parameters of an Executor.
type Options struct {
	State  *reducer.State // owned by the executor from now on
	Ledger Ledger
	Worker runner.Worker
	// Propose changes a drain in the configuration.
	Propose func(ctx context.Context, p reducer.ProposeDrainUpdate) error
	// Publish passes a new routing table to the traffic side. It must not block.
	Publish  func(table *describer.RoutingTable)
	Interval time.Duration // time between ticks
	Timeout  time.Duration // timeout of a call to a worker or to Propose
	MaxCalls int           // maximum number of concurrent calls
	Scope    tally.Scope
	Log      zerolog.Logger
}

// Executor runs the control goroutine until it is closed.
type Executor struct {
	Done chan struct{} // closed when the control goroutine and all calls have ended

	options Options
	inbox   chan reducer.Event
	calls   chan struct{}      // semaphore of MaxCalls
	stop    context.CancelFunc // cancels the control goroutine and all calls

	mu      sync.Mutex // guards the fields below
	lastID  reducer.RequestID
	waiting map[reducer.RequestID]chan reducer.Reply // callers of Ask
}

// New starts the control goroutine. Close ends it.
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
	var inFlight sync.WaitGroup // calls
	events := o.Scope.Counter("control_events")
	duration := o.Scope.Histogram("control_reduce", tally.MustMakeExponentialDurationBuckets(time.Microsecond, 2, 24))
	reduce := func(event reducer.Event) {
		start := time.Now()
		o.State.Observe(start)
		effects := o.State.Reduce(event)
		duration.RecordDuration(time.Since(start))
		events.Inc(1)
		for _, effect := range effects {
			e.carryOut(ctx, &inFlight, effect)
		}
	}
	go func() {
		defer close(e.Done)
		defer inFlight.Wait()
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

// Post sends an event to the control goroutine. It blocks while the inbox is
// full, and drops the event when the executor has been closed.
func (e *Executor) Post(event reducer.Event) {
	select {
	case e.inbox <- event:
	case <-e.Done:
	}
}

// Close stops the control goroutine, cancels the calls in flight and waits for
// them to return.
func (e *Executor) Close() {
	e.stop()
	<-e.Done
}

// Ask sends the event that newEvent returns and waits for its reply. If the reply
// has an error, Ask returns both. If the event could not be sent, the error is a
// *classifier.Error with verdict NotRun. If ctx or the executor ends while Ask
// waits for the reply, the verdict is MayHaveRun.
func (e *Executor) Ask(ctx context.Context, newEvent func(reducer.RequestID) reducer.Event) (reducer.Reply, error) {
	id, replies := e.register()
	defer e.forget(id)
	select {
	case e.inbox <- newEvent(id):
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
	case reply := <-replies:
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

// register returns a new request ID and the channel on which its reply arrives.
func (e *Executor) register() (reducer.RequestID, chan reducer.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	replies := make(chan reducer.Reply, 1)
	e.waiting[e.lastID] = replies
	return e.lastID, replies
}

// forget removes a request that is no longer waited for.
func (e *Executor) forget(id reducer.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, id)
}

// deliver sends a reply to the caller that waits for it, if any.
func (e *Executor) deliver(reply reducer.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if replies, ok := e.waiting[reply.Request]; ok {
		replies <- reply
		delete(e.waiting, reply.Request)
	}
}
