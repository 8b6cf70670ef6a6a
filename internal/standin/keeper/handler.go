package keeper

import (
	"context"
	"net/http"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

type ranged struct {
	Prefix   string        `json:"prefix"`
	Revision int64         `json:"revision"`
	Wait     time.Duration `json:"wait"`
}

type items struct {
	Items    []storer.Item `json:"items"`
	Revision int64         `json:"revision"`
}

type leased struct {
	Lease int64         `json:"lease,omitempty"`
	TTL   time.Duration `json:"ttl,omitempty"`
}

func (k *Keeper) routes() http.Handler {
	m := http.NewServeMux()
	m.Handle("POST /v1/get", read(k, "get", func(in storer.Item) (storer.Item, error) { return k.get(in.Key) }))
	m.Handle("POST /v1/list", read(k, "list", func(in ranged) (items, error) {
		return items{k.list(in.Prefix, 0, false), k.revision}, nil
	}))
	m.Handle("POST /v1/swap", write(k, "swap", func(in storer.Item) (storer.Item, error) {
		revision, err := k.swap(storer.Item{Key: in.Key, Value: in.Value, Lease: in.Lease}, in.Revision)
		return storer.Item{Revision: revision}, err
	}))
	m.Handle("POST /v1/delete", write(k, "delete", func(in storer.Item) (struct{}, error) {
		return struct{}{}, k.remove(in.Key, in.Revision)
	}))
	m.Handle("POST /v1/grant", write(k, "grant", func(in leased) (leased, error) {
		id, err := k.grant(in.TTL)
		return leased{Lease: id}, err
	}))
	m.Handle("POST /v1/renew", write(k, "renew", func(in leased) (struct{}, error) { return struct{}{}, k.renew(in.Lease) }))
	m.Handle("POST /v1/revoke", write(k, "revoke", func(in leased) (struct{}, error) {
		k.end(in.Lease)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/watch", listener.Handle(k.watch))
	m.Handle("GET /v1/counts", listener.Handle(func(*http.Request, struct{}) (Counts, error) { return k.Counts(), nil }))
	m.Handle("POST /v1/faults", listener.Handle(func(_ *http.Request, in faults) (struct{}, error) {
		k.SetDelay(in.Slow)
		k.DropResponses(in.Lose, in.Probability, in.Seed)
		k.SetOutage(in.Outage)
		return struct{}{}, nil
	}))
	return m
}

// read serves a call without effect.
func read[In, Out any](k *Keeper, kind string, call func(In) (Out, error)) http.Handler {
	return listener.Handle(func(_ *http.Request, in In) (Out, error) {
		defer k.mu.Unlock()
		if err := k.enter(kind); err != nil {
			var none Out
			return none, err
		}
		return call(in)
	})
}

// write serves a call with an effect, whose answer may be lost.
func write[In, Out any](k *Keeper, kind string, call func(In) (Out, error)) http.Handler {
	return listener.Handle(func(_ *http.Request, in In) (Out, error) {
		defer k.mu.Unlock()
		if err := k.enter(kind); err != nil {
			var none Out
			return none, err
		}
		out, err := call(in)
		if err == nil && k.loses() {
			err = listener.ErrDropResponse
		}
		return out, err
	})
}

// enter counts a call and returns with the lock held.
func (k *Keeper) enter(kind string) error {
	k.mu.Lock()
	k.count(kind)
	slow := k.faults.Slow
	if slow > 0 {
		k.mu.Unlock()
		time.Sleep(slow)
		k.mu.Lock()
	}
	if k.faults.Outage {
		return listener.ErrDropResponse
	}
	return nil
}

// watch answers once something below the prefix has changed.
func (k *Keeper) watch(r *http.Request, in ranged) (items, error) {
	defer k.mu.Unlock()
	if err := k.enter("watch"); err != nil {
		return items{}, err
	}
	k.counts.WaitingWatches++
	k.counts.PeakWatches = max(k.counts.PeakWatches, k.counts.WaitingWatches)
	defer func() { k.counts.WaitingWatches-- }()
	ctx, cancel := context.WithTimeout(r.Context(), min(in.Wait, MaxWatchWait))
	defer cancel()
	for {
		if k.faults.Outage {
			return items{}, listener.ErrDropResponse
		}
		changes := k.list(in.Prefix, in.Revision, true)
		if len(changes) > 0 || ctx.Err() != nil {
			return items{changes, k.revision}, nil
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
