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

// ownedShard executes the effects of the state machine of an owned shard.
type ownedShard struct {
	manager       *Manager
	spec          shardSpec
	startedAt     time.Time // when the shard was started
	fence         *fencer.Fence
	log           zerolog.Logger
	inbox         chan dispatcher.Event
	initialEvents []dispatcher.Event // applied before any from the inbox
	revision      int64              // store revision at which the jobs were read
	stop          chan struct{}      // closed to end run
	done          chan struct{}      // closed when run has returned
	stopOnce      sync.Once          // guards closing stop
	calls         sync.WaitGroup     // goroutines started by run
	resigns       bool               // resign follows after run; set before stop is closed
	lastLoad      recorder.Load      // load summary that was last published
	publishedAt   time.Time          // when it was published
	publisher     publisher

	suspension suspension

	moved       []movedJob // jobs that other shards may not count yet; guarded by Manager.mu
	members     shardSpec  // spec with the racks that were added; guarded by Manager.mu
	recordLease int64      // store lease of the owner record; 0 once the lease has ended; guarded by Manager.mu

	mu    sync.Mutex // guards state
	state *dispatcher.Shard
}

// newOwnedShard returns a claimed shard that isn't started yet. Its jobs were
// read at the given revision of the store, by a request that was sent at readAt: no other
// daemon had claimed the shard by then.
func newOwnedShard(m *Manager, spec shardSpec, fence *fencer.Fence, revision int64, readAt time.Time) *ownedShard {
	o := &ownedShard{
		manager: m, spec: spec, members: spec, fence: fence, revision: revision,
		log:   m.options.Log.With().Str("part", "shard").Str("shard", spec.Name).Logger(),
		inbox: make(chan dispatcher.Event, inboxSize),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	o.state = dispatcher.New(dispatcher.Options{
		Name: spec.Name, Service: spec.service, Domain: spec.Domain, Divided: spec.divided,
		Epoch: fence.Epoch, Previous: fence.Previous, Claimed: fence.Claimed, Released: fence.Released, WorkerLeases: fence.WorkerLeases,
		RecordTTL: recordTTL(fence, m.options.TTL), OwnerEnded: fence.OwnerEnded, EarlierKnown: fence.EarlierKnown,
		Lease:       min(workerLease, m.options.MaxLease),
		MaxLease:    m.options.MaxLease,
		OutageLimit: outageLimit,
		PollWait:    pollWait,
		ClockError:  m.options.ClockError,
		RoomNotice:  m.options.RoomNotice,

		Reservations: m.options.Reservations,
		RunTimes:     m.learnedRunTimes(),

		MaxCancellationAge: maxCancellationAge(m.options.CancellationNotice),
		MaxEvacuationAge:   m.evacuations.maxAge,
	}, readAt)
	return o
}

// recordTTL returns dispatcher.Options.RecordTTL of a claimed shard. All daemons have the same ttl.
func recordTTL(fence *fencer.Fence, ttl time.Duration) time.Duration {
	if fence.RecordExpired {
		return ttl
	}
	return 0
}

// post queues an event for the shard. After the shard has ended, events are
// dropped.
func (o *ownedShard) post(event dispatcher.Event) {
	select {
	case o.inbox <- event:
	case <-o.stop:
	}
}

func (o *ownedShard) jobState(id string) (specifier.State, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.JobState(id)
}

// run feeds events to the state machine until the shard is released or lost, or
// ctx ends.
func (o *ownedShard) run(ctx context.Context) {
	defer close(o.done)
	defer o.stopOnce.Do(func() { close(o.stop) })
	ctx, cancel := context.WithCancel(ctx)
	defer o.calls.Wait()
	defer cancel()
	o.calls.Go(func() { o.followJobs(ctx) })
	o.reduce(ctx, o.initialEvents...)
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

// drain returns the event and all events queued behind it.
func (o *ownedShard) drain(event dispatcher.Event) []dispatcher.Event {
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

// reduce applies events to the state machine and executes the effects. After a
// suspension of the host the ownership counts as unconfirmed.
func (o *ownedShard) reduce(ctx context.Context, events ...dispatcher.Event) {
	if o.suspension.occurred() {
		o.log.Warn().Msg("host suspension detected, ownership unconfirmed")
		o.manager.evacuations.invalidate(time.Now())
		events = append([]dispatcher.Event{dispatcher.OwnershipChecked{Confirmed: false}, dispatcher.EvacuationsOutdated{}}, events...)
		o.manager.lease.Poke()
	}
	began := time.Now()
	o.mu.Lock()
	effects := o.state.Reduce(began, events...)
	o.mu.Unlock()
	o.manager.metrics.reduce.RecordDuration(time.Since(began))
	for _, effect := range effects {
		o.execute(ctx, effect)
	}
}

// giveUp ends the shard, because another daemon owns it now or may own it soon.
func (o *ownedShard) giveUp(reason string) {
	o.end(reason, true)
}

// giveUpIfFenced ends the shard if the error says that another owner has claimed it.
func (o *ownedShard) giveUpIfFenced(err error) {
	if errors.Is(err, fencer.ErrFenced) {
		o.giveUp("another owner has claimed the shard")
	}
}

// end ends the shard. resigns says whether the next owner has to be told about leases.
func (o *ownedShard) end(reason string, resigns bool) {
	o.stopOnce.Do(func() {
		o.resigns = resigns
		close(o.stop)
		o.manager.removeShard(o, reason)
	})
}

// release ends the shard and removes its owner record, so that another daemon
// can claim it at once. It reports whether that is known to have succeeded.
func (o *ownedShard) release(ctx context.Context, reason string) bool {
	o.end(reason, false)
	<-o.done
	leases := o.state.WorkerLeases(time.Now())
	limited, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := o.fence.Release(limited, recorder.OwnerKey(o.spec.Name), leases)
	o.manager.logRelease(o.fence, err)
	return err == nil
}

// followJobs watches the shard's prefix for new jobs, transferred tasks,
// cancellations and claims until ctx ends.
func (o *ownedShard) followJobs(ctx context.Context) {
	w := prefixWatcher{
		manager: o.manager, prefix: recorder.ShardPrefix(o.spec.Name), isListed: true, revision: o.revision,
		wait: cancellationWait(o.manager.options.CancellationNotice),
	}
	w.run(ctx, func(items []storer.Item, complete bool) {
		if complete {
			if err := o.checkClaim(ctx); err != nil {
				o.giveUpIfFenced(err)
				return
			}
		}
		for _, item := range items {
			if item.Deleted {
				continue
			}
			if o.isOtherClaim(item) {
				o.giveUp("another owner has claimed the shard")
				return
			}
			if item.Key == recorder.ClaimKey(o.spec.Name) {
				continue
			}
			event, err := o.decode(item)
			if err != nil {
				o.log.Error().Err(err).Str("key", item.Key).Msg("record decoding failed")
				continue
			}
			o.post(event)
		}
		o.post(dispatcher.CancellationsRead{At: w.sentAt, Revision: w.revision})
	})
}

// decode converts a record below the shard's prefix into an event.
func (o *ownedShard) decode(item storer.Item) (dispatcher.Event, error) {
	kind, id := recorder.ParseShardKey(o.spec.Name, item.Key)
	switch kind {
	case recorder.CancelRecord:
		var cancellation recorder.Cancellation
		err := recorder.Decode(item.Value, &cancellation)
		if err != nil {
			// The key alone says that the job is cancelled.
			o.log.Warn().Err(err).Str("key", item.Key).Msg("record decoding failed")
		}
		return dispatcher.JobCancelled{ID: id, Received: cancellation.Received}, nil
	case recorder.JobRecord:
		var job specifier.Job
		err := recorder.Decode(item.Value, &job)
		return dispatcher.JobArrived{Job: job}, err
	case recorder.TransferRecord:
		return decodeTransfer(id, item)
	}
	return nil, fmt.Errorf("%w %q", errUnknownKey, item.Key)
}

// errUnknownKey is returned for a key that this version doesn't know.
var errUnknownKey = errors.New("manager: unexpected key")

// decodeTransfer converts the transfer record of a task into an event.
func decodeTransfer(id string, item storer.Item) (dispatcher.Event, error) {
	task, err := specifier.ParseTaskID(id)
	if err != nil {
		return nil, fmt.Errorf("%w %q: %w", errUnknownKey, item.Key, err)
	}
	var transfer recorder.Transfer
	err = recorder.Decode(item.Value, &transfer)
	return dispatcher.TaskArrived{Task: task, Transfer: transfer}, err
}

// execute performs one effect. Calls to workers and the store run in their own
// goroutines.
func (o *ownedShard) execute(ctx context.Context, effect dispatcher.Effect) {
	switch e := effect.(type) {
	case dispatcher.Log:
		o.writeLog(e)
	case dispatcher.Resign:
		o.giveUp("worker " + e.Worker + " has seen a higher fencing token")
	case dispatcher.Publish:
		o.publish(ctx, e.Load)
	case dispatcher.RunsLost:
		o.manager.metrics.countLostRuns(e)
	case dispatcher.ReportReservations:
		o.manager.metrics.countReservations(e)
	case dispatcher.DuplicateStarted:
		o.manager.metrics.startedDuplicates.Inc(1)
	case dispatcher.DuplicateWon:
		o.manager.metrics.wonDuplicates.Inc(1)
	case dispatcher.ReportWaiting:
		o.calls.Go(func() { o.reportWaiting(e.Waits) })
	case dispatcher.RequestAdvice:
		o.calls.Go(func() { o.requestAdvice(ctx, e) })
	case dispatcher.Commit:
		o.calls.Go(func() { o.commit(ctx, e) })
	case dispatcher.FindShard:
		o.calls.Go(func() { o.post(o.manager.findShard(o.spec, e)) })
	case dispatcher.RequestBalance:
		o.calls.Go(func() { o.post(o.manager.planBalance(o.spec, e)) })
	case dispatcher.ReportBalance:
		o.reportBalance(e)
	case dispatcher.AnnounceInherited:
		o.calls.Go(func() { o.announce(ctx, e.Resignation) })
	case dispatcher.MoveJob:
		o.calls.Go(func() { o.moveJob(ctx, e) })
	default:
		o.calls.Go(func() { o.callWorker(ctx, effect) })
	}
}

// callWorker sends an order to a worker and posts the outcome.
func (o *ownedShard) callWorker(ctx context.Context, effect dispatcher.Effect) {
	token := o.fence.Token
	switch e := effect.(type) {
	case dispatcher.StartRun:
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		began := time.Now()
		fault := o.start(limited, e)
		o.manager.metrics.starts.RecordDuration(time.Since(began))
		o.manager.metrics.countOrder("start", fault)
		o.post(dispatcher.StartAnswered{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: fault})
	case dispatcher.StopRun:
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		fault := o.manager.workers.Stop(limited, token, e)
		o.manager.metrics.countOrder("stop", fault)
		o.post(dispatcher.StopAnswered{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Task: e.Task, Run: e.Run, Fault: fault})
	case dispatcher.PaceRun:
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		fault := o.manager.workers.Pace(limited, token, e)
		o.manager.metrics.countOrder("pace", fault)
		o.post(dispatcher.PaceAnswered{Worker: e.Worker.ID, Task: e.Task, Run: e.Run, Fault: fault})
	case dispatcher.PollWorker:
		limited, cancel := context.WithTimeout(ctx, callTimeout+e.Wait)
		defer cancel()
		sent := time.Now()
		inventory, fault := o.manager.workers.Poll(limited, token, e)
		o.manager.metrics.countOrder("hold", fault)
		if e.Wait == 0 {
			o.manager.metrics.polls.RecordDuration(time.Since(sent))
		}
		if fault == dispatcher.NoFault {
			o.post(dispatcher.PollAnswered{Worker: e.Worker.ID, Sent: sent, Inventory: inventory})
			return
		}
		o.post(dispatcher.PollFailed{Worker: e.Worker.ID, Incarnation: e.Worker.Incarnation, Fault: fault})
	}
}

// writeLog writes a log line of the state machine.
func (o *ownedShard) writeLog(e dispatcher.Log) {
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
