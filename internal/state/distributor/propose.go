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

// Edit changes a copy of the configuration, or gives up with an error.
type Edit func(describer.Configuration) (describer.Configuration, error)

// Propose changes the configuration and returns the one accepted. The edit
// gets a copy of the latest configuration, and is called again with a later
// one when another proposal was faster; it returns an error to give up. The
// revision is set by Propose.
//
// Failures are *classifier.Error values. NotRun: the configuration was not
// changed by this call. MayHaveRun: ctx ended before the outcome was known.
// The edit's own error is found with errors.Is and errors.As.
func (d *Distributor) Propose(ctx context.Context, edit Edit) (describer.Configuration, error) {
	delay := newBackoff()
	for {
		p, err := d.prepare(ctx, edit)
		if err == nil {
			err = p.put(ctx)
		}
		if err == nil {
			d.accept(p)
			return p.result, nil
		}
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, errStale) {
			return describer.Configuration{}, err
		}
		if !sleep(ctx, delay) {
			return describer.Configuration{}, unchanged(ctx.Err())
		}
	}
}

// proposal is one attempt: a document that replaces the one it was made from.
type proposal struct {
	distributor *Distributor
	nonce       string
	from        document // that was read
	expected    int64    // its store revision
	next        document
	value       []byte // encoded next
	result      describer.Configuration
	change      change
	rebase      bool // the base must be written first
}

var errStale = errors.New("distributor: store answered with an old value")

// prepare reads the document and makes the one that is to replace it.
func (d *Distributor) prepare(ctx context.Context, edit Edit) (*proposal, error) {
	call, cancel := context.WithTimeout(ctx, d.options.Timeout)
	defer cancel()
	p := &proposal{distributor: d, nonce: newNonce()}
	var err error
	if p.from, p.expected, err = d.read(call); err != nil {
		return nil, unchanged(err)
	}
	current := d.Current()
	if p.from.Revision < current.Revision {
		return nil, errStale
	}
	if p.from.Revision > current.Revision {
		if current, err = d.resolve(call, p.from); err != nil {
			return nil, retriable(err)
		}
	}
	if err := p.edit(current, edit); err != nil {
		return nil, err
	}
	p.next, p.rebase, err = p.from.successor(p.result, p.change, p.nonce)
	if err != nil {
		return nil, refused(err)
	}
	if p.value, err = json.Marshal(p.next); err != nil {
		return nil, refused(err)
	}
	return p, nil
}

// retriable tells a base that was replaced while it was looked for from a
// store that does not answer.
func retriable(err error) error {
	if errors.Is(err, storer.ErrNotFound) || errors.Is(err, errGap) {
		return errStale
	}
	return unchanged(err)
}

func (p *proposal) edit(current describer.Configuration, edit Edit) error {
	before, err := clone(current)
	if err != nil {
		return refused(err)
	}
	after, err := edit(before)
	if err != nil {
		return refused(err)
	}
	if after, err = normalize(after); err != nil {
		return refused(err)
	}
	after.Revision = current.Revision + 1
	// Decoded again, so that all hosts hold what the store gives back.
	if p.result, err = clone(after); err != nil {
		return refused(err)
	}
	p.change, err = difference(current, p.result)
	return err
}

// put writes the proposal. ErrConflict means that it has no effect.
func (p *proposal) put(ctx context.Context) error {
	if err := p.putBase(ctx); err != nil {
		return err
	}
	err := p.swap(ctx)
	delay := newBackoff()
	for err != nil && isDoubtful(err) {
		// The write may be in place, under way or lost.
		if !sleep(ctx, delay) {
			return unknown(err)
		}
		err = p.settle(ctx, err)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storer.ErrConflict):
		p.dropBase(ctx)
		return err
	case classifier.VerdictOf(err) == classifier.MayHaveRun:
		return unknown(err)
	}
	p.dropBase(ctx)
	return unchanged(err)
}

func isDoubtful(err error) bool {
	return !errors.Is(err, storer.ErrConflict) && !errors.Is(err, errForgotten) &&
		classifier.VerdictOf(err) != classifier.NotRun
}

// errForgotten says that too many proposals followed to find out about one.
var errForgotten = errors.New("distributor: outcome can no longer be read back")

func (p *proposal) swap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.distributor.options.Timeout)
	defer cancel()
	_, err := p.distributor.store.Swap(ctx, DocumentKey, p.value, p.expected, 0)
	return err
}

// settle finds out about a write without answer: nil if it took effect,
// ErrConflict if it never will, the doubt otherwise.
func (p *proposal) settle(ctx context.Context, doubt error) error {
	call, cancel := context.WithTimeout(ctx, p.distributor.options.Timeout)
	defer cancel()
	doc, revision, err := p.distributor.read(call)
	switch {
	case err != nil || revision < p.expected:
		return doubt
	case revision == p.expected:
		// The same value again: if the first write is still under way, only one
		// of the two can take effect, and it does not matter which. A conflict
		// says that something did, and needs another look.
		if err := p.swap(ctx); err == nil {
			return nil
		}
		return doubt
	case slices.Contains(doc.Nonces, p.nonce):
		return nil
	case doc.Revision-p.from.Revision > maxNonces:
		return errForgotten
	}
	return storer.ErrConflict
}

func (p *proposal) putBase(ctx context.Context) error {
	if !p.rebase {
		return nil
	}
	b, err := json.Marshal(p.result)
	if err != nil {
		return refused(err)
	}
	if len(b) > storer.MaxValue {
		return refused(fmt.Errorf("distributor: configuration of %d bytes exceeds %d", len(b), storer.MaxValue))
	}
	ctx, cancel := context.WithTimeout(ctx, p.distributor.options.Timeout)
	defer cancel()
	if _, err := p.distributor.store.Swap(ctx, basePrefix+p.next.Base, b, 0, 0); err != nil {
		// Nobody looks at a base before the document names it.
		return unchanged(err)
	}
	return nil
}

// dropBase removes the base of a proposal that has no effect.
func (p *proposal) dropBase(ctx context.Context) {
	if !p.rebase {
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
		d.log.Debug().Err(err).Str("base", p.next.Base).Msg("Unused base not deleted.")
	}
}

// accept puts a proposal that took effect in force here and relays it.
func (d *Distributor) accept(p *proposal) {
	d.install(p.result, []change{p.change})
	d.begin(func() {
		d.relay()
		if p.rebase {
			ctx, cancel := context.WithTimeout(d.ctx, d.options.Timeout)
			defer cancel()
			d.clean(ctx, p.next)
		}
	})
}

func (d *Distributor) read(ctx context.Context) (document, int64, error) {
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

func unchanged(err error) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable,
		Code: "store", Message: "configuration not changed", RetryAfter: longestDelay, Err: err,
	}
}

func unknown(err error) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.MayHaveRun, Status: http.StatusGatewayTimeout,
		Code: "store", Message: "outcome of the change is not known", Err: err,
	}
}

func refused(err error) *classifier.Error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusConflict,
		Code: "refused", Message: "change not accepted", Err: err,
	}
}

// Bounds of the delay between attempts.
const (
	firstDelay   = 20 * time.Millisecond
	longestDelay = 2 * time.Second
)

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstDelay, longestDelay
	return b
}

func sleep(ctx context.Context, b *backoff.ExponentialBackOff) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(b.NextBackOff()):
		return true
	}
}
