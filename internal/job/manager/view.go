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

// View is what a daemon knows of all shards.
type View struct {
	ReadAt  time.Time // when it was last read or confirmed; zero before the first time
	Shards  map[string]ShardView
	Layouts map[string]recorder.Layout // by service
}

// ShardView is what a daemon knows of one shard.
type ShardView struct {
	Owner        string // daemon; empty without an owner
	Load         recorder.Load
	LoadReceived time.Time // when the load came
}

// followRetry is the longest time between tries to read a store that does not
// answer.
const followRetry = 800 * time.Millisecond

// viewPause is the time between two reads of the view's changes.
const viewPause = 250 * time.Millisecond

// View returns a copy of what is known.
func (m *Manager) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return View{ReadAt: m.view.ReadAt, Shards: maps.Clone(m.view.Shards), Layouts: maps.Clone(m.view.Layouts)}
}

// followView keeps the view until ctx ends.
func (m *Manager) followView(ctx context.Context) {
	f := follower{m: m, prefix: recorder.ViewPrefix, pause: viewPause}
	f.run(ctx, func(items []storer.Item, whole bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if whole {
			m.view = newView()
		}
		m.view.ReadAt = time.Now()
		for _, item := range items {
			m.takeView(item)
		}
	})
}

func newView() View {
	return View{Shards: make(map[string]ShardView), Layouts: make(map[string]recorder.Layout)}
}

// takeView takes in one key. A record that can't be read changes nothing.
func (m *Manager) takeView(item storer.Item) {
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
		m.log.Warn().Err(err).Str("key", item.Key).Msg("record unreadable")
		return
	}
	m.view.Shards[name] = s
}

// follower reads a prefix and then its changes, until its context ends.
type follower struct {
	m      *Manager
	prefix string
	pause  time.Duration // after each read that had changes
	listed bool          // the prefix has been read whole
	after  int64         // revision read up to
}

// run hands what was read to take: everything below the prefix after a list,
// otherwise the changes.
func (f *follower) run(ctx context.Context, take func(items []storer.Item, whole bool)) {
	failing := false
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = renewRetry
	delays.MaxInterval = followRetry
	for ctx.Err() == nil {
		items, whole, err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !failing {
				f.m.log.Warn().Err(err).Str("prefix", f.prefix).Msg("store not followed")
			}
			failing = true
			waiter.Sleep(ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		if failing {
			f.m.log.Info().Str("prefix", f.prefix).Msg("store followed again")
		}
		failing = false
		f.m.reached()
		take(items, whole)
		if len(items) > 0 && f.pause > 0 {
			waiter.Sleep(ctx, f.pause)
		}
	}
}

func (f *follower) read(ctx context.Context) (items []storer.Item, whole bool, err error) {
	limited, cancel := context.WithTimeout(ctx, watchTime+watchLimit)
	defer cancel()
	if !f.listed {
		items, f.after, err = f.m.store.List(limited, f.prefix)
		f.listed = err == nil
		return items, true, err
	}
	items, next, err := f.m.store.Watch(limited, f.prefix, f.after, watchTime)
	switch {
	case errors.Is(err, storer.ErrCompacted):
		f.listed = false
	case err == nil:
		f.after = max(f.after, next)
	}
	return items, false, err
}
