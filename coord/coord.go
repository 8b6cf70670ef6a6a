// Package coord exports the coordination components of dotterelcart to other
// programs.
//
// It contains no logic: its types are aliases of types under internal/, and its
// constructors call theirs. The components need a [Store], which is a key-value
// store with compare-and-swap and leases, and a [Node] for calls between
// processes.
//
// # Components
//
//   - [Lease]: a store lease that is renewed in the background, whose validity is
//     computed with the local monotonic clock.
//   - [Ledger]: an append-only log with one writer. A writer that claims it under
//     a greater epoch fences the previous one, however long that was paused.
//   - [Lender] and [Seat]: slots of a shared server, lent to processes for limited
//     times so that the requests in flight never exceed the slots of the server.
//   - [Verdict]: whether a failed request may have been executed.
//   - [Members]: the processes that are alive, found out by heartbeats with
//     suspicion and refutation.
//
// # Safety
//
// Only the ledger, and the fencing tokens made from its epoch, decide which
// process may act. A valid lease and the membership are hints that save time.
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

// Types of the store.
type (
	// Store is a key-value store with compare-and-swap, leases and watches.
	Store = storer.Store
	// Item is a key with its value and revision.
	Item = storer.Item
)

// Errors that a Store returns, to be tested with errors.Is.
var (
	// ErrNotFound is returned for a key that does not exist.
	ErrNotFound = storer.ErrNotFound
	// ErrConflict is returned when a key does not have the expected revision.
	ErrConflict = storer.ErrConflict
	// ErrNoLease is returned for a lease that does not exist or has expired.
	ErrNoLease = storer.ErrNoLease
)

// Types of leases.
type (
	// Lease is one store lease that is renewed in the background.
	Lease = leaser.Lease
	// LeaseOptions configure a Lease.
	LeaseOptions = leaser.Options
)

// NewLease returns a lease, which the store grants on the first call of Acquire.
// The caller must call Close to end its renewals.
func NewLease(o LeaseOptions, store Store) *Lease { return leaser.New(o, store) }

// Types of ledgers.
type (
	// Ledger is an append-only log that is open for writing.
	Ledger = journaler.Ledger
	// LedgerOptions configure a Ledger.
	LedgerOptions = journaler.Options
	// LedgerContent is the content of a ledger at the time when it was opened.
	LedgerContent = journaler.Content
	// Record is one entry of a ledger.
	Record = describer.Record
	// Token is a fencing token for the runs of one task: the epoch of a ledger
	// and a sequence number.
	Token = describer.Token
)

// ErrFenced is returned when another writer has claimed the ledger.
var ErrFenced = journaler.ErrFenced

// OpenLedger claims a ledger under the next epoch, which fences the previous
// writer, and returns its content. It retries until ctx ends, and returns
// ErrFenced if another writer claimed the ledger in the meantime. The end of ctx
// does not end the open ledger.
func OpenLedger(ctx context.Context, o LedgerOptions, store Store) (*Ledger, LedgerContent, error) {
	return journaler.Open(ctx, o, store)
}

// Types of failures.
type (
	// Verdict says whether a failed request may have been executed.
	Verdict = classifier.Verdict
	// Error is an error with a verdict.
	Error = classifier.Error
)

// Verdicts.
const (
	// MayHaveRun means that the request may have been executed or may still be.
	// It is the zero value.
	MayHaveRun = classifier.MayHaveRun
	// NotRun means that the request has not been executed and will not be.
	NotRun = classifier.NotRun
	// Ran means that the request was executed.
	Ran = classifier.Ran
)

// VerdictOf returns the verdict of err, or MayHaveRun if err has none.
func VerdictOf(err error) Verdict { return classifier.VerdictOf(err) }

// Types of calls between processes and of membership.
type (
	// Node calls methods of other processes and serves their calls.
	Node = messenger.Node
	// NodeOptions configure a Node.
	NodeOptions = messenger.Options
	// Members is the view that one process has of the members that are alive.
	Members = gossiper.Gossiper
	// MembersOptions configure Members.
	MembersOptions = gossiper.Options
	// Member is a process that takes part in membership.
	Member = reducer.Peer
)

// NewNode starts to listen for calls from other nodes and to serve them.
func NewNode(o NodeOptions) (*Node, error) { return messenger.New(o) }

// NewMembers joins the membership. The sink is called with the members that are
// believed to be alive, this one included, whenever they change.
func NewMembers(o MembersOptions, node *Node, sink func([]Member)) *Members {
	return gossiper.New(o, node, sink)
}

// Types of shared servers and their slots.
type (
	// Lender borrows slots for this process and lends the slots of the servers in
	// the shards that the process owns.
	Lender = lender.Lender
	// LenderOptions configure a Lender.
	LenderOptions = lender.Options
	// Seat is the right of a process to a fixed share of the slots, which it may
	// use without borrowing.
	Seat = lender.ShareLease
	// Backend is a shared server.
	Backend = describer.Backend
	// Table is a routing table: the backends of each service and the owner of
	// each shard.
	Table = describer.RoutingTable
)

// NewSeat tries to get a seat in the failure domain for the process called name,
// and keeps it until Close.
func NewSeat(store Store, domain, name string, log zerolog.Logger) *Seat {
	return lender.NewShareLease(store, domain, name, lender.DefaultTerm, log)
}

// NewLender starts to borrow and lend slots. The function valid must report
// whether this process certainly owns its shards. The seat may be nil, which
// means no fixed share.
func NewLender(
	o LenderOptions, table func() *Table, caller lender.Caller, valid func() bool, seat *Seat, log zerolog.Logger,
) *Lender {
	return lender.New(o, table, caller, valid, seat, log)
}
