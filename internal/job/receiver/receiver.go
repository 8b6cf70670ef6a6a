// Package receiver accepts, cancels and looks up jobs for callers. It runs on
// every entry host.
//
// # Model
//
// A job is accepted by one conditional write to the store, no matter which
// daemon owns its shard. A repeated submission finds the job's index entry and
// succeeds. A refusal means that this call did not and will not accept the job.
// If the outcome of the write is unknown, the error says so and the caller has
// to repeat the submission.
//
// A cancellation that has been received is carried out also when the caller's time ends
// before the store has answered.
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
	"sync/atomic"
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

// Timeouts, delays and limits of the receiver.
const (
	initialRetryDelay     = 40 * time.Millisecond   // first delay before a failed store call is repeated
	maxRetryDelay         = 500 * time.Millisecond  // maximum delay before a failed store call is repeated
	unavailableRetryAfter = time.Second             // Retry-After while the store doesn't answer
	unadvisedRetryAfter   = 8 * time.Second         // Retry-After for a queue that needs advice, without an adviser
	remoteRoundTrip       = 60 * time.Millisecond   // assumed round trip to a shard in another failure domain
	maxContactAge         = 2500 * time.Millisecond // if the store's last answer is older, submissions are refused
	maxLoadAge            = 10 * time.Second        // older load summaries are ignored
	acceptTimeout         = 1200 * time.Millisecond // limit for the write that accepts a job, with all attempts
	attemptTimeout        = 600 * time.Millisecond  // limit for one attempt
)

// Shards is the part of the manager that the receiver uses.
type Shards interface {
	Catalog() *specifier.Catalog
	View() manager.View
	Cancelled(shard, id string, received time.Time)
	JobState(shard, id string) (specifier.State, bool)
	LastContact() time.Time // when the store last answered
}

// Store is the part of the key-value store's client that the receiver uses.
type Store interface {
	storer.Committer
	Get(ctx context.Context, key string) (storer.Item, error)
}

// Options configure a Receiver.
type Options struct {
	Domain    string // failure domain of this daemon
	NoAdviser bool   // jobs of queues that need placement advice are refused
	Random    *rand.Rand
	Scope     tally.Scope
	Log       zerolog.Logger
}

// Receiver accepts, cancels and looks up jobs. It is safe for concurrent use.
type Receiver struct {
	Done chan struct{} // closed when it is closed and nothing is in progress in the background

	closeOnce     sync.Once // guards closing Done
	options       Options
	log           zerolog.Logger
	shards        Shards
	store         Store
	cancellations cancellations
	settling      atomic.Int64   // settlements in progress
	background    sync.WaitGroup // cancellations and settlements

	ctx    context.Context // ends when the receiver is closed
	cancel context.CancelFunc

	mu          sync.Mutex              // guards recent, lastFailure and options.Random
	recent      map[string][]recentWork // by shard name
	lastFailure time.Time               // when a write to the store last failed
}

// newDelays returns the delays between repeated calls to the store.
func newDelays() *backoff.ExponentialBackOff {
	d := backoff.NewExponentialBackOff()
	d.InitialInterval = initialRetryDelay
	d.MaxInterval = maxRetryDelay
	return d
}

// New returns a Receiver that uses the given manager and store. The caller ends it with
// Shutdown or Close.
func New(o Options, shards Shards, store Store) *Receiver {
	ctx, cancel := context.WithCancel(context.Background())
	return &Receiver{
		Done:    make(chan struct{}),
		options: o, log: o.Log.With().Str("part", "receiver").Logger(),
		shards: shards, store: store, recent: make(map[string][]recentWork),
		cancellations: cancellations{byJob: make(map[string]*cancellation)},
		ctx:           ctx, cancel: cancel,
	}
}

