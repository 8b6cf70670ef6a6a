package storer

import "context"

// Transaction is an atomic change. If all conditions hold, all its writes and deletions
// take effect under one revision; otherwise none does.
type Transaction struct {
	If     []Condition
	Put    []Write
	Remove []string // keys to delete
}

// Condition requires that a key has the given revision. Revision 0 requires that the
// key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets the value of a key. If Lease is not 0, the key is deleted when that lease
// ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// MaxEntries is the maximum number of conditions, writes and deletions of a transaction
// together.
const MaxEntries = 32

// Committer is implemented by stores that support transactions.
type Committer interface {
	// Commit executes tx and returns the revision of the change, or ErrConflict if a
	// condition does not hold.
	Commit(ctx context.Context, tx Transaction) (int64, error)
}
