package storer

import "context"

// Transaction is an all-or-nothing change: when every condition holds, the
// writes and removals take effect under one revision.
type Transaction struct {
	If     []Condition
	Put    []Write
	Remove []string // keys
}

// Condition expects a key at a revision; 0 means that it must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key. With Lease != 0 the key vanishes when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// MaxEntries is the most conditions, writes and removals of one transaction together.
const MaxEntries = 32

// Committer is the part of a store that takes transactions.
type Committer interface {
	// Commit returns the revision of the change, or ErrConflict when a
	// condition does not hold.
	Commit(ctx context.Context, tx Transaction) (int64, error)
}
