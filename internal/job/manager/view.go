package manager

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

// View is a daemon's knowledge of all shards.
type View struct {
	ReadAt time.Time // when it was last read or confirmed; zero if never
	Shards map[string]ShardView
	// Unpublished are the shards in the layout of each service of which no owner has
	// published a load summary yet. Jobs may be accepted for them all the same: the first
	// owner finds them in the store.
	Unpublished map[string][]recorder.ShardLayout

	layouts map[string]versionedLayout // by service
	hosts   map[string]recorder.Host   // by name

	resignations map[string]dispatcher.EarlierOwnerResigned // by shard
}

// ShardView is a daemon's knowledge of one shard.
type ShardView struct {
	Owner        string // name of the owning daemon; empty without an owner
	Load         recorder.Load
	LoadReceived time.Time // when Load arrived

	loadRevision int64 // store revision of the record of Load; 0 if there is none
}

// maxFollowRetry is the maximum delay between attempts to read the store.
const maxFollowRetry = 800 * time.Millisecond

// viewInterval is the delay between two reads of changes of the view.
const viewInterval = 500 * time.Millisecond

// View returns a copy of the current view of the shards.
func (m *Manager) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return View{ReadAt: m.view.ReadAt, Shards: m.usableShards(), Unpublished: m.unpublished()}
}

// unpublished returns the value of View.Unpublished, without shards of evacuated domains. The
// caller holds m.mu.
func (m *Manager) unpublished() map[string][]recorder.ShardLayout {
	var out map[string][]recorder.ShardLayout
	m.evacuations.mu.Lock()
	defer m.evacuations.mu.Unlock()
	for service, layout := range m.view.layouts {
		for _, shard := range layout.Shards {
			if !m.view.Shards[shard.Name].LoadReceived.IsZero() || m.evacuations.set.IsEvacuated(shard.Domain) {
				continue
			}
			if out == nil {
				out = make(map[string][]recorder.ShardLayout)
			}
			out[service] = append(out[service], shard)
		}
	}
	return out
}

// followView keeps the view up to date until ctx ends.
func (m *Manager) followView(ctx context.Context) {
	w := prefixWatcher{manager: m, prefix: recorder.ViewPrefix, pause: viewInterval}
	w.run(ctx, func(items []storer.Item, complete bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.view.ReadAt = time.Now()
		m.applyItems(items, complete)
	})
}

// applyItems applies records to the view: all of them, or only those that have changed. The caller holds
// m.mu.
func (m *Manager) applyItems(items []storer.Item, complete bool) {
	if complete {
		m.view = m.view.withoutRecords()
		sortOwnersFirst(items)
	}
	for _, item := range items {
		m.updateView(item)
	}
}

func newView() View {
	return View{
		Shards: make(map[string]ShardView), layouts: make(map[string]versionedLayout), hosts: make(map[string]recorder.Host),
		resignations: make(map[string]dispatcher.EarlierOwnerResigned),
	}
}

// withoutRecords returns the view before a new list of all records. It keeps the load summaries, which are
// only replaced by later ones.
func (v *View) withoutRecords() View {
	out := newView()
	out.ReadAt = v.ReadAt
	for name, s := range v.Shards {
		s.Owner = ""
		out.Shards[name] = s
	}
	return out
}

