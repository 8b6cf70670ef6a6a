package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Change is a difference between two configurations.
type Change struct {
	Verb  Verb   `json:"verb"`
	Entry string `json:"entry"`           // such as "queue tiles"; empty: not in an entry
	Field string `json:"field,omitempty"` // changed only
	From  string `json:"from,omitempty"`  // changed only
	To    string `json:"to,omitempty"`    // changed only
}

// Verb says how a configuration differs from another.
type Verb string

// Verbs of changes.
const (
	Added   Verb = "added"
	Removed Verb = "removed"
	Changed Verb = "changed"
)

// String returns the change in words.
func (c Change) String() string {
	if c.Verb != Changed {
		return fmt.Sprintf("%s %s", c.Entry, c.Verb)
	}
	field := c.Field
	if c.Entry != "" {
		field = c.Entry + ": " + field
	}
	return fmt.Sprintf("%s changed from %s to %s", field, c.From, c.To)
}

// Item is an entry of a configuration, or its values outside of entries, as text.
type Item struct {
	Name   string // such as "queue tiles"; empty for values outside of entries
	Values []Value
}

// Value is a field of an entry.
type Value struct{ Field, Text string }

// Compare returns the differences between two lists of entries: first the added and changed
// entries, in the order of next, and then the removed ones. Entries are paired by name; of
// several entries with one name the first counts.
func Compare(inForce, next []Item) []Change {
	before, changes := byName(inForce), []Change{}
	after := byName(next)
	for i := range next {
		e := &next[i]
		if after[e.Name] != e {
			continue
		}
		old := before[e.Name]
		if old == nil {
			changes = append(changes, Change{Verb: Added, Entry: e.Name})
			continue
		}
		changes = append(changes, compareValues(e.Name, old.Values, e.Values)...)
	}
	for i := range inForce {
		e := &inForce[i]
		if before[e.Name] == e && after[e.Name] == nil {
			changes = append(changes, Change{Verb: Removed, Entry: e.Name})
		}
	}
	return changes
}

// byName returns the entries by name, the first of those with the same name.
func byName(entries []Item) map[string]*Item {
	named := make(map[string]*Item, len(entries))
	for i := range entries {
		if named[entries[i].Name] == nil {
			named[entries[i].Name] = &entries[i]
		}
	}
	return named
}

// compareValues returns the changed fields of an entry. A field that only one version has
// is shown as "none" in the other.
func compareValues(entry string, before, after []Value) []Change {
	old := make(map[string]string, len(before))
	for _, v := range before {
		old[v.Field] = v.Text
	}
	var changes []Change
	for _, v := range after {
		text, ok := old[v.Field]
		delete(old, v.Field)
		if !ok {
			text = "none"
		}
		if text != v.Text {
			changes = append(changes, Change{Verb: Changed, Entry: entry, Field: v.Field, From: text, To: v.Text})
		}
	}
	for _, v := range before {
		if text, ok := old[v.Field]; ok {
			changes = append(changes, Change{Verb: Changed, Entry: entry, Field: v.Field, From: text, To: "none"})
		}
	}
	return changes
}

// CompareCatalogs returns what next changes of the catalog in force, and a warning if
// daemons would ignore it because its version isn't higher.
func CompareCatalogs(inForce, next *specifier.Catalog) ([]Change, []Finding) {
	var f findings
	if next.Version <= inForce.Version {
		f.addWarning("version", "is %d, not higher than the version in force, %d; daemons ignore it", next.Version, inForce.Version)
	}
	return Compare(catalogEntries(inForce), catalogEntries(next)), f
}

