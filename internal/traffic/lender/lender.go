// Package lender shares the slots of each worker among entry hosts, so that
// the requests they have in flight never add up to more than the worker's
// slots. An entry host runs a limited number of requests on a worker at a time;
// a slot is the right to run one.
//
// # Model
//
// Half of a worker's slots form the base pool. It is divided into equal base
// shares, a fixed number in each failure domain. An entry host holds a
// [ShareLease] on one of them for many hours, recorded in the store, and uses
// its slots without asking anybody. They serve callers while the store or the
// owner of the worker's shard is unavailable.
//
// The other half is leased by the owner of the worker's shard for Options.Term
// at a time, in max-min fair shares of what the entry hosts ask for. A [Lender]
// is both sides: it requests slot leases for this entry host, and grants them
// for the shards that this daemon owns.
//
//	l := lender.New(options, table, caller, lease.IsValid, share, log)
//	node.Handle(messenger.Lend, l.Serve)
//
// # Safety
//
// The owner counts the term of a slot lease from the arrival of the request for
// it, the entry host from the moment at which it sent the request. A request
// takes a leased slot only if its deadline is before the lease expires, so
// nothing is in flight on an expired lease. A new owner grants nothing until a
// whole Term has passed, and a former owner grants slots only while its lease on
// the shard in the store is certain to hold.
package lender

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
)

// Caller sends a call to a peer and decodes the response into result.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Options configure a Lender. All entry hosts must have the same Term. Zero
// fields take defaults.
type Options struct {
	Name     string        // name of the entry host
	Domain   string        // failure domain of the entry host
	Term     time.Duration // lifetime of a slot lease; requests with a later deadline use base slots
	Margin   time.Duration // subtracted from Term, for clocks that run at different speeds
	Grace    time.Duration // a slot lease this close to its end is not used, so that idle connections can close in time
	Interval time.Duration // time between renewals of slot leases
}

// Defaults of Options.
const (
	DefaultTerm     = 15 * time.Second
	DefaultMargin   = 500 * time.Millisecond
	DefaultGrace    = 3 * time.Second
	DefaultInterval = 2 * time.Second
)

// Lender leases slots for this entry host and grants those of the shards that
// this daemon owns.
type Lender struct {
	Options Options
	Done    chan struct{} // closed when renewals have ended

	table       func() *describer.RoutingTable
	caller      Caller
	isOwner     func() bool
	share       *ShareLease
	log         zerolog.Logger
	stop        context.CancelFunc // ends run
	wake        chan struct{}      // triggers a renewal before the next interval
	incarnation int64              // start time in Unix nanoseconds

	lock            sync.Mutex
	workers         map[string]*workerSlots
	renewing        map[string]bool         // shards with a renewal in progress
	sequence        int64                   // number of the latest lease request
	closing         bool                    // set by HandBack: renewals ask for no slots
	openConnections func(worker string) int // number of open connections
	onGrowth        func()                  // called when more slots were granted

	grants grantTable
}

// New returns a lender that renews slot leases until Close. table returns the
// current routing table, which may be nil. isOwner reports whether this daemon's
// ownership of its shards is certain. A nil share means no base share.
func New(
	o Options,
	table func() *describer.RoutingTable,
	caller Caller,
	isOwner func() bool,
	share *ShareLease,
	log zerolog.Logger,
) *Lender {
	ctx, stop := context.WithCancel(context.Background())
	o = o.withDefaults()
	l := &Lender{
		Options:         o,
		Done:            make(chan struct{}),
		table:           table,
		caller:          caller,
		isOwner:         isOwner,
		share:           share,
		log:             log.With().Str("part", "lender").Logger(),
		stop:            stop,
		wake:            make(chan struct{}, 1),
		incarnation:     time.Now().UnixNano(),
		workers:         make(map[string]*workerSlots),
		renewing:        make(map[string]bool),
		openConnections: func(string) int { return 0 },
		onGrowth:        func() {},
		grants:          grantTable{startupDelay: o.Term + o.Margin, term: o.Term, shards: make(map[string]*shardGrants)},
	}
	go func() {
		defer close(l.Done)
		l.run(ctx)
	}()
	return l
}

func (o Options) withDefaults() Options {
	if o.Term <= 0 {
		o.Term = DefaultTerm
	}
	if o.Margin <= 0 {
		o.Margin = DefaultMargin
	}
	if o.Grace <= 0 {
		o.Grace = DefaultGrace
	}
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	return o
}

// Attach sets two functions: open returns the number of open connections to a
// worker, and the lender calls grown when more slots were granted.
func (l *Lender) Attach(open func(worker string) int, grown func()) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.openConnections = open
	l.onGrowth = grown
}

// Serve handles messenger.Lend: it grants slot leases for the shards that this
// daemon owns. Its errors are *classifier.Error values with verdict NotRun.
func (l *Lender) Serve(_ context.Context, params json.RawMessage) (any, error) {
	var request leaseRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errMalformed
	}
	return l.grant(&request)
}

// grant answers a lease request. It fails unless this daemon is certain to own
// the shard.
func (l *Lender) grant(request *leaseRequest) (*leaseReply, error) {
	table := l.table()
	if table == nil {
		return nil, errNotOwner
	}
	epoch, ok := table.Owned[request.Shard]
	if !ok {
		return nil, errNotOwner
	}
	reply, ok := l.grants.grant(request, epoch, table, l.isOwner, time.Now())
	if !ok {
		return nil, errNotOwner
	}
	return reply, nil
}

// HandBack returns all leased slots and the base share, so that other entry
// hosts can use them at once. It is for a planned stop, after the last request
// has ended.
func (l *Lender) HandBack(ctx context.Context) {
	l.lock.Lock()
	l.closing = true
	l.lock.Unlock()
	// The first request still reports the leased slots as held, the second one
	// reports them free.
	for _, shard := range l.activeShards() {
		l.renew(ctx, shard)
		l.renew(ctx, shard)
	}
	if l.share != nil {
		l.share.Release(ctx)
	}
}

// Close ends renewals. The slot leases expire by themselves.
func (l *Lender) Close() error {
	l.stop()
	<-l.Done
	return nil
}

// run renews the slot leases at every interval, and soon after a request found
// no slot.
func (l *Lender) run(ctx context.Context) {
	tick := time.NewTicker(l.Options.Interval)
	defer tick.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.wake:
		}
		for _, shard := range l.activeShards() {
			if !l.startRenewal(shard) {
				continue
			}
			calls.Go(func() {
				defer l.endRenewal(shard)
				l.renew(ctx, shard)
			})
		}
		l.waitPause(ctx)
	}
}

// minRenewalPause is the shortest time between two rounds of renewals, so that
// requests that find no slot do not cause a call each.
const minRenewalPause = 50 * time.Millisecond

// waitPause waits for minRenewalPause or until ctx ends.
func (l *Lender) waitPause(ctx context.Context) {
	timer := time.NewTimer(minRenewalPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startRenewal returns false if a renewal for the shard is in progress.
func (l *Lender) startRenewal(shard string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.renewing[shard] {
		return false
	}
	l.renewing[shard] = true
	return true
}

func (l *Lender) endRenewal(shard string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.renewing, shard)
}

var _ messenger.Handler = (*Lender)(nil).Serve
