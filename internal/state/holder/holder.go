// Package holder holds shards for a daemon: it carries out the effects of the
// control state that concern ownership and ledgers.
//
// # Model
//
// Ownership of a shard is an owner record in the store, bound to the daemon's
// lease, and an epoch in the shard's ledger. The record keeps claims from
// colliding and vanishes with a dead owner. It is a hint: safety rests on the
// epoch, since a fenced owner's appends fail however long it was paused.
//
//	h := holder.New(options, store, sink)
//	h.Do(reducer.Claim{Shard: "bne-1"})  // sink gets ShardClaimed or ClaimFailed
//	h.Do(reducer.Append{Shard: "bne-1", Epoch: 4, Batch: 1, Records: records})
//
// # Store outage
//
// While the store does not answer, an owner keeps its shards, and appends wait.
// Once the store says that the lease is gone, the holder writes the owner
// record again and compares the epoch: if nobody else has claimed the shard
// ownership simply goes on, otherwise the shard is lost. An owner that is cut
// off from a store which others reach cannot tell this from an outage; it goes
// on with an epoch that workers refuse after the successor's first call.
package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/state/journaler"
	"dotterelcart.dev/dotterelcart/internal/state/leaser"
)

// Store is the part of the store that a holder uses.
type Store interface {
	journaler.Store
	leaser.Store
}

// Defaults of Options.
const (
	DefaultTTL         = 10 * time.Second
	DefaultWriteBudget = 250.0
	DefaultTimeout     = 5 * time.Second
)

// Options configure a Holder. Zero values take the defaults.
type Options struct {
	Daemon      string        // name in membership
	Address     string        // for peers, ip:port
	TTL         time.Duration // of the store lease
	Margin      time.Duration // for clock drift; 0 is a tenth of TTL
	Timeout     time.Duration // of one store call
	WriteBudget float64       // segment writes a second of the whole fleet
	Log         zerolog.Logger
}

// Holder owns shards. Do never blocks; events come from one goroutine, in
// order for each shard.
type Holder struct {
	Done chan struct{} // closed when nothing will be written or reported any more

	options Options
	store   *watchedStore
	lease   *leaser.Lease
	log     zerolog.Logger
	nonce   string // of this instance, told apart from an earlier process of the same name
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	shards  atomic.Int64 // of the whole fleet

	mu      sync.Mutex
	seats   map[string]*seat
	known   bool // reached was reported
	reached bool
	closed  bool
	outbox  []reducer.Event
	wake    chan struct{}
}

// seat is one shard that is being claimed, held or released.
type seat struct {
	shard     string
	phase     phase
	ledger    *journaler.Ledger // from held on
	revision  int64             // of the owner record
	lease     int64             // that the owner record is bound to
	asserting bool              // the owner record is being written again
}

type phase uint8

const (
	claiming phase = iota
	held
	releasing
)

// New starts a Holder. The sink is called from one goroutine.
func New(o Options, store Store, sink func(reducer.Event)) *Holder {
	o.fill()
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{
		Done:    make(chan struct{}),
		options: o,
		log:     o.Log.With().Str("part", "holder").Logger(),
		nonce:   uuid.NewString(),
		ctx:     ctx,
		cancel:  cancel,
		seats:   map[string]*seat{},
		wake:    make(chan struct{}, 1),
	}
	h.store = &watchedStore{Store: store, report: h.noted}
	h.lease = leaser.New(leaser.Options{
		TTL:     o.TTL,
		Margin:  o.Margin,
		Renewed: h.renewed,
		Ended:   func(int64) { h.reassertAll() },
		Log:     o.Log,
	}, h.store)
	go func() {
		defer close(h.Done)
		h.deliver(sink)
		h.tasks.Wait()
		<-h.lease.Done
	}()
	return h
}

// Do carries out Claim, Release, Append and SaveSnapshot; it returns false for
// any other effect.
func (h *Holder) Do(e reducer.Effect) bool {
	switch e := e.(type) {
	case reducer.Claim:
		h.claim(e.Shard)
	case reducer.Release:
		h.release(e.Shard, e.Epoch)
	case reducer.Append:
		h.append(e)
	case reducer.SaveSnapshot:
		h.save(e)
	default:
		return false
	}
	return true
}

// SetShardCount tells the number of shards in the fleet, by which the write budget
// is divided.
func (h *Holder) SetShardCount(n int) { h.shards.Store(int64(n)) }

// IsLeaseValid reports whether the store lease holds for certain, so that nobody
// else can have claimed this daemon's shards.
func (h *Holder) IsLeaseValid() bool { return h.lease.IsValid() }

// StoreCalls returns the store calls made so far, by operation.
func (h *Holder) StoreCalls() map[string]int64 { return h.store.calls() }

// Close ends the holder and revokes its lease, so that others can claim at
// once. Appends that wait are dropped; Release shards first to keep them.
func (h *Holder) Close(ctx context.Context) error {
	h.mu.Lock()
	closed := h.closed
	h.closed = true
	for _, s := range h.seats {
		if s.ledger != nil {
			s.ledger.Close()
		}
	}
	h.mu.Unlock()
	if closed {
		return nil
	}
	h.cancel()
	h.lease.Close()
	return h.lease.Revoke(ctx)
}

// pace is the shortest time between two flushes of one shard.
func (h *Holder) pace() time.Duration {
	n := h.shards.Load()
	if n == 0 {
		h.mu.Lock()
		n = int64(len(h.seats))
		h.mu.Unlock()
	}
	return time.Duration(float64(n) / h.options.WriteBudget * float64(time.Second))
}

// post queues an event; h.mu is held.
func (h *Holder) post(e reducer.Event) {
	h.outbox = append(h.outbox, e)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Holder) deliver(sink func(reducer.Event)) {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
		}
		h.mu.Lock()
		events := h.outbox
		h.outbox = nil
		h.mu.Unlock()
		for _, e := range events {
			sink(e)
		}
	}
}

func (o *Options) fill() {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Margin <= 0 {
		o.Margin = o.TTL / 10
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WriteBudget <= 0 {
		o.WriteBudget = DefaultWriteBudget
	}
}
