package manager

import (
	"context"
	"errors"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// resignationTimeout is the limit for writing a resignation. After it the leases have
// expired anyway.
const resignationTimeout = 8 * time.Second

// resign tells the shard's next owner how long leases may remain valid. It follows the
// last order. Without it the next owner has to assume the worst.
func (o *ownedShard) resign(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, resignationTimeout)
	defer cancel()
	for limited.Err() == nil {
		resignation := o.state.Resignation(time.Now())
		resignation.Epoch = o.fence.Epoch
		err := o.writeResignation(limited, resignation)
		if err == nil {
			o.log.Info().Int64("epoch", o.fence.Epoch).Msg("resignation written")
			return
		}
		o.log.Warn().Err(err).Msg("resignation failed")
		waiter.Sleep(limited, retryDelay)
	}
}

// announce tells later owners what this one knows of the leases of earlier ones. It is tried once: without
// it they wait longer.
func (o *ownedShard) announce(ctx context.Context, resignation recorder.Resignation) {
	if err := o.writeResignation(ctx, resignation); err != nil {
		o.log.Warn().Err(err).Msg("announcement of inherited leases failed")
	}
}

// writeResignation writes a resignation, unless a later owner has resigned already. The write may be
// carried out late, so it requires that nobody has resigned in the meantime.
func (o *ownedShard) writeResignation(ctx context.Context, resignation recorder.Resignation) error {
	key := recorder.ResignationKey(o.spec.Name)
	readCtx, cancelRead := context.WithTimeout(ctx, callTimeout)
	defer cancelRead()
	item, err := o.manager.store.Get(readCtx, key)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		item.Revision = 0
	case err != nil:
		return err
	case o.isLaterResignation(item, &resignation):
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = o.manager.store.Commit(limited, storer.Transaction{
		If:  []storer.Condition{{Key: key, Revision: item.Revision}},
		Put: []storer.Write{{Key: key, Value: recorder.Encode(resignation)}},
	})
	return err
}

// isLaterResignation reports whether an item is to stay: it is the resignation of a later owner, or the
// owner's own one and the other is by its successor, which knows less. One that can't be decoded tells
// nobody anything, and is replaced.
func (o *ownedShard) isLaterResignation(item storer.Item, other *recorder.Resignation) bool {
	var last recorder.Resignation
	if err := recorder.Decode(item.Value, &last); err != nil {
		o.log.Warn().Err(err).Str("key", item.Key).Msg("record decoding failed")
		return false
	}
	isOwn := last.Epoch == other.Epoch && !last.BySuccessor
	return last.Epoch > other.Epoch || isOwn && other.BySuccessor
}

// updateResignation applies the resignation of a shard's earlier owner to the view
// and to the shard, if this daemon owns it.
func (m *Manager) updateResignation(shard string, item storer.Item) {
	var resignation recorder.Resignation
	if item.Deleted {
		delete(m.view.resignations, shard)
		return
	}
	if err := recorder.Decode(item.Value, &resignation); err != nil {
		m.log.Warn().Err(err).Str("key", item.Key).Msg("record decoding failed")
		return
	}
	received := dispatcher.EarlierOwnerResigned{Resignation: resignation, Received: time.Now()}
	m.view.resignations[shard] = received
	if o := m.owned[shard]; o != nil {
		o.post(received)
	}
}
