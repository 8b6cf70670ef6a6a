package distributor

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// followLoop keeps up with the document in the store, in the way that this
// host's rank in its domain asks for.
func (d *Distributor) followLoop() {
	var cursor int64 // store revision up to which changes of the document are known
	delay := newBackoff()
	for d.ctx.Err() == nil {
		err := d.followOnce(&cursor)
		if err == nil {
			delay.Reset()
			continue
		}
		d.log.Debug().Err(err).Msg("configuration read failed")
		if !d.waitFor(delay.NextBackOff(), nil) {
			return
		}
	}
}

// followOnce makes one read or watch of the document, or waits if this host
// need not read it.
func (d *Distributor) followOnce(cursor *int64) error {
	switch rank := d.rank(); {
	case *cursor == 0 && (!d.IsReady() || rank == 0):
		return d.fetch(cursor)
	case rank == 0:
		return d.watch(cursor)
	case rank == 1:
		// Takes the place of a watcher that is alive but partitioned from the
		// store.
		if !d.waitFor(d.options.PollInterval, d.followWake) {
			return nil
		}
		return d.fetch(cursor)
	}
	*cursor = 0
	d.waitFor(d.options.WatchTimeout, d.followWake)
	return nil
}

// rank returns this host's position among the live hosts of its domain by
// rendezvous hash. The host with rank 0 watches the document, and that with
// rank 1 polls it. A host that knows no peers has rank 0.
func (d *Distributor) rank() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := weight(d.options.Domain, d.options.Daemon)
	rank := 0
	for _, p := range d.peers {
		if p.Domain != d.options.Domain || p.Leaving || p.Name == d.options.Daemon {
			continue
		}
		w := weight(d.options.Domain, p.Name)
		if w > own || w == own && p.Name < d.options.Daemon {
			rank++
		}
	}
	return rank
}

// weight returns the rendezvous hash of a host.
func weight(domain, name string) uint64 { return xxhash.Sum64String(domain + "\x00" + name) }

// fetch reads the document and installs its configuration.
func (d *Distributor) fetch(cursor *int64) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.Timeout)
	defer cancel()
	doc, revision, err := d.readDocument(ctx)
	if err != nil {
		return err
	}
	if revision == 0 {
		// There is no configuration yet.
		d.waitFor(d.options.MinReadInterval, d.followWake)
		return nil
	}
	if err := d.installDocument(ctx, doc); err != nil {
		return err
	}
	*cursor = max(*cursor, revision)
	return nil
}

// watch waits for a change of the document and installs it. It waits until
// MinReadInterval is over, so that a burst of changes takes a single read.
func (d *Distributor) watch(cursor *int64) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(d.ctx, d.options.WatchTimeout+d.options.Timeout)
	defer cancel()
	items, next, err := d.store.Watch(ctx, DocumentKey, *cursor, d.options.WatchTimeout)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(items, func(i storer.Item) bool { return i.Key == DocumentKey && !i.Deleted })
	if i < 0 {
		*cursor = max(*cursor, next)
		return nil
	}
	// Use the latest value, since the store may deliver one for every change.
	for j := range items {
		if items[j].Key == DocumentKey && !items[j].Deleted && items[j].Revision > items[i].Revision {
			i = j
		}
	}
	doc, err := decodeDocument(items[i].Value)
	if err != nil {
		return err
	}
	if err := d.installDocument(ctx, doc); err != nil {
		return err
	}
	*cursor = max(*cursor, next)
	if rest := d.options.MinReadInterval - time.Since(start); rest > 0 {
		d.waitFor(rest, nil)
	}
	return nil
}

// installDocument installs the configuration that the document describes and
// relays it.
func (d *Distributor) installDocument(ctx context.Context, doc document) error {
	c, err := d.resolve(ctx, doc)
	if err != nil {
		return err
	}
	if d.install(c, doc.Changes) {
		d.startTask(d.relayToDomain)
	}
	return nil
}

// pullLoop pulls the configuration from peers with greater revisions. While the
// host is not ready, it also pulls from other peers.
func (d *Distributor) pullLoop() {
	for {
		d.pullFromNewer()
		wait := d.options.WatchTimeout
		if !d.IsReady() {
			wait = d.options.MinReadInterval
			d.pullFromRandom()
		}
		if !d.waitFor(wait, d.pullWake) {
			return
		}
	}
}

// pullFromNewer pulls from the peers with greater revisions, greatest first,
// until one has responded with a newer configuration.
func (d *Distributor) pullFromNewer() {
	d.mu.Lock()
	newer := maps.Clone(d.newerPeers)
	d.mu.Unlock()
	addresses := slices.SortedFunc(maps.Keys(newer), func(a, b string) int {
		if newer[a] != newer[b] {
			return int(newer[b] - newer[a])
		}
		return strings.Compare(a, b)
	})
	for _, address := range addresses {
		if d.Current().Revision >= newer[address] {
			break
		}
		if d.pullFrom(address) == nil {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range newer {
		// If the pull failed, the next heartbeat adds the peer again.
		delete(d.newerPeers, address)
	}
}

// maxRandomPulls is the number of peers that a host pulls from at a time while
// it is not ready.
const maxRandomPulls = 3

// pullFromRandom pulls from random peers.
func (d *Distributor) pullFromRandom() {
	peers := d.otherPeers(func(reducer.Peer) bool { return true })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var pulls sync.WaitGroup
	for _, p := range peers[:min(maxRandomPulls, len(peers))] {
		pulls.Go(func() {
			if err := d.pullFrom(p.Address); err != nil && !errors.Is(err, context.Canceled) {
				d.log.Debug().Err(err).Str("peer", p.Name).Msg("configuration pull failed")
			}
		})
	}
	pulls.Wait()
}

// otherPeers returns the live peers for which match returns true.
func (d *Distributor) otherPeers(match func(reducer.Peer) bool) []reducer.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []reducer.Peer
	for _, p := range d.peers {
		if p.Name != d.options.Daemon && match(p) {
			out = append(out, p)
		}
	}
	return out
}
