// Package leaser keeps one lease of the platform's store alive.
//
// # Model
//
// A daemon that owns shards has one lease in the store, to which its owner
// records are bound. The lease is granted on first use and renewed three times
// in its time to live. Whether it still holds is judged on the local monotonic
// clock from the moment at which the last successful renewal was SENT: the
// store cannot have begun to count earlier, so the lease holds at least until
// that moment plus the time to live, less a margin for clocks that run at
// different speeds.
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

// Store is the part of the store that a lease uses.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Renew(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}

// renewals is the number of renewals in a time to live.
const renewals = 3

// Options configure a Lease.
type Options struct {
	TTL     time.Duration
	Margin  time.Duration   // for clock drift
	Renewed func()          // called after each successful renewal
	Ended   func(old int64) // called when the store has answered that the lease is gone
	Log     zerolog.Logger
}

// Lease is one store lease with its renewals. It is safe for concurrent use.
type Lease struct {
	Done chan struct{} // closed when renewals have ended

	options Options
	store   Store
	log     zerolog.Logger
	cancel  context.CancelFunc
	granted chan struct{}
	poke    chan struct{}
	acquire chan struct{} // held by the goroutine that asks for a grant

	mu    sync.Mutex
	id    int64 // 0 is none
	until time.Time
}

// New starts a Lease that has not been granted yet.
func New(o Options, store Store) *Lease {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lease{
		Done:    make(chan struct{}),
		options: o,
		store:   store,
		log:     o.Log.With().Str("part", "leaser").Logger(),
		cancel:  cancel,
		granted: make(chan struct{}, 1),
		poke:    make(chan struct{}, 1),
		acquire: make(chan struct{}, 1),
	}
	go func() {
		defer close(l.Done)
		l.run(ctx)
	}()
	return l
}

// Acquire returns the lease in force, or has one granted.
func (l *Lease) Acquire(ctx context.Context) (int64, error) {
	select {
	case l.acquire <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-l.acquire }()
	if id := l.ID(); id != 0 {
		return id, nil
	}
	sent := time.Now()
	id, err := l.store.Grant(ctx, l.options.TTL)
	if err != nil {
		return 0, err
	}
	l.set(id, sent)
	signal(l.granted)
	return id, nil
}

// Poke renews the lease soon, such as when the store answers again.
func (l *Lease) Poke() { signal(l.poke) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ID returns the lease in force, or 0. A lease stays in force until the store
// says that it is gone, also when it cannot be renewed.
func (l *Lease) ID() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// IsValid reports whether the lease holds for certain.
func (l *Lease) IsValid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id != 0 && time.Now().Before(l.until)
}

// Close ends renewals without revoking.
func (l *Lease) Close() { l.cancel() }

// Revoke ends the lease in the store.
func (l *Lease) Revoke(ctx context.Context) error {
	id := l.ID()
	if id == 0 {
		return nil
	}
	l.forget(id)
	return l.store.Revoke(ctx, id)
}

func (l *Lease) run(ctx context.Context) {
	interval := l.options.TTL / renewals
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

func (l *Lease) renew(ctx context.Context, timeout time.Duration) {
	id := l.ID()
	if id == 0 {
		return
	}
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := l.store.Renew(call, id)
	switch {
	case err == nil:
		if l.extend(id, sent) && l.options.Renewed != nil {
			l.options.Renewed()
		}
	case errors.Is(err, storer.ErrNoLease):
		l.log.Warn().Int64("lease", id).Msg("Lease is gone.")
		if l.forget(id) && l.options.Ended != nil {
			l.options.Ended(id)
		}
	default:
		l.log.Debug().Err(err).Int64("lease", id).Msg("Lease not renewed.")
	}
}

func (l *Lease) set(id int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
	l.until = sent.Add(l.options.TTL - l.options.Margin)
}

// extend does nothing when the lease was revoked in the meantime.
func (l *Lease) extend(id int64, sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return false
	}
	l.until = sent.Add(l.options.TTL - l.options.Margin)
	return true
}

func (l *Lease) forget(id int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return false
	}
	l.id, l.until = 0, time.Time{}
	return true
}
