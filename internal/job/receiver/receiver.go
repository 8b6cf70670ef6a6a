// Package receiver accepts jobs from callers and answers their questions, on
// any entry host.
//
// # Model
//
// A job is accepted by one conditional write to the store, whoever owns its
// shard; repeating a submission finds the job's index entry. A refusal means
// that the job was not accepted and never will be by this call; when the
// outcome of the write is not known, the answer says so, and the caller asks
// again.
//
//	r := receiver.New(options, shards, store)
//	if err := r.Submit(ctx, queue, job); err != nil { ... } // *classifier.Error
package receiver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/admitter"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Times of the receiver.
const (
	firstRetry    = 40 * time.Millisecond   // between calls to a store that does not answer
	lastRetry     = 500 * time.Millisecond  // the same, after several
	unavailable   = time.Second             // Retry-After while the store does not answer
	afarDistance  = 60 * time.Millisecond   // added for a shard of another failure domain
	contactLimit  = 2500 * time.Millisecond // without an answer of the store, submissions are refused
	staleView     = 10 * time.Second        // loads older than this say nothing
	acceptTime    = 1200 * time.Millisecond // for the write that accepts a job, with its repetitions
	attemptTime   = 600 * time.Millisecond  // for one of them
	cancelRetries = 20
)

// Shards is what the receiver needs of the manager.
type Shards interface {
	Catalog() *specifier.Catalog
	View() manager.View
	Cancelled(shard, id string)
	JobState(shard, id string) (specifier.State, bool)
	LastContact() time.Time // when the store last answered
}

// Store is the part of the store that the receiver uses.
type Store interface {
	storer.Committer
	Get(ctx context.Context, key string) (storer.Item, error)
}

// Options are what a Receiver needs to know.
type Options struct {
	Domain string // failure domain of this daemon
	Random *rand.Rand
	Scope  tally.Scope
	Log    zerolog.Logger
}

// Receiver accepts jobs. It is safe for concurrent use.
type Receiver struct {
	options Options
	log     zerolog.Logger
	shards  Shards
	store   Store

	mu       sync.Mutex // guards accepted and options.Random
	accepted map[string][]accepted
	failed   time.Time // when the store last did not answer a write
}

// newDelays are the delays between calls to a store that does not answer.
func newDelays() *backoff.ExponentialBackOff {
	d := backoff.NewExponentialBackOff()
	d.InitialInterval = firstRetry
	d.MaxInterval = lastRetry
	return d
}

// New returns a receiver.
func New(o Options, shards Shards, store Store) *Receiver {
	return &Receiver{
		options: o, log: o.Log.With().Str("part", "receiver").Logger(),
		shards: shards, store: store, accepted: make(map[string][]accepted),
	}
}

// Submit accepts a job, or says why not. A job that was accepted before is
// accepted again.
func (r *Receiver) Submit(ctx context.Context, queue specifier.Queue, job specifier.Job) error {
	if err := job.Validate(); err != nil {
		return invalid(err)
	}
	if err := r.checkSizes(queue, &job); err != nil {
		r.log.Info().Err(err).Str("job", job.ID).Msg("job refused")
		return invalid(err)
	}
	job.Queue = queue.Name
	job.Accepted = time.Now()
	if !r.isStoreUp() {
		r.count(queue.Name, "unreachable")
		r.log.Info().Str("job", job.ID).Str("reason", "store not reached").
			Dur("age", time.Since(r.shards.LastContact())).Msg("job refused")
		return r.unreachable(&classifier.Error{Verdict: classifier.NotRun, Code: "store", Message: "not tried"})
	}
	decision := r.admit(queue, &job)
	if !decision.Accepted {
		return r.refuse(ctx, &job, decision)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	revision, err := r.accept(ctx, decision.Shard, &job)
	if err != nil {
		r.count(queue.Name, "unknown")
		r.log.Warn().Err(err).Str("job", job.ID).Msg("job not accepted: store")
		return err
	}
	r.log.Info().Str("job", job.ID).Str("queue", queue.Name).Str("shard", decision.Shard).Bool("fresh", revision > 0).
		Dur("age", decision.Age).Dur("predicted", decision.Predicted).Msg("job accepted")
	r.count(queue.Name, "accepted")
	if revision > 0 {
		r.note(decision.Shard, workOf(queue, &job))
	}
	return nil
}

// invalid is the answer to a fault of a submission.
func invalid(err error) error {
	e := &classifier.Error{Verdict: classifier.NotRun, Status: http.StatusBadRequest, Code: "invalid", Message: err.Error()}
	var field *specifier.FieldError
	if errors.As(err, &field) {
		e.Message, e.Field = field.Reason, field.Field
	}
	return e
}

// isStoreUp reports whether the store has answered lately, and since it last
// did not answer a write.
func (r *Receiver) isStoreUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	contact := r.shards.LastContact()
	return contact.After(r.failed) && time.Since(contact) < contactLimit
}

// noteFailure takes in that the store did not answer a write.
func (r *Receiver) noteFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = time.Now()
}

// count adds to the submissions of a queue with this outcome.
func (r *Receiver) count(queue, outcome string) {
	r.options.Scope.Tagged(map[string]string{"queue": queue, "outcome": outcome}).Counter("submissions").Inc(1)
}