// Submit accepts a job. It returns nil if the job is accepted or was accepted
// before. Any other result is a *classifier.Error that tells whether the job may
// have been accepted.
func (r *Receiver) Submit(ctx context.Context, queue specifier.Queue, job specifier.Job) error {
	if err := job.Validate(); err != nil {
		return invalidJob(err)
	}
	if err := r.checkSizes(queue, &job); err != nil {
		r.log.Info().Err(err).Str("job", job.ID).Msg("job refused")
		return invalidJob(err)
	}
	job.Queue, job.Terms = queue.Name, queue
	job.Accepted = time.Now()
	if !r.isStoreReachable() {
		r.countSubmission(queue.Name, "unreachable")
		r.log.Info().Str("job", job.ID).Str("reason", "store unreachable").
			Dur("age", time.Since(r.shards.LastContact())).Msg("job refused")
		return r.storeError(&classifier.Error{Verdict: classifier.NotRun, Code: "store", Message: "store not called"})
	}
	decision := r.admit(queue, &job)
	if !decision.Accepted {
		return r.refuse(ctx, &job, decision)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	revision, err := r.writeJob(ctx, decision.Shard, &job)
	if errors.Is(err, errCancelled) {
		return err
	}
	if err != nil {
		r.countSubmission(queue.Name, "unknown")
		r.log.Warn().Err(err).Str("job", job.ID).Msg("job acceptance failed")
		return err
	}
	r.log.Info().Str("job", job.ID).Str("queue", queue.Name).Str("shard", decision.Shard).Bool("fresh", revision > 0).
		Dur("age", decision.Age).Dur("predicted", decision.Predicted).Msg("job accepted")
	r.countSubmission(queue.Name, "accepted")
	if revision > 0 {
		view := r.shards.View()
		r.addRecent(decision.Shard, estimateWork(queue, &job, expectedRunTimes(queue, &job, &view)))
	}
	return nil
}

// invalidJob returns the error for a job that fails validation.
func invalidJob(err error) error {
	e := &classifier.Error{Verdict: classifier.NotRun, Status: http.StatusBadRequest, Code: "invalid", Message: err.Error()}
	var field *specifier.FieldError
	if errors.As(err, &field) {
		e.Message, e.Field = field.Reason, field.Field
	}
	return e
}

// isStoreReachable reports whether the store has answered recently, and after
// the last failed write.
func (r *Receiver) isStoreReachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	contact := r.shards.LastContact()
	return contact.After(r.lastFailure) && time.Since(contact) < maxContactAge
}

// recordFailure records that a write to the store has failed.
func (r *Receiver) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailure = time.Now()
}

// countSubmission counts a submission to a queue by its outcome.
func (r *Receiver) countSubmission(queue, outcome string) {
	r.options.Scope.Tagged(map[string]string{"queue": queue, "outcome": outcome}).Counter("submissions").Inc(1)
}

// refuse returns the error for a job that admission has refused, or nil if the
// job was accepted before.
func (r *Receiver) refuse(ctx context.Context, job *specifier.Job, d admitter.Decision) error {
	item, err := r.store.Get(ctx, recorder.IndexKey(job.ID))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return r.storeError(err)
	}
	if err == nil {
		entry, err := decodeIndexEntry(item)
		if err != nil || !entry.IsSettled() {
			return r.checkAccepted(job, &entry, err)
		}
	}
	r.countSubmission(job.Queue, "refused")
	r.log.Info().Str("job", job.ID).Str("queue", job.Queue).Str("reason", d.Reason).Str("shard", d.Shard).
		Dur("age", d.Age).Dur("predicted", d.Predicted).Dur("retry", d.RetryAfter).Msg("job refused")
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusTooManyRequests, Code: "overloaded",
		Message: d.Reason, RetryAfter: d.RetryAfter,
	}
}

// storeError returns the error for a failed call to the store.
func (r *Receiver) storeError(err error) error {
	verdict, status := classifier.VerdictOf(err), http.StatusServiceUnavailable
	if verdict != classifier.NotRun {
		status = http.StatusGatewayTimeout
	}
	return &classifier.Error{
		Verdict: verdict, Status: status, Code: "store", Message: "the store does not answer",
		RetryAfter: unavailableRetryAfter, Err: err,
	}
}