// catalogEntries returns the parts of a catalog for Compare.
func catalogEntries(c *specifier.Catalog) []Item {
	entries := []Item{{Values: []Value{{"version", strconv.FormatInt(c.Version, 10)}}}}
	for i := range c.Queues {
		q := &c.Queues[i]
		advice := "none"
		if q.Advice.Needed {
			advice = fmt.Sprintf("%s and %s for each worker, valid for %s",
				q.Advice.RequestTime, q.Advice.PerWorkerTime, q.Advice.Validity)
		}
		entries = append(entries, Item{entryName("queue", q.Name), []Value{
			{"host name", strconv.Quote(q.Hostname)},
			{"prefix", strconv.Quote(q.Prefix)},
			{"service", strconv.Quote(q.Service)},
			{"priority", strconv.Itoa(q.Priority)},
			{"attempts", strconv.Itoa(q.Attempts)},
			{"slack", formatNumber(q.Slack)},
			{"completion target", q.Completion.String()},
			{"timeout", q.Timeout.String()},
			{"advice", advice},
		}})
	}
	for _, s := range c.Services {
		entries = append(entries, Item{entryName("service", s.Name), []Value{
			{"refusal of overload", strconv.FormatBool(s.RejectsOverload)},
			{"standby", strconv.FormatBool(s.Standby)},
		}})
	}
	l := &c.Limits
	return append(entries, Item{"limits", []Value{
		{"header", fmt.Sprintf("%d bytes", l.Header)},
		{"body", fmt.Sprintf("%d bytes", l.Body)},
		{"header time", l.HeaderTime.String()},
		{"idle time", l.IdleTime.String()},
	}})
}

// CompareConfigurations returns what next changes of the configuration in force. The
// findings are changes of shards that daemons refuse, and a warning if next replaces an
// older revision than the one in force.
func CompareConfigurations(inForce, next describer.Configuration) ([]Change, []Finding) {
	var f findings
	if next.Revision < inForce.Revision {
		f.addWarning("revision", "is %d, lower than the revision in force, %d; daemons refuse it as stale", next.Revision, inForce.Revision)
	}
	compareShards(&f, inForce.Shards, next.Shards)
	return Compare(configurationEntries(&inForce), configurationEntries(&next)), f
}

// compareShards reports changes that lose state: job ids and idempotency keys are kept by
// shard, and the owner of a moved rack wouldn't know what runs there.
func compareShards(f *findings, inForce, next []describer.Shard) {
	if len(inForce) == 0 {
		return
	}
	before := make(map[string]*describer.Shard, len(inForce))
	for i := range inForce {
		before[inForce[i].ID] = &inForce[i]
	}
	for i, s := range next {
		old := before[s.ID]
		delete(before, s.ID)
		if old == nil {
			f.addError(shardPath("id")(i), "shard %q can't be added later", s.ID)
			continue
		}
		if s.Domain != old.Domain {
			f.addError(shardPath("domain")(i), "must stay %s, is %s", old.Domain, s.Domain)
		}
		for _, rack := range old.Racks {
			if !slices.Contains(s.Racks, rack) {
				f.addError(shardPath("racks")(i), "rack %s can't be removed", rack)
			}
		}
	}
	for i := range inForce {
		if s := &inForce[i]; before[s.ID] == s {
			f.addError("shards", "shard %q can't be removed", s.ID)
		}
	}
	if !slices.IsSortedFunc(next, func(a, b describer.Shard) int { return strings.Compare(a.ID, b.ID) }) {
		// Daemons compare the shards with those in force, which they keep in this order.
		f.addError("shards", "must be in the order of their ids")
	}
}

// configurationEntries returns the parts of a configuration for Compare. Drains and
// evacuations are left out, since only intents change them.
func configurationEntries(c *describer.Configuration) []Item {
	entries := []Item{{Values: []Value{{"revision", strconv.FormatInt(c.Revision, 10)}}}}
	for _, s := range c.Services {
		entries = append(entries, Item{entryName("service", s.Name), []Value{{"latency target", s.Target.String()}}})
	}
	for _, t := range c.Teams {
		values := []Value{{"weight", strconv.Itoa(t.Weight)}}
		for _, quota := range quotas(t.Quota) {
			values = append(values, Value{quota.name + " quota", strconv.FormatInt(quota.amount, 10)})
		}
		entries = append(entries, Item{entryName("team", t.Name), values})
	}
	for _, s := range c.Shards {
		racks := slices.Sorted(slices.Values(s.Racks))
		entries = append(entries, Item{entryName("shard", s.ID), []Value{
			{"domain", strconv.Quote(s.Domain)}, {"racks", "[" + strings.Join(racks, " ") + "]"},
		}})
	}
	return append(entries, Item{"weights", []Value{
		{"latency", formatNumber(c.Weights.Latency)},
		{"throughput", formatNumber(c.Weights.Throughput)},
		{"evictions", formatNumber(c.Weights.Evictions)},
	}})
}

// entryName returns the name of an entry for Compare. An entry without a name, which is an
// error, has a fixed one.
func entryName(noun, name string) string { return noun + " " + cmp.Or(name, "without a name") }

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
