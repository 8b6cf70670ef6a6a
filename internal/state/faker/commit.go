package faker

import (
	"context"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

var _ storer.Committer = (*Client)(nil)

// Commit implements storer.Committer. The fault and delay functions receive the
// key and value of the first write.
func (c *Client) Commit(ctx context.Context, tx storer.Transaction) (revision int64, err error) {
	var first storer.Write
	if len(tx.Put) > 0 {
		first = tx.Put[0]
	}
	err = c.do(ctx, "commit", first.Key, first.Value, func(s *Store, _ bool) error {
		for _, condition := range tx.If {
			if s.items[condition.Key].Revision != condition.Revision {
				return rejected(storer.ErrConflict)
			}
		}
		for _, w := range tx.Put {
			if w.Lease != 0 && s.leases[w.Lease] == nil {
				return rejected(storer.ErrNoLease)
			}
		}
		for _, w := range tx.Put {
			revision = s.put(w.Key, w.Value, w.Lease)
		}
		for _, w := range tx.Put { // all writes of a transaction have the same revision
			item := s.items[w.Key]
			item.Revision = revision
			s.items[w.Key] = item
		}
		for _, key := range tx.Remove {
			if _, ok := s.items[key]; ok {
				s.remove(key)
			}
		}
		return nil
	})
	return revision, err
}
