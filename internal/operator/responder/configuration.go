package responder

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/state/distributor"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// statusTimeout bounds how long a status request waits for owners that don't
// answer.
const statusTimeout = 2 * time.Second

func (r *Responder) showStatus(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), statusTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, r.collectStatus(ctx, request.URL.Query().Get("worker")))
}

func (r *Responder) showConfiguration(w http.ResponseWriter, _ *http.Request) {
	configuration := r.options.Configuration.Current()
	if configuration.Revision == 0 {
		classifier.WriteError(w, unavailable("not-ready", "no configuration is known yet"))
		return
	}
	writeJSON(w, http.StatusOK, configuration)
}

// setConfiguration replaces services, teams, shards and weights. The body's
// revision must be the one in force, or 0 if there is none. Drains and evacuations
// are kept; only intents change them.
func (r *Responder) setConfiguration(w http.ResponseWriter, request *http.Request) {
	var wanted describer.Configuration
	if err := r.readJSON(w, request, &wanted); err != nil {
		classifier.WriteError(w, err)
		return
	}
	if err := checkConfiguration(wanted); err != nil {
		classifier.WriteError(w, err)
		return
	}
	accepted, err := r.propose(request.Context(), wanted.Revision, func(c describer.Configuration) (describer.Configuration, error) {
		wanted.Drains, wanted.Evacuations = c.Drains, c.Evacuations
		return wanted, checkShardsKept(c.Shards, wanted.Shards)
	})
	if err != nil {
		classifier.WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, accepted)
}

// propose changes the configuration by edit if it is still at the revision, and
// returns the result. Errors of edit are returned unwrapped. The error for another
// revision lists what differs.
func (r *Responder) propose(ctx context.Context, revision int64, edit distributor.Edit) (describer.Configuration, error) {
	var refused error
	accepted, err := r.options.Configuration.Propose(ctx, func(c describer.Configuration) (describer.Configuration, error) {
		if c.Revision != revision {
			refused = stale(configurationChanges(revision, c))
			return c, refused
		}
		c, refused = edit(c)
		return c, refused
	})
	if err != nil && refused != nil {
		return accepted, refused
	}
	return accepted, err
}

// checkConfiguration reports the first thing that is wrong in a configuration.
func checkConfiguration(c describer.Configuration) error {
	if len(c.Shards) == 0 {
		return invalid("shards", "at least one shard is needed")
	}
	if err := checkNames("services", c.Services, func(s describer.Service) string { return s.Name }); err != nil {
		return err
	}
	if err := checkNames("teams", c.Teams, func(t describer.Team) string { return t.Name }); err != nil {
		return err
	}
	if err := checkNames("shards", c.Shards, func(s describer.Shard) string { return s.ID }); err != nil {
		return err
	}
	for i, team := range c.Teams {
		if team.Weight < 1 {
			return invalid(fmt.Sprintf("teams[%d].weight", i), fmt.Sprintf("must be at least 1, is %d", team.Weight))
		}
	}
	return checkRacks(c.Shards)
}

// checkShardsKept refuses changes of shards that would lose state. A rack must not
// move to another shard, whose owner wouldn't know what runs there. The set of
// shards must stay, since it determines the home shards of job IDs and idempotency
// keys. Racks may be added.
func checkShardsKept(old, wanted []describer.Shard) error {
	if len(old) == 0 {
		return nil
	}
	if len(old) != len(wanted) {
		return invalid("shards", "shards cannot be added or removed")
	}
	for i, shard := range wanted {
		if shard.ID != old[i].ID || shard.Domain != old[i].Domain {
			return invalid(fmt.Sprintf("shards[%d]", i), "must stay shard "+old[i].ID+" in "+old[i].Domain)
		}
		for _, rack := range old[i].Racks {
			if !slices.Contains(shard.Racks, rack) {
				return invalid(fmt.Sprintf("shards[%d].racks", i), "rack "+rack+" cannot be removed")
			}
		}
	}
	return nil
}

// checkRacks refuses a rack that is in two shards, since its workers would have two
// owners.
func checkRacks(shards []describer.Shard) error {
	type rackKey struct{ domain, rack string }
	shardOf := make(map[rackKey]string)
	for i, shard := range shards {
		if shard.Domain == "" || len(shard.Racks) == 0 {
			return invalid(fmt.Sprintf("shards[%d]", i), "needs a domain and at least one rack")
		}
		for _, rack := range shard.Racks {
			key := rackKey{shard.Domain, rack}
			if other, ok := shardOf[key]; ok {
				return invalid(fmt.Sprintf("shards[%d].racks", i), "rack "+rack+" belongs to shard "+other+" already")
			}
			shardOf[key] = shard.ID
		}
	}
	return nil
}

// checkNames refuses values without a name and values with the same name.
func checkNames[T any](field string, values []T, name func(T) string) error {
	seen := make(map[string]bool)
	for i, v := range values {
		n := name(v)
		if n == "" {
			return invalid(fmt.Sprintf("%s[%d]", field, i), "has no name")
		}
		if seen[n] {
			return invalid(fmt.Sprintf("%s[%d]", field, i), n+" stands twice")
		}
		seen[n] = true
	}
	return nil
}