// refuse turns a job away, unless it was accepted before.
func (r *Receiver) refuse(ctx context.Context, job *specifier.Job, d admitter.Decision) error {
	if _, err := r.store.Get(ctx, recorder.IndexKey(job.ID)); !errors.Is(err, storer.ErrNotFound) {
		if err == nil {
			return nil
		}
		return r.unreachable(err)
	}
	r.count(job.Queue, "refused")
	r.log.Info().Str("job", job.ID).Str("queue", job.Queue).Str("reason", d.Reason).Str("shard", d.Shard).
		Dur("age", d.Age).Dur("predicted", d.Predicted).Dur("retry", d.RetryAfter).Msg("job refused")
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusTooManyRequests, Code: "overloaded",
		Message: d.Reason, RetryAfter: d.RetryAfter,
	}
}

func (r *Receiver) unreachable(err error) error {
	verdict, status := classifier.VerdictOf(err), http.StatusServiceUnavailable
	if verdict != classifier.NotRun {
		status = http.StatusGatewayTimeout
	}
	return &classifier.Error{
		Verdict: verdict, Status: status, Code: "store", Message: "the store does not answer",
		RetryAfter: unavailable, Err: err,
	}
}

// accept writes a job and returns the revision of the write, or 0 if the job
// was there before.
func (r *Receiver) accept(ctx context.Context, shard string, job *specifier.Job) (int64, error) {
	entry := recorder.IndexEntry{Shard: shard, Queue: job.Queue, State: specifier.Queued}
	tx := storer.Transaction{
		If: []storer.Condition{{Key: recorder.IndexKey(job.ID)}},
		Put: []storer.Write{
			{Key: recorder.IndexKey(job.ID), Value: recorder.Encode(entry)},
			{Key: recorder.JobKey(shard, job.ID), Value: recorder.Encode(job)},
		},
	}
	uncertain := false
	delays := newDelays()
	for {
		limited, cancel := context.WithTimeout(ctx, attemptTime)
		revision, err := r.store.Commit(limited, tx)
		cancel()
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, storer.ErrConflict):
			return 0, nil
		}
		r.noteFailure()
		uncertain = uncertain || classifier.VerdictOf(err) != classifier.NotRun
		if !uncertain || !waiter.Sleep(ctx, delays.NextBackOff()) {
			if uncertain {
				err = &classifier.Error{Verdict: classifier.MayHaveRun, Code: "store", Message: "no answer", Err: err}
			}
			return 0, r.unreachable(err)
		}
	}
}

// State is a job's state as far as it is durable.
func (r *Receiver) State(ctx context.Context, id string) (specifier.State, error) {
	entry, _, err := r.entry(ctx, id)
	if err != nil {
		return "", err
	}
	if !entry.State.IsFinal() {
		if state, ok := r.shards.JobState(entry.Shard, id); ok {
			return state, nil
		}
	}
	return entry.State, nil
}

// entry reads the index entry of a job and its revision.
func (r *Receiver) entry(ctx context.Context, id string) (recorder.IndexEntry, int64, error) {
	delays := newDelays()
	item, err := r.store.Get(ctx, recorder.IndexKey(id))
	for err != nil && !errors.Is(err, storer.ErrNotFound) && waiter.Sleep(ctx, delays.NextBackOff()) {
		item, err = r.store.Get(ctx, recorder.IndexKey(id))
	}
	if errors.Is(err, storer.ErrNotFound) {
		return recorder.IndexEntry{}, 0, &classifier.Error{
			Verdict: classifier.NotRun, Status: http.StatusGone, Code: "unknown", Message: "no such job", Field: "id",
		}
	}
	if err != nil {
		return recorder.IndexEntry{}, 0, r.unreachable(err)
	}
	var entry recorder.IndexEntry
	err = recorder.Decode(item.Value, &entry)
	return entry, item.Revision, err
}

// Cancel accepts the cancellation of a job. One that has ended is left as it is.
func (r *Receiver) Cancel(ctx context.Context, id string) error {
	delays := newDelays()
	for range cancelRetries {
		entry, revision, err := r.entry(ctx, id)
		if err != nil {
			return err
		}
		if entry.State.IsFinal() {
			return nil
		}
		_, err = r.store.Commit(ctx, storer.Transaction{
			If:  []storer.Condition{{Key: recorder.IndexKey(id), Revision: revision}},
			Put: []storer.Write{{Key: recorder.CancelKey(entry.Shard, id), Value: recorder.Encode(recorder.IndexEntry{Shard: entry.Shard})}},
		})
		if err == nil {
			r.log.Info().Str("job", id).Str("shard", entry.Shard).Msg("cancellation accepted")
			r.shards.Cancelled(entry.Shard, id)
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			r.log.Warn().Err(err).Str("job", id).Msg("cancellation not accepted")
			if !waiter.Sleep(ctx, delays.NextBackOff()) {
				return r.unreachable(err)
			}
		}
	}
	return r.unreachable(errors.New("receiver: the job keeps changing"))
}

// Pending counts the queue's accepted jobs of which no task has started.
func (r *Receiver) Pending(queue string) int {
	total := 0
	for _, s := range r.shards.View().Shards {
		for _, q := range s.Load.Queues {
			if q.Queue == queue {
				total += q.Pending
			}
		}
	}
	return total
}
