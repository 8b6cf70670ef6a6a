package manager

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/fencer"
)

// owned is a shard that this daemon owns.
type owned struct {
	m      *Manager
	target target
	fence  *fencer.Fence
	log    zerolog.Logger
	inbox  chan dispatcher.Event
	first  []dispatcher.Event // before any other
	after  int64              // revision that the jobs were read at
	stop   chan struct{}      // closed when the shard is to end
	done   chan struct{}      // closed when run has ended
	ending sync.Once
	calls  sync.WaitGroup
	last   recorder.Load // as published

	suspension suspension

	mu    sync.Mutex // guards state
	state *dispatcher.Shard
}

func newOwned(m *Manager, t target, fence *fencer.Fence, after int64) *owned {
	o := &owned{
		m: m, target: t, fence: fence, after: after,
		log:   m.options.Log.With().Str("part", "shard").Str("shard", t.name).Logger(),
		inbox: make(chan dispatcher.Event, inboxSize),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	o.state = dispatcher.New(dispatcher.Options{
		Name: t.name, Service: t.service, Domain: t.domain,
		Epoch: fence.Epoch, Workers: fence.Workers, Released: fence.Released, WorkerLeases: fence.Leftovers,
		Lease:       min(workerLease, m.options.MaxLease),
		OutageLimit: outageLimit,
		PollWait:    holdWait,
		ClockError:  m.options.ClockError,
	}, time.Now())
	return o
}

// post hands an event to the shard; it is dropped once the shard has ended.
func (o *owned) post(event dispatcher.Event) {
	select {
	case o.inbox <- event:
	case <-o.stop:
	}
}

func (o *owned) jobState(id string) (specifier.State, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.JobState(id)
}

// run feeds the state until the shard is lost or ctx ends.
func (o *owned) run(ctx context.Context) {
	defer close(o.done)
	defer o.ending.Do(func() { close(o.stop) })
	ctx, cancel := context.WithCancel(ctx)
	defer o.calls.Wait()
	defer cancel()
	o.calls.Go(func() { o.followJobs(ctx) })
	o.reduce(ctx, o.first...)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-o.inbox:
			o.reduce(ctx, o.drain(event)...)
		case <-ticker.C:
			o.reduce(ctx, dispatcher.Tick{})
		case <-o.stop:
			return
		case <-ctx.Done():
			return
		}
	}
}

// drain returns the event with those that wait behind it.
func (o *owned) drain(event dispatcher.Event) []dispatcher.Event {
	events := []dispatcher.Event{event}
	for {
		select {
		case event := <-o.inbox:
			events = append(events, event)
		default:
			return events
		}
	}
}

func (o *owned) reduce(ctx context.Context, events ...dispatcher.Event) {
	if o.suspension.hasPassed() {
		o.log.Warn().Msg("host was suspended, ownership is in doubt")
		events = append([]dispatcher.Event{dispatcher.OwnershipChecked{Confirmed: false}}, events...)
		o.m.lease.Poke()
	}
	began := time.Now()
	o.mu.Lock()
	effects := o.state.Reduce(began, events...)
	o.mu.Unlock()
	o.m.metrics.reduce.RecordDuration(time.Since(began))
	for _, effect := range effects {
		o.carryOut(ctx, effect)
	}
}

// lose ends a shard that has another owner.
func (o *owned) lose(reason string) {
	o.ending.Do(func() {
		close(o.stop)
		o.m.drop(o, reason)
	})
}

// release ends the shard and lets another daemon claim it at once.
func (o *owned) release(ctx context.Context) {
	o.lose("planned stop")
	<-o.done
	left := o.state.WorkerLeases(time.Now())
	limited, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	o.m.noteRelease(o.fence, o.fence.Release(limited, recorder.OwnerKey(o.target.name), left))
}