// sortOwnersFirst moves the owner records to the front of a list of records. They decide which load
// summaries are used.
func sortOwnersFirst(items []storer.Item) {
	order := func(item storer.Item) int {
		if kind, _ := recorder.ParseViewKey(item.Key); kind == recorder.OwnerView {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(items, func(a, b storer.Item) int { return order(a) - order(b) })
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
		if err == nil {
			m.updateLoad(name, load, item.Revision)
			return
		}
	case recorder.LayoutView:
		m.updateLayout(name, item)
		return
	case recorder.HostView:
		m.updateHost(name, item)
		return
	case recorder.ResignationView:
		m.updateResignation(name, item)
		return
	default:
		return
	}
	if err != nil {
		m.log.Warn().Err(err).Str("key", item.Key).Msg("record decoding failed")
		return
	}
	m.view.Shards[name] = s
}

// updateLoad applies a load summary, and the revision that the store gave it, to the view. One that is
// older than the known one, or was written by an earlier owner, is ignored. The caller holds m.mu.
func (m *Manager) updateLoad(shard string, load recorder.Load, revision int64) {
	s := m.view.Shards[shard]
	if revision <= s.loadRevision {
		return
	}
	if load.Epoch < s.Load.Epoch && m.publishesEpoch(s.Owner) {
		m.log.Info().Str("shard", shard).Int64("epoch", load.Epoch).Int64("known", s.Load.Epoch).Int64("revision", revision).
			Msg("load summary of an earlier owner ignored")
		return
	}
	if load.Epoch != s.Load.Epoch {
		m.log.Info().Str("shard", shard).Int64("epoch", load.Epoch).Int64("known", s.Load.Epoch).Int64("revision", revision).
			Msg("load summary of another owner received")
	}
	load.RunTimes = m.usableRunTimes(recorder.LoadKey(shard), load.RunTimes, s.Load.RunTimes)
	s.Load, s.LoadReceived, s.loadRevision = load, time.Now(), revision
	m.view.Shards[shard] = s
}

// publishesEpoch reports whether the load summaries of an owner contain its epoch. Those of earlier
// versions don't, and replace any other without a condition. An owner whose host has no record counts as
// one of this version, which most are.
func (m *Manager) publishesEpoch(owner string) bool {
	host, ok := m.view.hosts[owner]
	return !ok || host.Format >= recorder.LoadEpochs
}

// updateLayout applies the layout of a service to the view and to the owned
// shards, which may have got more racks.
func (m *Manager) updateLayout(service string, item storer.Item) {
	layout := versionedLayout{revision: item.Revision}
	if err := recorder.Decode(item.Value, &layout.Layout); err != nil {
		m.log.Warn().Err(err).Str("key", item.Key).Msg("record decoding failed")
		return
	}
	m.view.layouts[service] = layout
	for _, shard := range layout.Shards {
		if o := m.owned[shard.Name]; o != nil {
			m.updateMembers(o)
			m.postWorkers(o)
		}
	}
}

// updateMembers applies the layout of the service to an owned shard.
func (m *Manager) updateMembers(o *ownedShard) {
	layout := m.view.layouts[o.spec.service]
	for _, shard := range layout.Shards {
		if shard.Name == o.spec.Name {
			o.members = newShardSpec(o.spec.service, &layout.Layout, shard)
		}
	}
}

// updateHost applies the record of an entry host to the view.
func (m *Manager) updateHost(name string, item storer.Item) {
	if item.Deleted {
		delete(m.view.hosts, name)
		return
	}
	var host recorder.Host
	if err := recorder.Decode(item.Value, &host); err != nil {
		m.log.Warn().Err(err).Str("key", item.Key).Msg("record decoding failed")
		return
	}
	m.view.hosts[name] = host
	for _, o := range m.owned {
		if o.fence.PreviousOwner == name && o.hasPreviousEnded(&host) {
			o.post(dispatcher.EarlierOwnerEnded{Noticed: time.Now()})
		}
	}
}

// prefixWatcher reads all keys below a prefix and then their changes.
type prefixWatcher struct {
	manager  *Manager
	prefix   string
	pause    time.Duration // delay after each read that had changes
	wait     time.Duration // how long the store may hold a watch; 0 is watchWait
	sentAt   time.Time     // when the request of the last successful read was sent
	isListed bool          // the prefix has been listed
	revision int64         // changes up to this revision have been read
}

// run reads until ctx ends and passes each result to handle. If complete is set,
// items holds everything below the prefix, otherwise only what has changed.
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
	sent := time.Now()
	if !w.isListed {
		items, w.revision, err = w.manager.store.List(ctx, w.prefix)
		if err == nil {
			w.isListed, w.sentAt = true, sent
		}
		return items, true, err
	}
	items, next, err := w.manager.store.Watch(ctx, w.prefix, w.revision, cmp.Or(w.wait, watchWait))
	switch {
	case errors.Is(err, storer.ErrCompacted):
		w.isListed = false
	case err == nil:
		w.revision, w.sentAt = max(w.revision, next), sent
	}
	return items, false, err
}
