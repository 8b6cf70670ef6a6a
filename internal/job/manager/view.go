package manager

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// View is a daemon's knowledge of all shards.
type View struct {
	ReadAt  time.Time // when it was last read or confirmed; zero if never
	Shards  map[string]ShardView
	Layouts map[string]recorder.Layout // by service name
}

// ShardView is a daemon's knowledge of one shard.
type ShardView struct {
	Owner        string // name of the owning daemon; empty without an owner
	Load         recorder.Load
	LoadReceived time.Time // when Load arrived
}

// maxFollowRetry is the maximum delay between attempts to read the store.
const maxFollowRetry = 800 * time.Millisecond

// viewInterval is the delay between two reads of changes of the view.
const viewInterval = 250 * time.Millisecond

// View returns a copy of the current view.
func (m *Manager) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return View{ReadAt: m.view.ReadAt, Shards: maps.Clone(m.view.Shards), Layouts: maps.Clone(m.view.Layouts)}
}

// followView keeps the view up to date until ctx ends.
func (m *Manager) followView(ctx context.Context) {
	w := prefixWatcher{manager: m, prefix: recorder.ViewPrefix, pause: viewInterval}
	w.run(ctx, func(items []storer.Item, complete bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if complete {
			m.view = newView()
		}
		m.view.ReadAt = time.Now()
		for _, item := range items {
			m.updateView(item)
		}
	})
}

func newView() View {
	return View{Shards: make(map[string]ShardView), Layouts: make(map[string]recorder.Layout)}
}

// updateView applies one key to the view. A record that can't be decoded is
// ignored.
func (m *Manager) updateView(item storer.Item) {
	kind, name := recorder.ParseViewKey(item.Key)
	s := m.view.Shards[name]
	var err error
	switch kind {
	case recorder.OwnerView:
		var owner recorder.Owner
		if !item.Deleted {
			err = recorder.Decode(item.Value, &owner)
		}
		s.Owner = owner.Daemon
	case recorder.LoadView:
		var load recorder.Load
		if !item.Deleted {
			err = recorder.Decode(item.Value, &load)
		}
		s.Load, s.LoadReceived = load, time.Now()
	case recorder.LayoutView:
		var layout recorder.Layout
		if err = recorder.Decode(item.Value, &layout); err == nil {
			m.view.Layouts[name] = layout
			return
		}
	default:
		return
	}
	if err != nil {
		m.log.Warn().Err(err).Str("key", item.Key).Msg("record decoding failed")
		return
	}
	m.view.Shards[name] = s
}

// prefixWatcher reads all keys below a prefix and then their changes.
type prefixWatcher struct {
	manager  *Manager
	prefix   string
	pause    time.Duration // delay after each read that had changes
	isListed bool          // the prefix has been listed
	revision int64         // changes up to this revision have been read
}

// run passes what was read to handle until ctx ends: with complete, everything
// below the prefix, otherwise the changes.
func (w *prefixWatcher) run(ctx context.Context, handle func(items []storer.Item, complete bool)) {
	failing := false
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryDelay
	delays.MaxInterval = maxFollowRetry
	for ctx.Err() == nil {
		items, complete, err := w.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !failing {
				w.manager.log.Warn().Err(err).Str("prefix", w.prefix).Msg("store watch failed")
			}
			failing = true
			waiter.Sleep(ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		if failing {
			w.manager.log.Info().Str("prefix", w.prefix).Msg("store watch recovered")
		}
		failing = false
		w.manager.recordContact()
		handle(items, complete)
		if len(items) > 0 && w.pause > 0 {
			waiter.Sleep(ctx, w.pause)
		}
	}
}

// read lists the prefix the first time and after a compaction of the store,
// otherwise it waits for changes. complete tells which.
func (w *prefixWatcher) read(ctx context.Context) (items []storer.Item, complete bool, err error) {
	limited, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	if !w.isListed {
		items, w.revision, err = w.manager.store.List(limited, w.prefix)
		w.isListed = err == nil
		return items, true, err
	}
	items, next, err := w.manager.store.Watch(limited, w.prefix, w.revision, watchWait)
	switch {
	case errors.Is(err, storer.ErrCompacted):
		w.isListed = false
	case err == nil:
		w.revision = max(w.revision, next)
	}
	return items, false, err
}