// followJobs posts new jobs and cancellations until ctx ends.
func (o *owned) followJobs(ctx context.Context) {
	f := follower{m: o.m, prefix: recorder.ShardPrefix(o.target.name), listed: true, after: o.after}
	f.run(ctx, func(items []storer.Item, _ bool) {
		for _, item := range items {
			if item.Deleted {
				continue
			}
			if o.isReplaced(item) {
				o.lose("another owner has claimed it")
				return
			}
			if item.Key == recorder.ClaimKey(o.target.name) {
				continue
			}
			event, err := o.decode(item)
			if err != nil {
				o.log.Error().Err(err).Str("key", item.Key).Msg("record unreadable, left alone")
				continue
			}
			o.post(event)
		}
	})
}

// isReplaced reports whether an item is the claim of another owner. Jobs that
// come after it are that owner's.
func (o *owned) isReplaced(item storer.Item) bool {
	if item.Key != recorder.ClaimKey(o.target.name) {
		return false
	}
	var claim recorder.Claim
	if err := recorder.Decode(item.Value, &claim); err != nil {
		o.log.Error().Err(err).Msg("claim unreadable")
		return true
	}
	return claim.Daemon != o.fence.Daemon || claim.Epoch != o.fence.Epoch
}

// decode reads a record below the shard's prefix.
func (o *owned) decode(item storer.Item) (dispatcher.Event, error) {
	id, isCancel, ok := recorder.ParseShardKey(o.target.name, item.Key)
	if !ok {
		return nil, fmt.Errorf("manager: unexpected key %q", item.Key)
	}
	if isCancel {
		return dispatcher.JobCancelled{ID: id}, nil
	}
	var job specifier.Job
	err := recorder.Decode(item.Value, &job)
	return dispatcher.JobArrived{Job: job}, err
}

// carryOut does one effect. Calls run on their own.
func (o *owned) carryOut(ctx context.Context, effect dispatcher.Effect) {
	switch e := effect.(type) {
	case dispatcher.Log:
		o.write(e)
	case dispatcher.Resign:
		o.lose("worker " + e.Worker + " has seen a later owner")
	case dispatcher.Publish:
		o.publish(ctx, e.Load)
	case dispatcher.AskAdvice:
		o.calls.Go(func() { o.post(o.m.advise(ctx, e)) })
	case dispatcher.Commit:
		o.calls.Go(func() { o.commit(ctx, e) })
	case dispatcher.MoveJob:
		o.calls.Go(func() { o.move(ctx, e) })
	default:
		o.calls.Go(func() { o.call(ctx, effect) })
	}
}

// advise asks the adviser when it is this call's turn.
func (m *Manager) advise(ctx context.Context, e dispatcher.AskAdvice) dispatcher.AdviceAnswered {
	failed := dispatcher.AdviceAnswered{Step: e.Step, Failed: true}
	if m.options.Adviser == nil {
		return failed
	}
	select {
	case m.advising <- struct{}{}:
	case <-ctx.Done():
		return failed
	}
	defer func() { <-m.advising }()
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.options.Adviser.Advise(limited, e)
}

// call carries out an order to a worker.
func (o *owned) call(ctx context.Context, effect dispatcher.Effect) {
	token := o.fence.Token
	switch e := effect.(type) {
	case dispatcher.StartRun:
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		began := time.Now()
		fault := o.m.workers.Start(limited, token, e)
		o.m.metrics.starts.RecordDuration(time.Since(began))
		o.m.metrics.fault("start", fault)
		o.post(dispatcher.StartAnswered{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: fault})
	case dispatcher.StopRun:
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		fault := o.m.workers.Stop(limited, token, e)
		o.m.metrics.fault("stop", fault)
		o.post(dispatcher.StopAnswered{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: fault})
	case dispatcher.PaceRun:
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		fault := o.m.workers.Pace(limited, token, e)
		o.m.metrics.fault("pace", fault)
		o.post(dispatcher.PaceAnswered{Worker: e.Worker.ID, Task: e.Task, Run: e.Run, Fault: fault})
	case dispatcher.PollWorker:
		limited, cancel := context.WithTimeout(ctx, callTimeout+e.Wait)
		defer cancel()
		sent := time.Now()
		inventory, fault := o.m.workers.Poll(limited, token, e)
		o.m.metrics.fault("hold", fault)
		if e.Wait == 0 {
			o.m.metrics.holds.RecordDuration(time.Since(sent))
		}
		if fault == dispatcher.NoFault {
			o.post(dispatcher.PollAnswered{Worker: e.Worker.ID, Sent: sent, Inventory: inventory})
			return
		}
		o.post(dispatcher.PollFailed{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Fault: fault})
	}
}

