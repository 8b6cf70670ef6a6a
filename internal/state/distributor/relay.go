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

// fanout is the number of peers that a host relays to. Each of them relays to
// its share of the other peers.
const fanout = 4

// update is both the request and the response of the method
// messenger.Configure. A request without content is a pull: it asks for what
// changed after Revision. A request with changes or a configuration is a relay;
// the response contains the revision that the receiver has installed.
type update struct {
	Revision      int64                    `json:"revision"` // revision installed at the sender
	Changes       []change                 `json:"changes,omitempty"`
	Configuration *describer.Configuration `json:"whole,omitempty"`
	RelayTo       []string                 `json:"relay,omitempty"` // addresses of the peers that the receiver relays to
}

// handleUpdate handles the method messenger.Configure.
func (d *Distributor) handleUpdate(ctx context.Context, params json.RawMessage) (any, error) {
	var u update
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, &classifier.Error{
			Verdict: classifier.NotRun, Code: "malformed", Message: "update cannot be read", Err: err,
		}
	}
	if u.Configuration == nil && len(u.Changes) == 0 {
		return d.updateSince(u.Revision), nil
	}
	d.applyUpdate(u)
	revision := d.Current().Revision
	if revision >= u.Revision && len(u.RelayTo) > 0 {
		d.startTask(func() { d.relayTo(u.RelayTo) })
	}
	return update{Revision: revision}, nil
}

// updateSince returns an update for a host that has installed the revision:
// the changes since then if they are known, otherwise the whole configuration.
// The update has no content if the host lacks nothing.
func (d *Distributor) updateSince(revision int64) update {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := update{Revision: d.current.Revision}
	if revision >= d.current.Revision {
		return out
	}
	for i, ch := range d.recentChanges {
		if revision > 0 && ch.Revision == revision+1 {
			out.Changes = d.recentChanges[i:]
			return out
		}
	}
	c := d.current
	out.Configuration = &c
	return out
}

// applyUpdate installs an update if it is newer. Changes that do not apply are
// dropped: the sender learns from the revision in the response that it must send
// the whole configuration.
func (d *Distributor) applyUpdate(u update) {
	if u.Configuration != nil {
		d.install(*u.Configuration, nil)
		return
	}
	current := d.Current()
	if current.Revision == 0 {
		return
	}
	c, err := applyChanges(current, u.Changes)
	if err != nil {
		d.log.Debug().Err(err).Msg("configuration changes rejected")
		return
	}
	d.install(c, u.Changes)
}

// relayToDomain sends the installed configuration to all peers of the domain.
func (d *Distributor) relayToDomain() {
	peers := d.otherPeers(func(p reducer.Peer) bool { return p.Domain == d.options.Domain })
	addresses := make([]string, 0, len(peers))
	for _, p := range peers {
		addresses = append(addresses, p.Address)
	}
	d.relayTo(addresses)
}

// relayTo sends the installed configuration to the first addresses, each with its
// share of the other addresses to relay to. It takes over the share of a peer
// that fails.
func (d *Distributor) relayTo(addresses []string) {
	var sends sync.WaitGroup
	for i := range min(fanout, len(addresses)) {
		var rest []string
		for j := i + fanout; j < len(addresses); j += fanout {
			rest = append(rest, addresses[j])
		}
		sends.Go(func() {
			if err := d.pushTo(addresses[i], rest); err != nil {
				d.log.Debug().Err(err).Str("peer", addresses[i]).Msg("configuration relay failed")
				d.relayTo(rest)
			}
		})
	}
	sends.Wait()
}

// pushTo sends the latest change to a peer. If its response shows that it lacks
// more, pushTo sends the rest as well.
func (d *Distributor) pushTo(address string, relayTo []string) error {
	revision := d.Current().Revision - 1
	for range 2 {
		u := d.updateSince(revision)
		u.RelayTo = relayTo
		var response update
		if err := d.call(address, u, &response); err != nil {
			return err
		}
		if response.Revision >= u.Revision {
			return nil
		}
		revision = response.Revision
	}
	return fmt.Errorf("distributor: peer remains at revision %d", revision)
}

// pullFrom requests the changes after the installed revision from a peer.
func (d *Distributor) pullFrom(address string) error {
	var response update
	if err := d.call(address, update{Revision: d.Current().Revision}, &response); err != nil {
		return err
	}
	if response.Configuration == nil && len(response.Changes) == 0 {
		return fmt.Errorf("distributor: peer has no later revision than %d", response.Revision)
	}
	before := d.Current().Revision
	d.applyUpdate(response)
	if d.Current().Revision > before && d.rank() == 0 {
		// The watch skips this revision, as it is installed already.
		d.startTask(d.relayToDomain)
	}
	return nil
}

// call calls the method messenger.Configure of a peer.
func (d *Distributor) call(address string, u update, response *update) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.Timeout)
	defer cancel()
	return d.node.Call(ctx, address, messenger.Configure, u, response)
}
