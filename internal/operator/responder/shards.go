package responder

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"golang.org/x/sync/errgroup"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/planner"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
)

// statusRequest is the peer message that asks for a daemon's status. Decisions
// about the worker, if any is named, are explained in it.
type statusRequest struct {
	Worker string `json:"worker,omitempty"`
}

// collectParts asks the owner of every shard that the intent concerns for its part
// of the plan. An intent that runs a job concerns the job's home shard only.
func (r *Responder) collectParts(ctx context.Context, intent describer.Intent) ([]describer.Plan, error) {
	owners, err := r.ownersFor(intent)
	if err != nil {
		return nil, err
	}
	return gather(ctx, owners, func(ctx context.Context, owner string) (describer.Plan, error) {
		if owner == "" {
			return r.planLocal(ctx, intent)
		}
		var part describer.Plan
		err := r.options.Peers.Call(ctx, owner, messenger.Steps, intent, &part)
		return part, err
	})
}

// ownersFor returns the peer addresses of the owners of the shards that the intent
// concerns; the empty address is this daemon.
func (r *Responder) ownersFor(intent describer.Intent) ([]string, error) {
	if intent.Action == describer.Run && intent.Job != nil {
		owner, _, err := r.homeOwner(intent.Job.ID)
		return []string{owner}, err
	}
	configuration := r.options.Configuration.Current()
	if configuration.Revision == 0 {
		return nil, unavailable("not-ready", "no configuration is known yet")
	}
	domain := planner.EvacuatedDomain(configuration, intent)
	if domain != "" || intent.Action == describer.Evacuate {
		return r.ownersInDomain(configuration, domain), nil
	}
	owners := make(map[string]bool)
	for _, shard := range r.shardsFor(configuration, intent) {
		owner, _, err := r.shardOwner(shard)
		if err != nil {
			return nil, err
		}
		owners[owner] = true
	}
	return slices.Sorted(maps.Keys(owners)), nil
}

// ownersInDomain returns the peer addresses of the known owners of the domain's
// shards, or only this daemon if there is none. A domain may be evacuated because
// its owners have failed, and may be unknown.
func (r *Responder) ownersInDomain(c describer.Configuration, domain string) []string {
	owners := make(map[string]bool)
	for _, shard := range c.Shards {
		if shard.Domain != domain {
			continue
		}
		if owner, _, err := r.shardOwner(shard.ID); err == nil {
			owners[owner] = true
		}
	}
	if len(owners) == 0 {
		return []string{""}
	}
	return slices.Sorted(maps.Keys(owners))
}

// shardsFor returns the shards that the intent may affect. For a drain these are
// only the shards of its workers, so that it can be planned while a partition
// separates this daemon from the other shards.
func (r *Responder) shardsFor(c describer.Configuration, intent describer.Intent) []string {
	var all, concerned []string
	for _, shard := range c.Shards {
		all = append(all, shard.ID)
	}
	if intent.Action != describer.DrainWorkers {
		return all
	}
	shards := shardsByWorker(r.options.Table())
	for _, worker := range intent.Workers {
		shard, ok := shards[worker]
		if !ok {
			return all // no shard owns the worker; merging all parts reports it as unknown
		}
		concerned = append(concerned, shard)
	}
	return concerned
}

// shardsByWorker returns the shard of each worker in the routing table.
func shardsByWorker(table *describer.RoutingTable) map[string]string {
	out := make(map[string]string)
	for _, backends := range table.Services {
		for _, b := range backends {
			out[b.Worker] = b.Shard
		}
	}
	return out
}

// collectStatus asks this daemon and the owners of all shards for their status. The
// status of an owner that doesn't answer holds only a remark in place of its name.
func (r *Responder) collectStatus(ctx context.Context, worker string) []reducer.Status {
	owners := map[string]bool{"": true}
	for shard, owner := range r.options.Table().Owners {
		if _, local := r.options.Table().Owned[shard]; !local {
			owners[owner] = true
		}
	}
	statuses, _ := gather(ctx, slices.Sorted(maps.Keys(owners)), func(ctx context.Context, owner string) (reducer.Status, error) {
		if owner == "" {
			return r.statusLocal(ctx, worker)
		}
		var status reducer.Status
		if err := r.options.Peers.Call(ctx, owner, messenger.Report, statusRequest{Worker: worker}, &status); err != nil {
			r.options.Log.Info().Err(err).Str("peer", owner).Msg("peer status request failed")
			return reducer.Status{Daemon: owner + " (unreachable)"}, nil
		}
		return status, nil
	})
	return statuses
}

// gather calls ask for all owners concurrently. Results are in the order of
// owners; the error is the first one.
func gather[T any](ctx context.Context, owners []string, ask func(context.Context, string) (T, error)) ([]T, error) {
	group, ctx := errgroup.WithContext(ctx)
	results := make([]T, len(owners))
	for i, owner := range owners {
		group.Go(func() error {
			var err error
			results[i], err = ask(ctx, owner)
			return err
		})
	}
	err := group.Wait()
	return results, err
}

func (r *Responder) planLocal(ctx context.Context, intent describer.Intent) (describer.Plan, error) {
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.PlanRequested{Request: id, Intent: intent}
	})
	if err != nil {
		return describer.Plan{}, err
	}
	return *reply.Plan, nil
}

func (r *Responder) statusLocal(ctx context.Context, worker string) (reducer.Status, error) {
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.StatusRequested{Request: id, Worker: worker}
	})
	if err != nil {
		return reducer.Status{}, err
	}
	return *reply.Status, nil
}

func (r *Responder) handlePlanSteps(ctx context.Context, params json.RawMessage) (any, error) {
	var intent describer.Intent
	if err := json.Unmarshal(params, &intent); err != nil {
		return nil, bodyError(err)
	}
	return r.planLocal(ctx, intent)
}

func (r *Responder) handleStatus(ctx context.Context, params json.RawMessage) (any, error) {
	var request statusRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, bodyError(err)
	}
	return r.statusLocal(ctx, request.Worker)
}
