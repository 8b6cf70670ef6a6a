package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Edit changes a copy of the configuration and returns it. It returns an error to
// cancel the proposal.
type Edit func(describer.Configuration) (describer.Configuration, error)

// Propose changes the configuration in the store and returns the new one. The
// edit is called with a copy of the latest configuration, and again with a later
// one if another proposal was written in the meantime. Propose sets the
// revision.
//
// Errors are *classifier.Error values. Verdict NotRun means that this call did
// not change the configuration, MayHaveRun that its outcome could not be found
// out, such as when ctx ended first. An error of the edit is wrapped.
func (d *Distributor) Propose(ctx context.Context, edit Edit) (describer.Configuration, error) {
	delay := newBackoff()
	for {
		p, err := d.prepare(ctx, edit)
		if err == nil {
			err = p.write(ctx)
		}
		if err == nil {
			d.installProposal(p)
			return p.result, nil
		}
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, errStaleRead) {
			return describer.Configuration{}, err
		}
		if !sleep(ctx, delay) {
			return describer.Configuration{}, notChangedError(ctx.Err())
		}
	}
}

// proposal is one attempt to change the configuration: a document that replaces
// the one that it was made from.
type proposal struct {
	distributor *Distributor
	nonce       string

	previous         document // document that was read
	expectedRevision int64    // store revision of previous
	next             document
	value            []byte // encoded next
	result           describer.Configuration
	change           change
	needsBase        bool // the result must be written as the base of next first
}

// errStaleRead is returned when the document must be read again.
var errStaleRead = errors.New("distributor: store returned an outdated document")

// prepare reads the document and returns a proposal of the one to replace it.
func (d *Distributor) prepare(ctx context.Context, edit Edit) (*proposal, error) {
	callCtx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	p := &proposal{distributor: d, nonce: newNonce()}
	var err error
	if p.previous, p.expectedRevision, err = d.readDocument(callCtx); err != nil {
		return nil, notChangedError(err)
	}
	current := d.Current()
	if p.previous.Revision < current.Revision {
		return nil, errStaleRead
	}
	if p.previous.Revision > current.Revision {
		if current, err = d.resolve(callCtx, p.previous); err != nil {
			return nil, resolveError(err)
		}
	}
	if err := p.applyEdit(current, edit); err != nil {
		return nil, err
	}
	p.next, p.needsBase, err = p.previous.next(p.result, p.change, p.nonce)
	if err != nil {
		return nil, rejectedError(err)
	}
	if p.value, err = json.Marshal(p.next); err != nil {
		return nil, rejectedError(err)
	}
	return p, nil
}

// resolveError converts an error of resolve. A missing base was replaced after
// the document was read, so the document must be read again.
func resolveError(err error) error {
	if errors.Is(err, storer.ErrNotFound) || errors.Is(err, errNotApplicable) {
		return errStaleRead
	}
	return notChangedError(err)
}

// applyEdit calls the edit and sets result and change.
func (p *proposal) applyEdit(current describer.Configuration, edit Edit) error {
	copied, err := clone(current)
	if err != nil {
		return rejectedError(err)
	}
	edited, err := edit(copied)
	if err != nil {
		return rejectedError(err)
	}
	if edited, err = sortLists(edited); err != nil {
		return rejectedError(err)
	}
	edited.Revision = current.Revision + 1
	// Encoded and decoded, so that this host has the same value as the hosts
	// that read it from the store.
	if p.result, err = clone(edited); err != nil {
		return rejectedError(err)
	}
	p.change, err = diff(current, p.result)
	return err
}

// write writes the proposal and finds out its outcome. It returns ErrConflict if
// another proposal was written first.
func (p *proposal) write(ctx context.Context) error {
	if err := p.writeBase(ctx); err != nil {
		return err
	}
	err := p.swap(ctx)
	delay := newBackoff()
	for err != nil && isOutcomeUnknown(err) {
		// The write may have taken effect, be in progress or be lost.
		if !sleep(ctx, delay) {
			return unknownOutcomeError(err)
		}
		err = p.resolveOutcome(ctx, err)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storer.ErrConflict):
		p.deleteBase(ctx)
		return err
	case classifier.VerdictOf(err) == classifier.MayHaveRun:
		return unknownOutcomeError(err)
	}
	p.deleteBase(ctx)
	return notChangedError(err)
}

// isOutcomeUnknown reports whether a write that failed with err may still take
// effect or have taken effect.
func isOutcomeUnknown(err error) bool {
	return !errors.Is(err, storer.ErrConflict) && !errors.Is(err, errOutcomeLost) &&
		classifier.VerdictOf(err) != classifier.NotRun
}

