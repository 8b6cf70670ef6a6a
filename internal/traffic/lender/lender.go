// Package lender shares the slots of each worker among entry hosts, so that
// the requests they have in flight never add up to more than the worker has.
//
// # Model
//
// Half of a worker's slots form the base pool, divided into equal shares for
// the seats of its failure domain. An entry host holds a [ShareLease] for many
// hours, recorded in the store, and uses its share without asking anybody;
// that is what serves callers while the store or the shard's owner is away.
//
// The other half is lent by the owner of the worker's shard for Options.Term
// at a time, in max-min fair shares of what the entry hosts want. A [Lender]
// is both sides: it borrows for this entry host, and lends for the shards
// that this daemon owns.
//
//	l := lender.New(options, table, caller, lease.IsValid, seat, log)
//	node.Handle(messenger.Lend, l.Serve)
//
// # Safety
//
// A loan is counted by the lending side from when the request for it arrived,
// by the borrowing side from when it was sent. A request takes a lent slot only
// if its deadline is within the loan, so nothing is in flight on a lapsed one.
// A new owner lends nothing until a whole Term has passed; a former one lends
// only while its lease in the store holds for certain.
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

// Caller sends a call to a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Options are the bounds of lending. All entry hosts must have the same Term.
// Zero fields take defaults.
type Options struct {
	Name     string        // of the entry host
	Domain   string        // its failure domain
	Term     time.Duration // of a loan; requests with a later deadline use base slots
	Margin   time.Duration // for clocks that run at different speeds
	Grace    time.Duration // loans this close to their end are not used; idle connections close meanwhile
	Interval time.Duration // between renewals
}

// Defaults of Options.
const (
	DefaultTerm     = 15 * time.Second
	DefaultMargin   = 500 * time.Millisecond
	DefaultGrace    = 3 * time.Second
	DefaultInterval = 2 * time.Second
)

// Lender borrows slots for this entry host and lends those of its shards.
type Lender struct {
	Options Options
	Done    chan struct{} // closed when renewals have ended

	table  func() *describer.RoutingTable
	caller Caller
	valid  func() bool
	seat   *ShareLease
	log    zerolog.Logger
	stop   context.CancelFunc
	wake   chan struct{}
	born   int64

	lock     sync.Mutex
	accounts map[string]*account // by worker
	asking   map[string]bool     // by shard
	sequence int64
	closing  bool
	open     func(worker string) int
	grown    func()

	books books
}

// New returns a lender that renews loans until Close. Valid reports whether
// this daemon's ownership of its shards holds for certain. Seat may be nil,
// which means no base share.
func New(
	o Options,
	table func() *describer.RoutingTable,
	caller Caller,
	valid func() bool,
	seat *ShareLease,
	log zerolog.Logger,
) *Lender {
	ctx, stop := context.WithCancel(context.Background())
	o = o.withDefaults()
	l := &Lender{
		Options:  o,
		Done:     make(chan struct{}),
		table:    table,
		caller:   caller,
		valid:    valid,
		seat:     seat,
		log:      log.With().Str("part", "lender").Logger(),
		stop:     stop,
		wake:     make(chan struct{}, 1),
		born:     time.Now().UnixNano(),
		accounts: make(map[string]*account),
		asking:   make(map[string]bool),
		open:     func(string) int { return 0 },
		grown:    func() {},
		books:    books{wait: o.Term + o.Margin, term: o.Term, shards: make(map[string]*book)},
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

// Attach tells the lender how many connections are open to a worker and whom
// to tell when more slots were lent.
func (l *Lender) Attach(open func(worker string) int, grown func()) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.open = open
	l.grown = grown
}

// Serve answers messenger.Lend for the shards that this daemon owns.
func (l *Lender) Serve(_ context.Context, params json.RawMessage) (any, error) {
	var a ask
	if err := json.Unmarshal(params, &a); err != nil {
		return nil, errMalformed
	}
	return l.lend(&a)
}

func (l *Lender) lend(a *ask) (*loans, error) {
	table := l.table()
	if table == nil {
		return nil, errNotOwner
	}
	epoch, ok := table.Owned[a.Shard]
	if !ok {
		return nil, errNotOwner
	}
	out, ok := l.books.lend(a, epoch, table, l.valid, time.Now())
	if !ok {
		return nil, errNotOwner
	}
	return out, nil
}

// HandBack gives up every loan, for a planned stop after the last request.
func (l *Lender) HandBack(ctx context.Context) {
	l.lock.Lock()
	l.closing = true
	l.lock.Unlock()
	for _, shard := range l.shards() {
		l.borrow(ctx, shard)
		l.borrow(ctx, shard)
	}
	if l.seat != nil {
		l.seat.Release(ctx)
	}
}

// Close ends renewals. Loans lapse by themselves.
func (l *Lender) Close() error {
	l.stop()
	<-l.Done
	return nil
}

// run renews loans at every interval, and at once when a request found no slot.
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
		for _, shard := range l.shards() {
			if !l.begin(shard) {
				continue
			}
			calls.Go(func() {
				defer l.end(shard)
				l.borrow(ctx, shard)
			})
		}
		l.pause(ctx)
	}
}

// wakeDelay bounds how often unmet wants cause calls.
const wakeDelay = 50 * time.Millisecond

func (l *Lender) pause(ctx context.Context) {
	timer := time.NewTimer(wakeDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (l *Lender) begin(shard string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.asking[shard] {
		return false
	}
	l.asking[shard] = true
	return true
}

func (l *Lender) end(shard string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.asking, shard)
}

var _ messenger.Handler = (*Lender)(nil).Serve
