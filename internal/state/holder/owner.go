package holder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/journaler"
)

// ownerRecord is the value stored at the owner key of a shard.
type ownerRecord struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"`
	Nonce   string `json:"nonce"`
}

// ownedError is returned when another daemon's owner record exists.
type ownedError struct{ owner string }

func (e *ownedError) Error() string { return "holder: shard is owned by " + e.owner }

func ownerKey(shard string) string { return journaler.ShardKey(shard, "owner") }

// writeOwner writes the owner record, bound to the lease, and returns its
// revision. It replaces a record of this instance, which may exist because the
// response to an earlier write was lost or because the record is bound to an
// earlier lease. It returns an ownedError if the record is another's.
func (h *Holder) writeOwner(ctx context.Context, shard string, lease int64) (int64, error) {
	value, err := json.Marshal(ownerRecord{h.options.Daemon, h.options.Address, h.nonce})
	if err != nil {
		return 0, fmt.Errorf("holder: encode owner: %w", err)
	}
	revision, err := h.store.Swap(ctx, ownerKey(shard), value, 0, lease)
	if err == nil {
		return revision, nil
	}
	item, getErr := h.store.Get(ctx, ownerKey(shard))
	switch {
	case errors.Is(getErr, storer.ErrNotFound):
		return 0, err
	case getErr != nil:
		return 0, getErr
	}
	var record ownerRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return 0, fmt.Errorf("holder: decode owner: %w", err)
	}
	if record.Nonce != h.nonce {
		return 0, &ownedError{record.Daemon}
	}
	// The record is written again even if it is bound to the same lease: a
	// delete of it that is still in progress then fails, as it expects the old
	// revision.
	return h.store.Swap(ctx, ownerKey(shard), value, item.Revision, lease)
}

// deleteOwner deletes the owner record of this instance and reports whether the
// record is gone. Revision 0 means that the outcome of the last write is
// unknown, so that the record is read first.
func (h *Holder) deleteOwner(ctx context.Context, shard string, revision int64) bool {
	if revision == 0 {
		item, err := h.store.Get(ctx, ownerKey(shard))
		if err != nil {
			return errors.Is(err, storer.ErrNotFound)
		}
		var record ownerRecord
		if json.Unmarshal(item.Value, &record) != nil || record.Nonce != h.nonce {
			return true
		}
		revision = item.Revision
	}
	err := h.store.Delete(ctx, ownerKey(shard), revision)
	return err == nil || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound)
}
