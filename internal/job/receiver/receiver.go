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
	"slices"
	"sync"
	"time"

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
	storeRetry    = 30 * time.Millisecond
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
	Contact() time.Time // when the store last answered
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

// accepted is work that was accepted here and that no load summary shows yet.
type accepted struct {
	at   time.Time
	work admitter.Work
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
		var field *specifier.FieldError
		errors.As(err, &field)
		return &classifier.Error{
			Verdict: classifier.NotRun, Status: http.StatusBadRequest, Code: "invalid",
			Message: field.Reason, Field: field.Field,
		}
	}
	job.Queue = queue.Name
	job.Accepted = time.Now()
	if !r.isStoreUp() {
		r.count(queue.Name, "unreachable")
		r.log.Info().Str("job", job.ID).Str("reason", "store not reached").
			Dur("age", time.Since(r.shards.Contact())).Msg("job refused")
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

// isStoreUp reports whether the store has answered lately, and since it last
// did not answer a write.
func (r *Receiver) isStoreUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	contact := r.shards.Contact()
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
	if _, err := r.store.Get(ctx, recorder.JobIndex(job.ID)); !errors.Is(err, storer.ErrNotFound) {
		if err == nil {
			return nil
		}
		return r.unreachable(err)
	}
	r.count(job.Queue, "refused")
	r.log.Info().Str("job", job.ID).Str("queue", job.Queue).Str("reason", d.Reason).Str("shard", d.Shard).
		Dur("age", d.Age).Dur("predicted", d.Predicted).Dur("retry", d.Retry).Msg("job refused")
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusTooManyRequests, Code: "overloaded",
		Message: d.Reason, RetryAfter: d.Retry,
	}
}

func (r *Receiver) unreachable(err error) error {
	verdict, status := classifier.Of(err), http.StatusServiceUnavailable
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
	entry := recorder.Entry{Shard: shard, Queue: job.Queue, State: specifier.Queued}
	tx := storer.Transaction{
		If: []storer.Condition{{Key: recorder.JobIndex(job.ID)}},
		Put: []storer.Write{
			{Key: recorder.JobIndex(job.ID), Value: recorder.Encode(entry)},
			{Key: recorder.JobKey(shard, job.ID), Value: recorder.Encode(job)},
		},
	}
	uncertain := false
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
		uncertain = uncertain || classifier.Of(err) != classifier.NotRun
		if !waiter.Pause(ctx, storeRetry) || !uncertain {
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
func (r *Receiver) entry(ctx context.Context, id string) (recorder.Entry, int64, error) {
	item, err := r.store.Get(ctx, recorder.JobIndex(id))
	for err != nil && !errors.Is(err, storer.ErrNotFound) && waiter.Pause(ctx, storeRetry) {
		item, err = r.store.Get(ctx, recorder.JobIndex(id))
	}
	if errors.Is(err, storer.ErrNotFound) {
		return recorder.Entry{}, 0, &classifier.Error{
			Verdict: classifier.NotRun, Status: http.StatusGone, Code: "unknown", Message: "no such job", Field: "id",
		}
	}
	if err != nil {
		return recorder.Entry{}, 0, r.unreachable(err)
	}
	var entry recorder.Entry
	err = recorder.Decode(item.Value, &entry)
	return entry, item.Revision, err
}

// Cancel accepts the cancellation of a job. One that has ended is left as it is.
func (r *Receiver) Cancel(ctx context.Context, id string) error {
	for range cancelRetries {
		entry, revision, err := r.entry(ctx, id)
		if err != nil {
			return err
		}
		if entry.State.IsFinal() {
			return nil
		}
		_, err = r.store.Commit(ctx, storer.Transaction{
			If:  []storer.Condition{{Key: recorder.JobIndex(id), Revision: revision}},
			Put: []storer.Write{{Key: recorder.CancelKey(entry.Shard, id), Value: recorder.Encode(recorder.Entry{Shard: entry.Shard})}},
		})
		if err == nil {
			r.log.Info().Str("job", id).Str("shard", entry.Shard).Msg("cancellation accepted")
			r.shards.Cancelled(entry.Shard, id)
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			r.log.Warn().Err(err).Str("job", id).Msg("cancellation not accepted")
			if !waiter.Pause(ctx, storeRetry) {
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

// admit decides by what is known of the shards.
func (r *Receiver) admit(queue specifier.Queue, job *specifier.Job) admitter.Decision {
	work := workOf(queue, job)
	view := r.shards.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	var shards []admitter.Shard
	for name, s := range view.Shards {
		if s.Load.Service == queue.Service && time.Since(s.Received) < staleView {
			shards = append(shards, r.shard(name, s, queue, job))
		}
	}
	slices.SortFunc(shards, func(a, b admitter.Shard) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return admitter.Decide(work, shards, r.options.Random)
}

// shard is the load of one shard, with what was accepted here since.
func (r *Receiver) shard(name string, s manager.ShardView, queue specifier.Queue, job *specifier.Job) admitter.Shard {
	out := admitter.Shard{
		Name: name, Near: s.Load.Domain == "" || s.Load.Domain == r.options.Domain, Age: time.Since(s.Received),
		Workers: s.Load.Workers, Free: s.Load.Free, Largest: s.Load.Largest,
		Turning: s.Load.Turning, Unused: s.Load.Unused, Fillers: s.Load.Fillers, HasLabel: true,
	}
	if !out.Near {
		out.Distance = afarDistance
	}
	for _, step := range job.Steps {
		out.HasLabel = out.HasLabel && (step.Label == "" || slices.Contains(s.Load.Labels, step.Label))
		out.HasRack = out.HasRack || step.Rack != "" && slices.Contains(s.Load.Labels, step.Rack)
	}
	for _, b := range s.Load.Backlog {
		if b.Priority <= queue.Priority {
			out.Counted += b.Counted
			out.Filler += b.Filler
		}
	}
	recent := slices.DeleteFunc(r.accepted[name], func(a accepted) bool { return a.at.Before(s.Received) })
	r.accepted[name] = recent
	for _, a := range recent {
		out.Counted += a.work.Counted
		out.Filler += a.work.Filler
		out.Free.CPU -= a.work.Lasting
	}
	return out
}

// note counts work that was accepted here until a load summary shows it.
func (r *Receiver) note(shard string, work admitter.Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted[shard] = append(r.accepted[shard], accepted{time.Now(), work})
}

func workOf(queue specifier.Queue, job *specifier.Job) admitter.Work {
	w := admitter.Work{Chain: job.Chain()}
	w.Objective = time.Duration(float64(w.Chain)*queue.Slack) + queue.Completion
	for _, step := range job.Steps {
		cpu := step.Needs.CPU * int64(step.Count)
		work := cpu * int64(step.Estimate) / int64(time.Second) * int64(job.Occurrences())
		switch {
		case step.Lasting:
			w.Lasting += cpu
		case step.Filler:
			w.Filler += work
		default:
			w.Counted += work
		}
		w.NeedsRack = w.NeedsRack || step.Rack != ""
	}
	return w
}
