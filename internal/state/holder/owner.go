package holder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/journaler"
)

// owner is the value of a shard's owner record.
type owner struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"`
	Nonce   string `json:"nonce"`
}

// takenError says that another daemon's owner record stands.
type takenError struct{ owner string }

func (e *takenError) Error() string { return "holder: shard is owned by " + e.owner }

func ownerKey(shard string) string { return journaler.ShardKey(shard, "owner") }

// take writes the owner record under a lease and returns its revision. A
// record of this very instance, left by a lost answer or bound to an earlier
// lease, is replaced.
func (h *Holder) take(ctx context.Context, shard string, lease int64) (int64, error) {
	value, err := json.Marshal(owner{h.options.Daemon, h.options.Address, h.nonce})
	if err != nil {
		return 0, fmt.Errorf("holder: encode owner: %w", err)
	}
	revision, err := h.store.Swap(ctx, ownerKey(shard), value, 0, lease)
	if err == nil {
		return revision, nil
	}
	item, found := h.store.Get(ctx, ownerKey(shard))
	switch {
	case errors.Is(found, storer.ErrNotFound):
		return 0, err
	case found != nil:
		return 0, found
	}
	var o owner
	if err := json.Unmarshal(item.Value, &o); err != nil {
		return 0, fmt.Errorf("holder: decode owner: %w", err)
	}
	if o.Nonce != h.nonce {
		return 0, &takenError{o.Daemon}
	}
	// Written again also under the same lease: a delete that is still under way
	// then names an old revision.
	return h.store.Swap(ctx, ownerKey(shard), value, item.Revision, lease)
}

// leave deletes the owner record, unless it is another's. Revision 0 means
// that a write of unknown outcome may have left one. It reports whether the
// record is gone.
func (h *Holder) leave(ctx context.Context, shard string, revision int64) bool {
	if revision == 0 {
		item, err := h.store.Get(ctx, ownerKey(shard))
		if err != nil {
			return errors.Is(err, storer.ErrNotFound)
		}
		var o owner
		if json.Unmarshal(item.Value, &o) != nil || o.Nonce != h.nonce {
			return true
		}
		revision = item.Revision
	}
	err := h.store.Delete(ctx, ownerKey(shard), revision)
	return err == nil || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound)
}
