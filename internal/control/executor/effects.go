package executor

import (
	"context"
	"errors"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// carryOut begins an effect without waiting for its outcome. Calls are added to
// inFlight.
func (e *Executor) carryOut(ctx context.Context, inFlight *sync.WaitGroup, effect reducer.Effect) {
	switch f := effect.(type) {
	case reducer.Reply:
		e.deliver(f)
	case reducer.PublishRoutingTable:
		e.options.Publish(f.Table)
	case reducer.StartTask:
		e.call(ctx, inFlight, func(ctx context.Context) reducer.Event { return e.start(ctx, f) })
	case reducer.StopTask:
		e.call(ctx, inFlight, func(ctx context.Context) reducer.Event { return e.stopTask(ctx, f) })
	case reducer.ThrottleTask:
		e.call(ctx, inFlight, func(ctx context.Context) reducer.Event { return e.throttle(ctx, f) })
	case reducer.SyncWorker:
		e.call(ctx, inFlight, func(ctx context.Context) reducer.Event { return e.sync(ctx, f) })
	case reducer.ProposeDrainUpdate:
		e.call(ctx, inFlight, func(ctx context.Context) reducer.Event { return e.propose(ctx, f) })
	default:
		if !e.options.Ledger.Do(effect) {
			e.options.Log.Error().Type("effect", effect).Msg("effect type not handled")
		}
	}
}

// call runs one call in its own goroutine, with a timeout and at most MaxCalls at
// a time, and sends its outcome to the control goroutine.
func (e *Executor) call(ctx context.Context, inFlight *sync.WaitGroup, do func(context.Context) reducer.Event) {
	inFlight.Go(func() {
		select {
		case e.calls <- struct{}{}:
		case <-ctx.Done():
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, e.options.Timeout)
		event := do(callCtx)
		cancel()
		<-e.calls
		if event == nil {
			return
		}
		select {
		case e.inbox <- event:
		case <-ctx.Done():
		}
	})
}

// start asks a worker to start a run.
func (e *Executor) start(ctx context.Context, f reducer.StartTask) reducer.Event {
	answer := reducer.StartAnswered{
		Shard: f.Shard, Epoch: f.Epoch, Worker: f.Worker, Task: f.Start.Task, Token: f.Start.Token, Verdict: classifier.Ran,
	}
	if err := e.options.Worker.Start(ctx, f.Address, f.Start); err != nil {
		answer.Verdict = classifier.VerdictOf(err)
		answer.Err = err.Error()
		e.options.Log.Info().Err(err).Stringer("task", f.Start.Task).Str("worker", f.Worker).Msg("task start failed")
	}
	return answer
}

// stopTask asks a worker to stop a run.
func (e *Executor) stopTask(ctx context.Context, f reducer.StopTask) reducer.Event {
	answer := reducer.StopAnswered{
		Shard: f.Shard, Epoch: f.Epoch, Worker: f.Worker, Task: f.Stop.Task, Token: f.Stop.Token,
	}
	stopped, err := e.options.Worker.Stop(ctx, f.Address, f.Stop)
	if err != nil {
		answer.Err = err.Error()
		return answer
	}
	answer.Stopped = stopped
	return answer
}

// throttle asks a worker to change the processor grant of a run. It has no
// outcome event, since the inventories show the grant in effect.
func (e *Executor) throttle(ctx context.Context, f reducer.ThrottleTask) reducer.Event {
	if err := e.options.Worker.Throttle(ctx, f.Address, f.Throttle); err != nil {
		e.options.Log.Info().Err(err).Stringer("task", f.Throttle.Task).Str("worker", f.Worker).Msg("task throttling failed")
	}
	return nil
}

// sync renews the leases of a worker's runs and fetches its inventory.
func (e *Executor) sync(ctx context.Context, f reducer.SyncWorker) reducer.Event {
	sentAt := time.Now()
	synced, err := e.options.Worker.Sync(ctx, f.Address, f.Sync)
	if err != nil {
		return reducer.WorkerSyncFailed{
			Shard: f.Sync.Shard, Epoch: f.Sync.Epoch, Worker: f.Worker, Fenced: errors.Is(err, runner.ErrFenced),
		}
	}
	return reducer.WorkerSynced{
		Shard: f.Sync.Shard, Epoch: f.Sync.Epoch, Worker: f.Worker, SentAt: sentAt, Synced: synced,
	}
}

// propose asks for a change of a drain in the configuration.
func (e *Executor) propose(ctx context.Context, f reducer.ProposeDrainUpdate) reducer.Event {
	err := e.options.Propose(ctx, f)
	if err != nil {
		e.options.Log.Info().Err(err).Str("drain", f.Drain).Msg("drain update failed")
	}
	return reducer.DrainUpdateAnswered{Drain: f.Drain, Worker: f.Worker, OK: err == nil}
}
