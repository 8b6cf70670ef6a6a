package distributor

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// fanout is the number of peers that a host relays to; each relays on to its
// share of the rest.
const fanout = 4

// update is both request and answer of the method messenger.Configure. A
// request without content asks for what the receiver knows above Revision; a
// request with content is a relay. The answer to a relay states the revision
// in force at the receiver.
type update struct {
	Revision int64                    `json:"revision"` // in force at the sender
	Changes  []change                 `json:"changes,omitempty"`
	Whole    *describer.Configuration `json:"whole,omitempty"`
	Relay    []string                 `json:"relay,omitempty"` // addresses to go on to
}

// serve answers the method messenger.Configure.
func (d *Distributor) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var u update
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, &classifier.Error{
			Verdict: classifier.NotRun, Code: "malformed", Message: "update cannot be read", Err: err,
		}
	}
	if u.Whole == nil && len(u.Changes) == 0 {
		return d.since(u.Revision), nil
	}
	d.take(u)
	revision := d.Current().Revision
	if revision >= u.Revision && len(u.Relay) > 0 {
		d.begin(func() { d.forward(u.Relay) })
	}
	return update{Revision: revision}, nil
}

// since returns what a host at the revision lacks.
func (d *Distributor) since(revision int64) update {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := update{Revision: d.current.Revision}
	if revision >= d.current.Revision {
		return out
	}
	for i, g := range d.recent {
		if revision > 0 && g.Revision == revision+1 {
			out.Changes = d.recent[i:]
			return out
		}
	}
	c := d.current
	out.Whole = &c
	return out
}

// take puts an update in force if it is newer. Changes that do not fit are
// dropped; the sender learns the revision here and sends the whole.
func (d *Distributor) take(u update) {
	if u.Whole != nil {
		d.install(*u.Whole, nil)
		return
	}
	current := d.Current()
	if current.Revision == 0 {
		return
	}
	c, err := advance(current, u.Changes)
	if err != nil {
		d.log.Debug().Err(err).Msg("Changes not applied.")
		return
	}
	d.install(c, u.Changes)
}

// relay sends the configuration in force to all peers of the domain.
func (d *Distributor) relay() {
	peers := d.others(func(p reducer.Peer) bool { return p.Domain == d.options.Domain })
	addresses := make([]string, 0, len(peers))
	for _, p := range peers {
		addresses = append(addresses, p.Address)
	}
	d.forward(addresses)
}

// forward hands each of the first peers its share of the others.
func (d *Distributor) forward(addresses []string) {
	var sends sync.WaitGroup
	for i := range min(fanout, len(addresses)) {
		var rest []string
		for j := i + fanout; j < len(addresses); j += fanout {
			rest = append(rest, addresses[j])
		}
		sends.Go(func() {
			if err := d.push(addresses[i], rest); err != nil {
				d.log.Debug().Err(err).Str("peer", addresses[i]).Msg("Relay failed.")
				d.forward(rest)
			}
		})
	}
	sends.Wait()
}

// push sends the latest change, or more when the peer's answer shows that it
// lacks more.
func (d *Distributor) push(address string, rest []string) error {
	revision := d.Current().Revision - 1
	for range 2 {
		u := d.since(revision)
		u.Relay = rest
		var answer update
		if err := d.call(address, u, &answer); err != nil {
			return err
		}
		if answer.Revision >= u.Revision {
			return nil
		}
		revision = answer.Revision
	}
	return fmt.Errorf("distributor: peer stays at revision %d", revision)
}

// pull asks a peer for what it knows above the revision in force.
func (d *Distributor) pull(address string) error {
	var answer update
	if err := d.call(address, update{Revision: d.Current().Revision}, &answer); err != nil {
		return err
	}
	if answer.Whole == nil && len(answer.Changes) == 0 {
		return fmt.Errorf("distributor: peer knows no more than revision %d", answer.Revision)
	}
	before := d.Current().Revision
	d.take(answer)
	if d.Current().Revision > before && d.rank() == 0 {
		// The watch will not bring this revision any more.
		d.begin(d.relay)
	}
	return nil
}

func (d *Distributor) call(address string, u update, answer *update) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.Timeout)
	defer cancel()
	return d.node.Call(ctx, address, messenger.Configure, u, answer)
}
