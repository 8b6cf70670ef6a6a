package keeper

import (
	"context"
	"net/http"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// rangeRequest asks for the items below a prefix, or for changes to them.
type rangeRequest struct {
	Prefix   string        `json:"prefix"`
	Revision int64         `json:"revision"` // a watch returns changes after this revision
	Wait     time.Duration `json:"wait"`     // longest wait of a watch, at most MaxWatchWait
}

// itemsResponse holds the items found and the store's revision.
type itemsResponse struct {
	Items    []storer.Item `json:"items"`
	Revision int64         `json:"revision"`
}

// leaseMessage is the request or response of a call about a lease.
type leaseMessage struct {
	Lease int64         `json:"lease,omitempty"` // lease id
	TTL   time.Duration `json:"ttl,omitempty"`
}

// routes returns the handler of the HTTP interface.
func (k *Keeper) routes() http.Handler {
	m := http.NewServeMux()
	m.Handle("POST /v1/get", read(k, "get", func(in storer.Item) (storer.Item, error) { return k.get(in.Key) }))
	m.Handle("POST /v1/list", read(k, "list", func(in rangeRequest) (itemsResponse, error) {
		return itemsResponse{k.list(in.Prefix, 0, false), k.revision}, nil
	}))
	m.Handle("POST /v1/swap", write(k, "swap", func(in storer.Item) (storer.Item, error) {
		revision, err := k.swap(storer.Item{Key: in.Key, Value: in.Value, Lease: in.Lease}, in.Revision)
		return storer.Item{Revision: revision}, err
	}))
	m.Handle("POST /v1/delete", write(k, "delete", func(in storer.Item) (struct{}, error) {
		return struct{}{}, k.remove(in.Key, in.Revision)
	}))
	m.Handle("POST /v1/grant", write(k, "grant", func(in leaseMessage) (leaseMessage, error) {
		id, err := k.grant(in.TTL)
		return leaseMessage{Lease: id}, err
	}))
	m.Handle("POST /v1/renew", write(k, "renew", func(in leaseMessage) (struct{}, error) { return struct{}{}, k.renew(in.Lease) }))
	m.Handle("POST /v1/revoke", write(k, "revoke", func(in leaseMessage) (struct{}, error) {
		k.endLease(in.Lease)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/watch", listener.Handle(k.watch))
	m.Handle("GET /v1/counts", listener.Handle(func(*http.Request, struct{}) (Counts, error) { return k.Counts(), nil }))
	m.Handle("POST /v1/faults", listener.Handle(func(_ *http.Request, in faults) (struct{}, error) {
		k.SetDelay(in.Delay)
		k.DropResponses(in.DropNext, in.DropProbability, in.Seed)
		k.SetOutage(in.Outage)
		return struct{}{}, nil
	}))
	return m
}

// read serves a call that changes nothing.
func read[In, Out any](k *Keeper, kind string, call func(In) (Out, error)) http.Handler {
	return listener.Handle(func(_ *http.Request, in In) (Out, error) {
		defer k.mu.Unlock()
		if err := k.admit(kind); err != nil {
			var none Out
			return none, err
		}
		return call(in)
	})
}

// write serves a call that changes the store and whose response may be dropped.
func write[In, Out any](k *Keeper, kind string, call func(In) (Out, error)) http.Handler {
	return listener.Handle(func(_ *http.Request, in In) (Out, error) {
		defer k.mu.Unlock()
		if err := k.admit(kind); err != nil {
			var none Out
			return none, err
		}
		out, err := call(in)
		if err == nil && k.dropsResponse() {
			err = listener.ErrDropResponse
		}
		return out, err
	})
}

// admit locks the store, counts a call and waits for the injected delay. It fails
// during an outage. The store stays locked in either case, and the caller unlocks
// it.
func (k *Keeper) admit(kind string) error {
	k.mu.Lock()
	k.count(kind)
	delay := k.faults.Delay
	if delay > 0 {
		k.mu.Unlock()
		time.Sleep(delay)
		k.mu.Lock()
	}
	if k.faults.Outage {
		return listener.ErrDropResponse
	}
	return nil
}

// watch returns the changes below the prefix after the revision, once there are any
// or the wait is over.
func (k *Keeper) watch(r *http.Request, in rangeRequest) (itemsResponse, error) {
	defer k.mu.Unlock()
	if err := k.admit("watch"); err != nil {
		return itemsResponse{}, err
	}
	k.counts.WaitingWatches++
	k.counts.PeakWatches = max(k.counts.PeakWatches, k.counts.WaitingWatches)
	defer func() { k.counts.WaitingWatches-- }()
	ctx, cancel := context.WithTimeout(r.Context(), min(in.Wait, MaxWatchWait))
	defer cancel()
	for {
		if k.faults.Outage {
			return itemsResponse{}, listener.ErrDropResponse
		}
		changes := k.list(in.Prefix, in.Revision, true)
		if len(changes) > 0 || ctx.Err() != nil {
			return itemsResponse{changes, k.revision}, nil
		}
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		k.mu.Lock()
	}
}