// commit makes changes durable; it goes on until that is certain.
func (o *owned) commit(ctx context.Context, e dispatcher.Commit) {
	var puts []storer.Write
	var removes []string
	shard := o.target.name
	for _, change := range e.Changes {
		entry := recorder.IndexEntry{Shard: shard, Queue: change.Queue, State: change.State}
		if change.State.IsFinal() {
			entry.Ended = time.Now()
			removes = append(removes,
				recorder.JobKey(shard, change.ID), recorder.CancelKey(shard, change.ID), recorder.ProgressKey(shard, change.ID))
		} else {
			puts = append(puts, storer.Write{Key: recorder.ProgressKey(shard, change.ID), Value: recorder.Encode(change.Progress)})
		}
		puts = append(puts, storer.Write{Key: recorder.IndexKey(change.ID), Value: recorder.Encode(entry)})
	}
	began := time.Now()
	err := o.fence.Write(ctx, e.Workers, puts, removes)
	o.m.metrics.writes.RecordDuration(time.Since(began))
	switch {
	case err == nil:
		o.m.reached()
		o.post(dispatcher.Committed{Batch: e.Batch})
	case errors.Is(err, fencer.ErrFenced):
		o.lose("another owner has written")
	case ctx.Err() == nil:
		o.lose("a write failed: " + err.Error())
	}
}

// publish replaces the load summary in the store, if it says something new.
func (o *owned) publish(ctx context.Context, load recorder.Load) {
	made := load.MadeAt
	load.MadeAt = o.last.MadeAt
	if string(recorder.Encode(load)) == string(recorder.Encode(o.last)) {
		return
	}
	load.MadeAt = made
	o.last = load
	line := o.log.Info().Int("workers", load.Workers).Int64("free", load.Free.CPU).Int64("turning", load.FiniteCPU).
		Int64("unused", load.UnusedCPU).Int64("fillers", load.FillerCPU).Int64("lasting", load.LastingCPU).Int64("limit", load.LastingLimit)
	for _, b := range load.Backlog {
		line = line.Int64(fmt.Sprintf("backlog%d", b.Priority), b.FiniteWork).Int64(fmt.Sprintf("fillers%d", b.Priority), b.FillerWork)
	}
	line.Msg("load")
	o.calls.Go(func() {
		o.m.takeLoad(o.target.name, load)
		o.m.metrics.load(o.target.name, load)
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := o.m.store.Commit(limited, storer.Transaction{
			Put: []storer.Write{{Key: recorder.LoadKey(o.target.name), Value: recorder.Encode(load)}},
		})
		if err != nil {
			o.log.Warn().Err(err).Msg("load not published")
		}
	})
}

// takeLoad takes in the load of a shard that is owned here.
func (m *Manager) takeLoad(shard string, load recorder.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.view.Shards[shard]
	s.Load, s.LoadReceived = load, time.Now()
	m.view.Shards[shard] = s
}

func (o *owned) write(e dispatcher.Log) {
	line := o.log.Info()
	for _, f := range [...]struct{ key, value string }{
		{"job", e.Job}, {"task", e.Task}, {"worker", e.Worker}, {"reason", e.Reason},
	} {
		if f.value != "" {
			line = line.Str(f.key, f.value)
		}
	}
	if e.Run != 0 {
		line = line.Int64("run", e.Run)
	}
	if e.Age != 0 {
		line = line.Dur("age", e.Age)
	}
	line.Msg(e.Message)
}
