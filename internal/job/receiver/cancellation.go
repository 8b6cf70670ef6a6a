package receiver

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// A cancellation that a host has received doesn't end with its request: a caller who has
// stopped waiting still wants the job to end, and the store may answer again only later. An
// attempt without an answer goes on beside the next one, since the answer may be late, on a
// busy connection, or lost.
//
// A job that nobody knows may still be accepted, by a write of another host that had no answer.
// Its cancellation leaves a tombstone, which makes that write fail: see settlement.go.

// Limits and delays of cancellations.
const (
	cancelTimeout       = 30 * time.Second // limit for a cancellation, with all attempts
	cancelAttempt       = 8 * time.Second  // limit for one attempt
	initialAttemptDelay = time.Second      // until the next attempt while one has no answer; doubled each time
	maxCancellations    = 4096             // cancellations in progress

	// maxCancelledParts limits the entries of the transaction that cancels a job.
	maxCancelledParts = storer.MaxEntries - 2
)

// cancellation is a cancellation in progress.
type cancellation struct {
	done chan struct{} // closed when err is set
	err  error
}

// cancellations are the cancellations in progress.
type cancellations struct {
	mu     sync.Mutex
	closed bool
	byJob  map[string]*cancellation
}

// Cancel accepts the cancellation of a job. A job that has ended isn't changed. If the job is
// unknown, or ctx ends before the store has answered, the error is a *classifier.Error; in
// the second case the cancellation is still carried out.
func (r *Receiver) Cancel(ctx context.Context, id string) error {
	c, err := r.beginCancellation(id)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		r.log.Warn().Str("job", id).Msg("cancellation not acknowledged in time, still tried")
		return r.storeError(noAnswer(ctx.Err()))
	}
}

// beginCancellation returns the job's cancellation in progress, or starts it.
func (r *Receiver) beginCancellation(id string) (*cancellation, error) {
	cs := &r.cancellations
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c := cs.byJob[id]; c != nil {
		return c, nil
	}
	if cs.closed || len(cs.byJob) >= maxCancellations {
		r.log.Warn().Str("job", id).Int("pending", len(cs.byJob)).Bool("closed", cs.closed).Msg("cancellation refused")
		return nil, &classifier.Error{
			Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, Code: "busy",
			Message: "too many cancellations are in progress, or the host is shutting down", RetryAfter: unavailableRetryAfter,
		}
	}
	c := &cancellation{done: make(chan struct{})}
	cs.byJob[id] = c
	received := time.Now()
	r.background.Go(func() {
		c.err = r.carryOut(r.ctx, id, received)
		close(c.done)
		cs.mu.Lock()
		defer cs.mu.Unlock()
		delete(cs.byJob, id)
	})
	return c, nil
}

// carryOut tries a cancellation until its outcome is known, or cancelTimeout has passed.
func (r *Receiver) carryOut(ctx context.Context, id string, received time.Time) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	results := make(chan error)
	running := 0
	begin := func() {
		running++
		r.background.Go(func() {
			attempt, end := context.WithTimeout(ctx, cancelAttempt)
			defer end()
			select {
			case results <- r.tryCancel(attempt, id, received):
			case <-ctx.Done():
			}
		})
	}
	begin()
	retryDelays, attemptDelays := newDelays(), newAttemptDelays()
	next := time.NewTimer(attemptDelays.NextBackOff())
	defer next.Stop()
	for {
		select {
		case err := <-results:
			if err == nil || errors.Is(err, storer.ErrNotFound) {
				return err
			}
			r.log.Warn().Err(err).Str("job", id).Dur("age", time.Since(received)).Msg("cancellation failed")
			if running--; running == 0 {
				next.Reset(retryDelays.NextBackOff())
			}
		case <-next.C:
			if running == 0 {
				attemptDelays.Reset() // the attempts before were answered
			}
			begin()
			next.Reset(attemptDelays.NextBackOff())
		case <-ctx.Done():
			r.log.Error().Str("job", id).Dur("age", time.Since(received)).Msg("cancellation abandoned")
			return r.storeError(noAnswer(ctx.Err()))
		}
	}
}

// newAttemptDelays returns the delays between attempts without an answer.
func newAttemptDelays() *backoff.ExponentialBackOff {
	d := backoff.NewExponentialBackOff()
	d.InitialInterval, d.MaxInterval = initialAttemptDelay, cancelTimeout
	d.Multiplier, d.RandomizationFactor = 2, 0
	return d
}

// noAnswer is the error of a call whose outcome isn't known when its time is over.
func noAnswer(err error) error {
	return &classifier.Error{Verdict: classifier.MayHaveRun, Code: "store", Message: "no answer from the store", Err: err}
}

// tryCancel writes the cancellation of a job that hasn't ended.
func (r *Receiver) tryCancel(ctx context.Context, id string, received time.Time) error {
	entry, revision, err := r.indexEntry(ctx, id)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return r.cancelUnknown(ctx, id, 0, received)
	case err != nil:
		return err
	case entry.IsSettled():
		return r.cancelUnknown(ctx, id, revision, received)
	case entry.IsTombstone():
		return unknownJob()
	}
	if entry.State.IsFinal() {
		r.log.Info().Str("job", id).Str("state", string(entry.State)).Dur("age", time.Since(received)).
			Msg("cancellation without effect, job has ended")
		return nil
	}
	_, err = r.store.Commit(ctx, storer.Transaction{
		If:  []storer.Condition{{Key: recorder.IndexKey(id), Revision: revision}},
		Put: cancelWrites(id, &entry, received),
	})
	if err != nil {
		return err
	}
	r.log.Info().Str("job", id).Str("shard", entry.Shard).Dur("age", time.Since(received)).Msg("cancellation accepted")
	r.shards.Cancelled(entry.Shard, id, received)
	return nil
}

// cancelUnknown makes the acceptance of an unknown job impossible, whose index entry has the
// revision. It returns the error of an unknown job if it succeeds, and storer.ErrConflict if the
// entry has changed.
func (r *Receiver) cancelUnknown(ctx context.Context, id string, revision int64, received time.Time) error {
	if err := r.writeTombstone(ctx, id, specifier.Cancelled, revision); err != nil {
		return err
	}
	r.log.Info().Str("job", id).Dur("age", time.Since(received)).Msg("cancellation of an unknown job, acceptance prevented")
	return unknownJob()
}

// cancelWrites returns the cancellation of a job in its shard, and in those that
// have tasks of it: they needn't wait for the owner of the job's shard, which cancels
// the job there too.
func cancelWrites(id string, entry *recorder.IndexEntry, received time.Time) []storer.Write {
	shards := append([]string{entry.Shard}, entry.Parts[:min(len(entry.Parts), maxCancelledParts)]...)
	writes := make([]storer.Write, len(shards))
	for i, shard := range shards {
		writes[i] = storer.Write{
			Key:   recorder.CancelKey(shard, id),
			Value: recorder.Encode(recorder.Cancellation{Received: received}),
		}
	}
	return writes
}

// Shutdown waits for the cancellations and settlements in progress until ctx ends, and closes the
// receiver.
func (r *Receiver) Shutdown(ctx context.Context) {
	ended := make(chan struct{})
	r.cancellations.refuse()
	go func() {
		defer close(ended)
		r.background.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	r.Close()
}

// Close abandons the cancellations and settlements in progress.
func (r *Receiver) Close() {
	r.cancellations.refuse()
	r.cancel()
	r.background.Wait()
	r.closeOnce.Do(func() { close(r.Done) })
}

// refuse makes new cancellations fail.
func (cs *cancellations) refuse() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
}
