package checker

import (
	"fmt"
	"strings"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Configuration checks the product's own configuration. If workers is nil, services,
// shards and quotas aren't compared with them.
func Configuration(c describer.Configuration, workers []Worker) []Finding {
	var f findings
	checkNotNegative(&f, "revision", c.Revision)
	checkNames(&f, c.Services, func(s *describer.Service) string { return s.Name }, servicePath("name"))
	checkNames(&f, c.Teams, func(t *describer.Team) string { return t.Name }, teamPath("name"))
	checkNames(&f, c.Shards, func(s *describer.Shard) string { return s.ID }, shardPath("id"))
	for i, s := range c.Services {
		checkRequestName(&f, servicePath("name")(i), s.Name)
		switch {
		case s.Target < 0:
			f.addError(servicePath("target")(i), "must not be negative, is %s", s.Target)
		case s.Target == 0:
			f.addWarning(servicePath("target")(i), "is 0, so that nothing keeps the service fast")
		}
	}
	for i := range c.Teams {
		checkRequestName(&f, teamPath("name")(i), c.Teams[i].Name)
		checkTeam(&f, fmt.Sprintf("teams[%d]", i), &c.Teams[i], len(c.Shards))
	}
	checkShards(&f, c.Shards)
	checkWeights(&f, c.Weights)
	if workers != nil {
		checkWorkers(&f, &c, workers)
	}
	return f
}

// teamPath returns a function that returns the path of a field of team i.
func teamPath(field string) func(i int) string {
	return func(i int) string { return fmt.Sprintf("teams[%d].%s", i, field) }
}

// shardPath returns a function that returns the path of a field of shard i.
func shardPath(field string) func(i int) string {
	return func(i int) string { return fmt.Sprintf("shards[%d].%s", i, field) }
}

// checkRequestName reports a name that requests can't have: that of a service is a segment
// of their path, and that of a team the value of a header.
func checkRequestName(f *findings, path, name string) {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
	if i := strings.IndexFunc(name, func(r rune) bool { return !strings.ContainsRune(allowed, r) }); i >= 0 {
		f.addError(path, "must consist of letters, digits, - _ and ., is %q, so that requests can't state it", name)
	}
}

// checkTeam checks a team's weight and quota.
func checkTeam(f *findings, path string, t *describer.Team, shards int) {
	if t.Weight < 1 {
		f.addError(path+".weight", "must be at least 1, is %d", t.Weight)
	}
	for _, quota := range quotas(t.Quota) {
		checkNotNegative(f, path+".quota."+quota.name, quota.amount)
		if quota.amount > 0 && quota.amount < int64(shards) {
			// Each shard gets its share of the quota, rounded up.
			f.addWarning(path+".quota."+quota.name, "is %d; the shares of %d shards, each rounded up, exceed it", quota.amount, shards)
		}
	}
}

// resource is the amount of one kind of resources.
type resource struct {
	name   string
	amount int64
}

// quotas returns the amounts of a quota by resource, named as in the file.
func quotas(r describer.Resources) []resource {
	return []resource{{"cpu", r.CPU}, {"memory", r.Memory}, {"accelerators", r.Accelerators}}
}

// rackKey identifies a rack; names of racks are unique in their failure domain only.
type rackKey struct{ domain, rack string }

// checkShards checks that each rack of the shards has one owner.
func checkShards(f *findings, shards []describer.Shard) {
	if len(shards) == 0 {
		f.addError("shards", "at least one shard is needed")
	}
	shardOf := make(map[rackKey]string)
	for i, s := range shards {
		if s.Domain == "" {
			f.addError(shardPath("domain")(i), "is missing")
		}
		if len(s.Racks) == 0 {
			f.addError(shardPath("racks")(i), "at least one rack is needed")
		}
		for j, rack := range s.Racks {
			path := fmt.Sprintf("%s[%d]", shardPath("racks")(i), j)
			if rack == "" {
				f.addError(path, "is missing")
				continue
			}
			key := rackKey{s.Domain, rack}
			if other, ok := shardOf[key]; ok {
				f.addError(path, "rack %s of domain %s belongs to shard %s already", rack, s.Domain, other)
				continue
			}
			shardOf[key] = s.ID
		}
	}
}

// checkWeights checks the weights of the measures that the deployment optimises.
func checkWeights(f *findings, w describer.Weights) {
	checkNotNegative(f, "weights.latency", w.Latency)
	checkNotNegative(f, "weights.throughput", w.Throughput)
	checkNotNegative(f, "weights.evictions", w.Evictions)
	if (w == describer.Weights{}) {
		f.addWarning("weights", "are all 0")
	}
}

// checkWorkers compares a configuration with the registered workers.
func checkWorkers(f *findings, c *describer.Configuration, workers []Worker) {
	count := workersByService(workers)
	for i, s := range c.Services {
		if s.Name != "" && count[s.Name] == 0 {
			f.addWarning(servicePath("name")(i), "service %q has no workers", s.Name)
		}
	}
	domains, racks := make(map[string]bool), make(map[rackKey]bool)
	var whole describer.Resources
	for i := range workers {
		w := &workers[i]
		domains[w.Domain] = true
		racks[rackKey{w.Domain, w.Rack}] = true
		whole = whole.Add(w.Capacity)
	}
	for i, s := range c.Shards {
		if s.Domain != "" && !domains[s.Domain] {
			f.addWarning(shardPath("domain")(i), "domain %q has no workers", s.Domain)
			continue
		}
		for j, rack := range s.Racks {
			if rack != "" && !racks[rackKey{s.Domain, rack}] {
				f.addWarning(fmt.Sprintf("%s[%d]", shardPath("racks")(i), j), "rack %q has no workers in domain %q", rack, s.Domain)
			}
		}
	}
	checkUnowned(f, c.Shards, workers)
	available := quotas(whole)
	for i, t := range c.Teams {
		for j, quota := range quotas(t.Quota) {
			if quota.amount > available[j].amount {
				f.addWarning(fmt.Sprintf("teams[%d].quota.%s", i, quota.name), "is %d, above the capacity of all workers, %d",
					quota.amount, available[j].amount)
			}
		}
	}
}

// checkUnowned reports each rack that has workers and belongs to no shard.
func checkUnowned(f *findings, shards []describer.Shard, workers []Worker) {
	owned := make(map[rackKey]bool)
	for _, s := range shards {
		for _, rack := range s.Racks {
			owned[rackKey{s.Domain, rack}] = true
		}
	}
	for i := range workers {
		key := rackKey{workers[i].Domain, workers[i].Rack}
		if !owned[key] {
			owned[key] = true
			f.addWarning("shards", "no shard has rack %q of domain %q, which has workers", key.rack, key.domain)
		}
	}
}
