// Package holder claims shards for a daemon, writes their ledgers and releases
// them, as the effects of the control state (package reducer) ask for it.
//
// # Model
//
// The owner of a shard has an owner record in the store, bound to the daemon's
// store lease, and an epoch in the shard's ledger. The record prevents
// concurrent claims, and the store deletes it when the owner dies and its lease
// expires. It is only a hint. Safety rests on the epoch: the appends of a
// fenced owner fail, however long it was paused.
//
//	h := holder.New(options, store, sink)
//	h.Do(reducer.ClaimShard{Shard: "bne-1"}) // sink receives ShardClaimed or ClaimFailed
//	h.Do(reducer.AppendRecords{Shard: "bne-1", Epoch: 4, Batch: 1, Records: records})
//
// # Store outage
//
// While the store does not respond, an owner keeps its shards, and appends wait.
// Once the store reports that the lease is gone, the holder writes the owner
// records again and checks the epochs. If nobody else has claimed a shard, its
// ownership continues; otherwise the shard is lost. An owner that is partitioned
// from a store which others can reach cannot tell this from an outage. It
// continues with its epoch, which workers reject after the first call of the
// next owner.
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

// Store is the subset of the store operations that a holder uses.
type Store interface {
	journaler.Store
	leaser.Store
}

// Defaults of Options.
const (
	DefaultTTL         = 10 * time.Second
	DefaultWriteBudget = 250.0 // segment writes per second
	DefaultTimeout     = 5 * time.Second
)

// Options configure a Holder. Zero values take the defaults.
type Options struct {
	Daemon  string        // name of the daemon in membership
	Address string        // ip:port at which peers reach the daemon
	TTL     time.Duration // time to live of the store lease
	Margin  time.Duration // allowance for clock drift during one TTL; 0 means a tenth of TTL
	Timeout time.Duration // limit of one store call

	// WriteBudget is the number of segment writes per second of all daemons
	// together. All shards share it equally.
	WriteBudget float64

	Log zerolog.Logger
}

// Holder owns the shards of a daemon. Its methods may be called concurrently.
type Holder struct {
	Done chan struct{} // closed when the holder will not write or report any more

	options Options
	store   *monitoredStore
	lease   *leaser.Lease
	log     zerolog.Logger
	nonce   string // random id of this instance; differs from that of an earlier process of the same name
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	totalShards atomic.Int64 // number of shards of all daemons, 0 if not known

	mu             sync.Mutex // guards the fields below, except wake
	shards         map[string]*shardState
	reachableKnown bool // reachable has been reported
	reachable      bool // the store responds
	closed         bool
	events         []reducer.Event // events not delivered yet
	wake           chan struct{}   // wakes deliver
}

// shardState is a shard that is being claimed, held or released.
type shardState struct {
	shard         string
	phase         phase
	ledger        *journaler.Ledger // nil while claiming
	ownerRevision int64             // revision of the owner record, 0 if not known
	lease         int64             // lease that the owner record is bound to
	restoring     bool              // the owner record is being written again
}

// phase is where a shard is on its way from claim to release.
type phase uint8

const (
	claiming phase = iota
	held
	releasing
)

// New starts a Holder. The sink is called from one goroutine; the events of
// each shard arrive in order.
func New(o Options, store Store, sink func(reducer.Event)) *Holder {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{
		Done:    make(chan struct{}),
		options: o,
		log:     o.Log.With().Str("part", "holder").Logger(),
		nonce:   uuid.NewString(),
		ctx:     ctx,
		cancel:  cancel,
		shards:  map[string]*shardState{},
		wake:    make(chan struct{}, 1),
	}
	h.store = &monitoredStore{Store: store, onCall: h.onStoreCall}
	h.lease = leaser.New(leaser.Options{
		TTL:     o.TTL,
		Margin:  o.Margin,
		Renewed: h.onRenewal,
		Ended:   func(int64) { h.restoreOwners() },
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

// Do starts to carry out a ClaimShard, ReleaseShard, AppendRecords or
// SaveSnapshot
// effect, and returns false for any other. It does not wait for the
// store.
func (h *Holder) Do(e reducer.Effect) bool {
	switch e := e.(type) {
	case reducer.ClaimShard:
		h.claim(e.Shard)
	case reducer.ReleaseShard:
		h.release(e.Shard, e.Epoch)
	case reducer.AppendRecords:
		h.append(e)
	case reducer.SaveSnapshot:
		h.save(e)
	default:
		return false
	}
	return true
}

// SetShardCount sets the number of shards of all daemons, by which the write
// budget is divided. Until then, the shards of this holder share all of it.
func (h *Holder) SetShardCount(n int) { h.totalShards.Store(int64(n)) }

// IsLeaseValid reports whether the store lease is certainly valid, so that no
// other daemon can have claimed this daemon's shards.
func (h *Holder) IsLeaseValid() bool { return h.lease.IsValid() }

// StoreCalls returns the number of store calls so far, by operation. Canceled
// calls are not counted.
func (h *Holder) StoreCalls() map[string]int64 { return h.store.calls() }

// Close ends the holder and revokes its lease, so that others can claim its
// shards at once. Appends that are not written yet are dropped; to keep them,
// release the shards first.
func (h *Holder) Close(ctx context.Context) error {
	h.mu.Lock()
	closed := h.closed
	h.closed = true
	for _, s := range h.shards {
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

// writeInterval returns the shortest time between two segment writes of a shard.
func (h *Holder) writeInterval() time.Duration {
	n := h.totalShards.Load()
	if n == 0 {
		h.mu.Lock()
		n = int64(len(h.shards))
		h.mu.Unlock()
	}
	return time.Duration(float64(n) / h.options.WriteBudget * float64(time.Second))
}

// queueEvent queues an event for the sink; h.mu is held.
func (h *Holder) queueEvent(e reducer.Event) {
	h.events = append(h.events, e)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// deliver passes queued events to the sink until the holder is closed.
func (h *Holder) deliver(sink func(reducer.Event)) {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
		}
		h.mu.Lock()
		events := h.events
		h.events = nil
		h.mu.Unlock()
		for _, e := range events {
			sink(e)
		}
	}
}

func (o *Options) setDefaults() {
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
