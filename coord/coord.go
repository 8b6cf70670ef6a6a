// Package coord offers dotterelcart's coordination parts to other programs.
//
// It holds no logic: types are aliases of those under internal/, constructors
// pass on to theirs. What the parts need from outside is a [Store] with
// compare-and-swap and leases, and a [Node] for calls between processes.
//
// # Parts
//
//   - [Lease]: a store lease with renewals, valid by the local monotonic clock.
//   - [Ledger]: an append-only log of one writer; a greater epoch fences the
//     former writer, however long it was paused.
//   - [Lender] and [Seat]: slots of a shared server, lent for bounded times so
//     that they never add up to more than it has.
//   - [Verdict]: whether a failed request may have run.
//   - [Members]: who is alive, by heartbeats with suspicion and refutation.
//
// # Safety
//
// Only the ledger and the fencing tokens made from its epoch decide who may
// act. A lease that looks valid, and membership, only save time.
package coord

import (
	"context"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/gossiper"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/journaler"
	"dotterelcart.dev/dotterelcart/internal/state/leaser"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/lender"
)

// The store and its values.
type (
	// Store is a key-value store with compare-and-swap, leases and watches.
	Store = storer.Store
	// Item is a key with its value and revision.
	Item = storer.Item
)

// Errors of a Store, found with errors.Is.
var (
	ErrNotFound = storer.ErrNotFound
	ErrConflict = storer.ErrConflict
	ErrNoLease  = storer.ErrNoLease
)

// Leases.
type (
	// Lease is one store lease with its renewals.
	Lease = leaser.Lease
	// LeaseOptions configure a Lease.
	LeaseOptions = leaser.Options
)

// NewLease starts a lease that has not been granted yet.
func NewLease(o LeaseOptions, store Store) *Lease { return leaser.New(o, store) }

// Ledgers.
type (
	// Ledger is the open log of one writer.
	Ledger = journaler.Ledger
	// LedgerOptions configure a Ledger.
	LedgerOptions = journaler.Options
	// LedgerContent is what a ledger held when it was opened.
	LedgerContent = journaler.Content
	// Record is one durable transition.
	Record = describer.Record
	// Token fences the runs of one task: epoch and sequence.
	Token = describer.Token
)

// ErrFenced says that another writer has opened the ledger.
var ErrFenced = journaler.ErrFenced

// OpenLedger claims a ledger under a greater epoch, fences the former writer
// and returns the content. It tries until ctx ends.
func OpenLedger(ctx context.Context, o LedgerOptions, store Store) (*Ledger, LedgerContent, error) {
	return journaler.Open(ctx, o, store)
}

// Verdicts.
type (
	// Verdict says whether a failed request may have been executed.
	Verdict = classifier.Verdict
	// Error is a failure with its verdict.
	Error = classifier.Error
)

// The verdicts.
const (
	MayHaveRun = classifier.MayHaveRun
	NotRun     = classifier.NotRun
	Ran        = classifier.Ran
)

// VerdictOf returns the verdict of err, MayHaveRun if it has none.
func VerdictOf(err error) Verdict { return classifier.VerdictOf(err) }

// Calls between processes and membership.
type (
	// Node serves and calls methods between processes.
	Node = messenger.Node
	// NodeOptions configure a Node.
	NodeOptions = messenger.Options
	// Members is one process's view of who is alive.
	Members = gossiper.Gossiper
	// MembersOptions configure Members.
	MembersOptions = gossiper.Options
	// Member is a process as membership sees it.
	Member = reducer.Peer
)

// NewNode listens and serves calls from other nodes.
func NewNode(o NodeOptions) (*Node, error) { return messenger.New(o) }

// NewMembers starts membership. The sink gets the members believed to be
// alive, this one included, whenever they change.
func NewMembers(o MembersOptions, node *Node, sink func([]Member)) *Members {
	return gossiper.New(o, node, sink)
}

// Slots of shared servers.
type (
	// Lender borrows slots for this process and lends those of its shards.
	Lender = lender.Lender
	// LenderOptions configure a Lender.
	LenderOptions = lender.Options
	// Seat is a right to a base share that needs nobody's consent.
	Seat = lender.ShareLease
	// Backend is a shared server.
	Backend = describer.Backend
	// Table says who owns which shard.
	Table = describer.RoutingTable
)

// NewSeat seeks a seat in the domain until Close and keeps it.
func NewSeat(store Store, domain, name string, log zerolog.Logger) *Seat {
	return lender.NewShareLease(store, domain, name, lender.DefaultTerm, log)
}

// NewLender starts borrowing and lending. valid reports whether this process
// owns its shards for certain.
func NewLender(
	o LenderOptions, table func() *Table, caller lender.Caller, valid func() bool, seat *Seat, log zerolog.Logger,
) *Lender {
	return lender.New(o, table, caller, valid, seat, log)
}
