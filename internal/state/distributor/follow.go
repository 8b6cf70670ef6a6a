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

// follow keeps up with the store as this host's rank in its domain demands.
func (d *Distributor) follow() {
	var cursor int64 // store revision up to which the document is known
	delay := newBackoff()
	for d.ctx.Err() == nil {
		err := d.round(&cursor)
		if err == nil {
			delay.Reset()
			continue
		}
		d.log.Debug().Err(err).Msg("Store not read.")
		if !d.pause(delay.NextBackOff(), nil) {
			return
		}
	}
}

func (d *Distributor) round(cursor *int64) error {
	switch rank := d.rank(); {
	case *cursor == 0 && (!d.IsReady() || rank == 0):
		return d.fetch(cursor)
	case rank == 0:
		return d.watch(cursor)
	case rank == 1:
		// Makes up for a watcher that is alive but cut off from the store.
		if !d.pause(d.options.PollInterval, d.wake) {
			return nil
		}
		return d.fetch(cursor)
	}
	*cursor = 0
	d.pause(d.options.WatchTimeout, d.wake)
	return nil
}

// rank is this host's place among the live hosts of its domain by rendezvous
// hash; 0 watches. A host that knows no peers watches.
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

func weight(domain, name string) uint64 { return xxhash.Sum64String(domain + "\x00" + name) }

// fetch reads the document.
func (d *Distributor) fetch(cursor *int64) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.Timeout)
	defer cancel()
	doc, revision, err := d.read(ctx)
	if err != nil {
		return err
	}
	if revision == 0 {
		// Nobody has configured this deployment yet.
		d.pause(d.options.MinReadInterval, d.wake)
		return nil
	}
	if err := d.use(ctx, doc); err != nil {
		return err
	}
	*cursor = max(*cursor, revision)
	return nil
}

// watch waits for a change. Reads are paced, so that a burst of changes costs
// one.
func (d *Distributor) watch(cursor *int64) error {
	began := time.Now()
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
	// The last one, should the store deliver every change.
	for j := range items {
		if items[j].Key == DocumentKey && !items[j].Deleted && items[j].Revision > items[i].Revision {
			i = j
		}
	}
	doc, err := decodeDocument(items[i].Value)
	if err != nil {
		return err
	}
	if err := d.use(ctx, doc); err != nil {
		return err
	}
	*cursor = max(*cursor, next)
	if rest := d.options.MinReadInterval - time.Since(began); rest > 0 {
		d.pause(rest, nil)
	}
	return nil
}

// use puts what a document says in force and relays it.
func (d *Distributor) use(ctx context.Context, doc document) error {
	c, err := d.resolve(ctx, doc)
	if err != nil {
		return err
	}
	if d.install(c, doc.Changes) {
		d.begin(d.relay)
	}
	return nil
}

// catchUp pulls from peers that know more, and from any while not ready.
func (d *Distributor) catchUp() {
	for {
		d.pullAhead()
		wait := d.options.WatchTimeout
		if !d.IsReady() {
			wait = d.options.MinReadInterval
			d.pullAny()
		}
		if !d.pause(wait, d.behind) {
			return
		}
	}
}

// pullAhead asks the peers that were seen with greater revisions, best first.
func (d *Distributor) pullAhead() {
	d.mu.Lock()
	ahead := maps.Clone(d.ahead)
	d.mu.Unlock()
	addresses := slices.SortedFunc(maps.Keys(ahead), func(a, b string) int {
		if ahead[a] != ahead[b] {
			return int(ahead[b] - ahead[a])
		}
		return strings.Compare(a, b)
	})
	for _, address := range addresses {
		if d.Current().Revision >= ahead[address] {
			break
		}
		if d.pull(address) == nil {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range ahead {
		// Asked in vain: the next heartbeat brings it back.
		delete(d.ahead, address)
	}
}

// informants is the number of peers that a host asks while it is not ready.
const informants = 3

func (d *Distributor) pullAny() {
	others := d.others(func(reducer.Peer) bool { return true })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var pulls sync.WaitGroup
	for _, p := range others[:min(informants, len(others))] {
		pulls.Go(func() {
			if err := d.pull(p.Address); err != nil && !errors.Is(err, context.Canceled) {
				d.log.Debug().Err(err).Str("peer", p.Name).Msg("No configuration from peer.")
			}
		})
	}
	pulls.Wait()
}

// others returns the live peers that fit.
func (d *Distributor) others(fit func(reducer.Peer) bool) []reducer.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []reducer.Peer
	for _, p := range d.peers {
		if p.Name != d.options.Daemon && fit(p) {
			out = append(out, p)
		}
	}
	return out
}