// errOutcomeLost is returned when so many proposals followed that the document
// no longer shows the outcome of this one.
var errOutcomeLost = errors.New("distributor: outcome of the proposal can no longer be read back")

// swap makes one attempt to write the document.
func (p *proposal) swap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.distributor.options.Timeout)
	defer cancel()
	_, err := p.distributor.store.Swap(ctx, DocumentKey, p.value, p.expectedRevision, 0)
	return err
}

// resolveOutcome reads the document to find out the outcome of a write that
// failed with writeErr. It returns nil if the write took effect, ErrConflict if
// it never will, errOutcomeLost if that cannot be found out, and writeErr if it
// is still unknown.
func (p *proposal) resolveOutcome(ctx context.Context, writeErr error) error {
	callCtx, cancel := context.WithTimeout(ctx, p.distributor.options.Timeout)
	defer cancel()
	doc, revision, err := p.distributor.readDocument(callCtx)
	switch {
	case err != nil || revision < p.expectedRevision:
		return writeErr
	case revision == p.expectedRevision:
		// Write the same value again. If the first write is still in progress,
		// only one of the two can take effect, and it does not matter which. After
		// a conflict the document must be read again.
		if err := p.swap(ctx); err == nil {
			return nil
		}
		return writeErr
	case slices.Contains(doc.Nonces, p.nonce):
		return nil
	case doc.Revision-p.previous.Revision > maxNonces:
		return errOutcomeLost
	}
	return storer.ErrConflict
}

// writeBase writes the result as the new base if the proposal needs it.
func (p *proposal) writeBase(ctx context.Context) error {
	if !p.needsBase {
		return nil
	}
	b, err := json.Marshal(p.result)
	if err != nil {
		return rejectedError(err)
	}
	if len(b) > storer.MaxValueSize {
		return rejectedError(fmt.Errorf("distributor: configuration of %d bytes exceeds %d", len(b), storer.MaxValueSize))
	}
	ctx, cancel := context.WithTimeout(ctx, p.distributor.options.Timeout)
	defer cancel()
	if _, err := p.distributor.store.Swap(ctx, basePrefix+p.next.Base, b, 0, 0); err != nil {
		// A base has no effect before the document refers to it.
		return notChangedError(err)
	}
	return nil
}

// deleteBase deletes the base of a proposal that did not take effect.
func (p *proposal) deleteBase(ctx context.Context) {
	if !p.needsBase {
		return
	}
	d := p.distributor
	ctx, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	item, err := d.store.Get(ctx, basePrefix+p.next.Base)
	if err == nil {
		err = d.store.Delete(ctx, item.Key, item.Revision)
	}
	if err != nil {
		d.log.Debug().Err(err).Str("base", p.next.Base).Msg("unused base deletion failed")
	}
}

// installProposal installs the result of a proposal that took effect and relays
// it.
func (d *Distributor) installProposal(p *proposal) {
	d.install(p.result, []change{p.change})
	d.startTask(func() {
		d.relayToDomain()
		if p.needsBase {
			ctx, cancel := context.WithTimeout(d.ctx, d.options.Timeout)
			defer cancel()
			d.deleteOldBases(ctx, p.next)
		}
	})
}

// readDocument returns the document and its store revision, which is 0 if there
// is no document yet.
func (d *Distributor) readDocument(ctx context.Context) (document, int64, error) {
	item, err := d.store.Get(ctx, DocumentKey)
	if errors.Is(err, storer.ErrNotFound) {
		return document{}, 0, nil
	}
	if err != nil {
		return document{}, 0, err
	}
	doc, err := decodeDocument(item.Value)
	return doc, item.Revision, err
}

// notChangedError says that the configuration was not changed because the store
// cannot be used.
func notChangedError(err error) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable,
		Code: "store", Message: "configuration not changed", RetryAfter: maxRetryDelay, Err: err,
	}
}

// unknownOutcomeError says that the configuration may have been changed.
func unknownOutcomeError(err error) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.MayHaveRun, Status: http.StatusGatewayTimeout,
		Code: "store", Message: "outcome of the change is not known", Err: err,
	}
}

// rejectedError says that the configuration was not changed because the edit
// failed or its result is not valid.
func rejectedError(err error) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusConflict,
		Code: "refused", Message: "change not accepted", Err: err,
	}
}

// Delays between attempts.
const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialRetryDelay, maxRetryDelay
	return b
}

// sleep waits for the next delay. It returns false if ctx ends first.
func sleep(ctx context.Context, b *backoff.ExponentialBackOff) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(b.NextBackOff()):
		return true
	}
}