// writeJob writes an accepted job to the store and returns the revision of the
// write, or 0 if the job existed already. It repeats writes with an unknown
// outcome until ctx ends.
func (r *Receiver) writeJob(ctx context.Context, shard string, job *specifier.Job) (int64, error) {
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
		limited, cancel := context.WithTimeout(ctx, attemptTimeout)
		revision, err := r.store.Commit(limited, tx)
		cancel()
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, storer.ErrConflict):
			entry, revision, err := r.indexEntry(ctx, job.ID)
			if err != nil || !entry.IsSettled() {
				return 0, r.checkAccepted(job, &entry, err)
			}
			tx.If[0].Revision, uncertain = revision, false // the attempts so far have failed for good
			continue
		}
		r.recordFailure()
		uncertain = uncertain || classifier.VerdictOf(err) != classifier.NotRun
		if !uncertain || !waiter.Sleep(ctx, delays.NextBackOff()) {
			if uncertain {
				r.settle(job.ID, tx.If[0].Revision)
				err = &classifier.Error{Verdict: classifier.MayHaveRun, Code: "store", Message: "no answer from the store", Err: err}
			}
			return 0, r.storeError(err)
		}
	}
}

// errCancelled is wrapped by the error for a job that was cancelled before its acceptance.
var errCancelled = errors.New("receiver: job was cancelled")

// checkAccepted returns nil if the job's index entry says that the job was accepted, and an error
// if it is the tombstone of a cancellation. err is the outcome of reading the entry, which exists.
func (r *Receiver) checkAccepted(job *specifier.Job, entry *recorder.IndexEntry, err error) error {
	if err != nil {
		return r.storeError(noAnswer(err))
	}
	if !entry.IsTombstone() {
		return nil
	}
	r.countSubmission(job.Queue, "cancelled")
	r.log.Info().Str("job", job.ID).Str("reason", "cancelled").Msg("job refused")
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusGone, Code: "cancelled", Message: "the job was cancelled before it was accepted",
		Field: "id", Err: errCancelled,
	}
}

// State returns the state of a job. Final states are durable. If the job is
// unknown or the store doesn't answer, the error is a *classifier.Error.
func (r *Receiver) State(ctx context.Context, id string) (specifier.State, error) {
	entry, _, err := r.indexEntry(ctx, id)
	if err == nil && entry.IsTombstone() {
		err = unknownJob()
	}
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

// unknownJob returns the error for a job that was never accepted. It wraps storer.ErrNotFound.
func unknownJob() error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusGone, Code: "unknown", Message: "no such job", Field: "id", Err: storer.ErrNotFound,
	}
}

// indexEntry reads the index entry of a job and its revision. It repeats failed reads until ctx
// ends.
func (r *Receiver) indexEntry(ctx context.Context, id string) (recorder.IndexEntry, int64, error) {
	delays := newDelays()
	item, err := r.store.Get(ctx, recorder.IndexKey(id))
	for err != nil && !errors.Is(err, storer.ErrNotFound) && waiter.Sleep(ctx, delays.NextBackOff()) {
		item, err = r.store.Get(ctx, recorder.IndexKey(id))
	}
	if errors.Is(err, storer.ErrNotFound) {
		return recorder.IndexEntry{}, 0, unknownJob()
	}
	if err != nil {
		return recorder.IndexEntry{}, 0, r.storeError(err)
	}
	entry, err := decodeIndexEntry(item)
	return entry, item.Revision, err
}

func decodeIndexEntry(item storer.Item) (recorder.IndexEntry, error) {
	var entry recorder.IndexEntry
	err := recorder.Decode(item.Value, &entry)
	return entry, err
}

// Pending returns the number of the queue's accepted jobs of which no task has
// started, according to the load summaries.
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
