// Package leaser keeps one lease in a key-value store alive.
//
// # Model
//
// A daemon that owns shards has one lease in the store, to which its owner
// records are bound. The lease is granted on first use and renewed three times
// per time to live (TTL). Its validity is computed with the local monotonic
// clock from the time at which the last successful renewal was sent, not from
// its response. The store cannot have started to count earlier, so the lease is
// valid at least until that time plus the TTL, less a margin for clocks that
// run at different speeds.
//
//	lease := leaser.New(options, store)
//	id, err := lease.Acquire(ctx)
//	store.Swap(ctx, key, value, 0, id)
//	if lease.IsValid() { ... }
package leaser

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// Store is the subset of the store operations that a lease uses.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Renew(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}

// renewalsPerTTL is the number of renewals during one TTL.
const renewalsPerTTL = 3

// Options configure a Lease.
type Options struct {
	TTL    time.Duration // time to live in the store without renewals
	Margin time.Duration // allowance for clock drift during one TTL

	// Renewed is called after each successful renewal; nil means no call.
	Renewed func()
	// Ended is called with the ID of the lease when the store reports that it
	// does not exist any more; nil means no call. The next Acquire has a new
	// lease granted.
	Ended func(old int64)

	Log zerolog.Logger
}

// Lease is one store lease that is renewed in the background. It is safe for
// concurrent use.
type Lease struct {
	Done chan struct{} // closed after Close, when the last renewal has ended

	options Options
	store   Store
	log     zerolog.Logger
	cancel  context.CancelFunc
	granted chan struct{} // restarts the renewal interval
	poke    chan struct{} // asks for a renewal at once

	acquireLock chan struct{} // holds one value while a grant is requested

	mu         sync.Mutex // guards the fields below
	id         int64      // 0 if there is no lease
	renewedAt  time.Time  // when its grant or its last successful renewal was sent
	validUntil time.Time
}

// New returns a Lease, which the store grants on the first call of Acquire. The
// caller must call Close to end its renewals.
func New(o Options, store Store) *Lease {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lease{
		Done:        make(chan struct{}),
		options:     o,
		store:       store,
		log:         o.Log.With().Str("part", "leaser").Logger(),
		cancel:      cancel,
		granted:     make(chan struct{}, 1),
		poke:        make(chan struct{}, 1),
		acquireLock: make(chan struct{}, 1),
	}
	go func() {
		defer close(l.Done)
		l.run(ctx)
	}()
	return l
}

// Acquire returns the ID of the current lease. If there is none, it requests one
// from the store and returns the error of that call.
func (l *Lease) Acquire(ctx context.Context) (int64, error) {
	select {
	case l.acquireLock <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-l.acquireLock }()
	if id := l.ID(); id != 0 {
		return id, nil
	}
	sent := time.Now()
	id, err := l.store.Grant(ctx, l.options.TTL)
	if err != nil {
		return 0, err
	}
	l.setGranted(id, sent)
	signal(l.granted)
	return id, nil
}

// Poke asks for a renewal at once, such as when the store responds again after
// an outage. It does not wait for it.
func (l *Lease) Poke() { signal(l.poke) }

// signal sends on c unless a signal is pending already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ID returns the ID of the current lease, or 0 if there is none. A lease that
// cannot be renewed stays current until the store reports that it does not
// exist any more.
func (l *Lease) ID() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// Renewal returns the ID of the current lease, and when its grant or its last successful
// renewal was sent. The ID is 0 if there is no lease.
func (l *Lease) Renewal() (id int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.renewedAt
}

// IsValid reports whether the lease is certainly still valid in the store.
func (l *Lease) IsValid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id != 0 && time.Now().Before(l.validUntil)
}

// Close ends the renewals without revoking the lease. It does not wait; see Done.
func (l *Lease) Close() { l.cancel() }

// Revoke revokes the lease in the store, if there is one. The Lease has none from
// then on, even if the call fails.
func (l *Lease) Revoke(ctx context.Context) error {
	id := l.ID()
	if id == 0 {
		return nil
	}
	l.clear(id)
	return l.store.Revoke(ctx, id)
}

// run renews the lease after each interval, and when Poke asks for it.
func (l *Lease) run(ctx context.Context) {
	interval := l.options.TTL / renewalsPerTTL
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.granted:
		case <-l.poke:
			l.renew(ctx, interval)
		case <-timer.C:
			l.renew(ctx, interval)
		}
		timer.Reset(interval)
	}
}

// renew makes one attempt to renew the lease.
func (l *Lease) renew(ctx context.Context, timeout time.Duration) {
	id := l.ID()
	if id == 0 {
		return
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := l.store.Renew(callCtx, id)
	switch {
	case err == nil:
		if l.extend(id, sent) && l.options.Renewed != nil {
			l.options.Renewed()
		}
	case errors.Is(err, storer.ErrNoLease):
		l.log.Warn().Int64("lease", id).Msg("lease expired")
		if l.clear(id) && l.options.Ended != nil {
			l.options.Ended(id)
		}
	default:
		l.log.Debug().Err(err).Int64("lease", id).Msg("lease renewal failed")
	}
}

// setGranted records a lease whose grant was requested at sent.
func (l *Lease) setGranted(id int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.renewedAt = id, sent
	l.validUntil = sent.Add(l.options.TTL - l.options.Margin)
}

// extend records a renewal that was sent at sent. It returns false if the lease
// was revoked in the meantime.
func (l *Lease) extend(id int64, sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return false
	}
	l.renewedAt = sent
	l.validUntil = sent.Add(l.options.TTL - l.options.Margin)
	return true
}

// clear drops the lease. It returns false if id is not the current lease.
func (l *Lease) clear(id int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return false
	}
	l.id, l.renewedAt, l.validUntil = 0, time.Time{}, time.Time{}
	return true
}
