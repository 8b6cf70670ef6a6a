package distributor

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// errNotApplicable is returned when changes do not lead on from the
// configuration that they are applied to.
var errNotApplicable = errors.New("distributor: changes do not apply to the configuration")

// change is the difference between a revision and the next. Changes are sent in
// place of the whole configuration, which is hundreds of times larger than most
// of them.
type change struct {
	Revision int64                          `json:"revision"` // revision after the change
	Checksum uint64                         `json:"sum"`      // checksum of what results, without evacuations
	Services *listChange[describer.Service] `json:"services,omitempty"`
	Teams    *listChange[describer.Team]    `json:"teams,omitempty"`
	Shards   *listChange[describer.Shard]   `json:"shards,omitempty"`
	Drains   *listChange[describer.Drain]   `json:"drains,omitempty"`
	Weights  *describer.Weights             `json:"weights,omitempty"`

	// Evacuations are all evacuations after the change. It is nil in changes by older
	// versions, which don't know evacuations and may have lost them in a base. A
	// difference could then not be applied on all hosts.
	Evacuations *[]describer.Evacuation `json:"evacuations,omitempty"`
}

// listChange is the difference between two lists whose entries have names.
type listChange[T any] struct {
	Set    []T      `json:"set,omitempty"`  // entries that are added or replaced
	Remove []string `json:"drop,omitempty"` // names of the entries that are removed
}

func serviceName(s describer.Service) string { return s.Name }
func teamName(t describer.Team) string       { return t.Name }
func shardName(s describer.Shard) string     { return s.ID }
func drainName(d describer.Drain) string     { return d.ID }

func evacuationName(e describer.Evacuation) string { return e.ID }

// sortLists returns c with copies of its lists that are sorted by name, so that
// all hosts get the same configuration from a change. It fails on a name that
// occurs twice.
func sortLists(c describer.Configuration) (describer.Configuration, error) {
	var errs [5]error
	c.Services, errs[0] = sortedByName(c.Services, serviceName)
	c.Teams, errs[1] = sortedByName(c.Teams, teamName)
	c.Shards, errs[2] = sortedByName(c.Shards, shardName)
	c.Drains, errs[3] = sortedByName(c.Drains, drainName)
	c.Evacuations, errs[4] = sortedByName(c.Evacuations, evacuationName)
	return c, errors.Join(errs[:]...)
}

// sortedByName returns a sorted copy of the list, or nil if the list is empty.
func sortedByName[T any](list []T, name func(T) string) ([]T, error) {
	if len(list) == 0 {
		return nil, nil
	}
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	for i := 1; i < len(out); i++ {
		if name(out[i-1]) == name(out[i]) {
			return nil, fmt.Errorf("distributor: %q occurs twice", name(out[i]))
		}
	}
	return out, nil
}

// clone returns a deep copy of a configuration.
func clone(c describer.Configuration) (describer.Configuration, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return c, fmt.Errorf("distributor: encode configuration: %w", err)
	}
	var out describer.Configuration
	if err := json.Unmarshal(b, &out); err != nil {
		return c, fmt.Errorf("distributor: decode configuration: %w", err)
	}
	return out, nil
}

// checksum returns the xxhash of the encoded configuration without evacuations, as
// versions that don't know them compute it.
func checksum(c describer.Configuration) (uint64, error) {
	c.Evacuations = nil
	b, err := json.Marshal(c)
	if err != nil {
		return 0, fmt.Errorf("distributor: encode configuration: %w", err)
	}
	return xxhash.Sum64(b), nil
}

// diff returns the change from a to b, whose lists are both sorted.
func diff(a, b describer.Configuration) (change, error) {
	s, err := checksum(b)
	if err != nil {
		return change{}, err
	}
	evacuations := append([]describer.Evacuation{}, b.Evacuations...) // not nil, which would be encoded as null
	out := change{
		Revision:    b.Revision,
		Checksum:    s,
		Services:    diffList(a.Services, b.Services, serviceName),
		Teams:       diffList(a.Teams, b.Teams, teamName),
		Shards:      diffList(a.Shards, b.Shards, shardName),
		Drains:      diffList(a.Drains, b.Drains, drainName),
		Evacuations: &evacuations,
	}
	if a.Weights != b.Weights {
		out.Weights = &b.Weights
	}
	return out, nil
}

// diffList returns the difference between two lists, or nil if they are equal.
func diffList[T any](a, b []T, name func(T) string) *listChange[T] {
	previous := make(map[string]T, len(a))
	for _, v := range a {
		previous[name(v)] = v
	}
	out := &listChange[T]{}
	for _, v := range b {
		oldValue, ok := previous[name(v)]
		if !ok || !reflect.DeepEqual(oldValue, v) {
			out.Set = append(out.Set, v)
		}
		delete(previous, name(v))
	}
	for n := range previous {
		out.Remove = append(out.Remove, n)
	}
	slices.Sort(out.Remove)
	if len(out.Set) == 0 && len(out.Remove) == 0 {
		return nil
	}
	return out
}

// applyTo returns the configuration after the change. It does not change c.
func (ch change) applyTo(c describer.Configuration) (describer.Configuration, error) {
	if c.Revision+1 != ch.Revision {
		return c, errNotApplicable
	}
	c.Revision = ch.Revision
	c.Services = ch.Services.applyTo(c.Services, serviceName)
	c.Teams = ch.Teams.applyTo(c.Teams, teamName)
	c.Shards = ch.Shards.applyTo(c.Shards, shardName)
	c.Drains = ch.Drains.applyTo(c.Drains, drainName)
	if ch.Evacuations != nil {
		c.Evacuations = append([]describer.Evacuation(nil), *ch.Evacuations...)
	}
	if ch.Weights != nil {
		c.Weights = *ch.Weights
	}
	return c, nil
}

// applyTo returns the list after the change, sorted by name. It does not change
// list.
func (l *listChange[T]) applyTo(list []T, name func(T) string) []T {
	if l == nil {
		return list
	}
	replaced := make(map[string]bool, len(l.Set)+len(l.Remove))
	for _, v := range l.Set {
		replaced[name(v)] = true
	}
	for _, n := range l.Remove {
		replaced[n] = true
	}
	var out []T
	for _, v := range list {
		if !replaced[name(v)] {
			out = append(out, v)
		}
	}
	out = append(out, l.Set...)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return out
}

// applyChanges applies the changes whose revisions are greater than that of c
// and verifies the checksum of the last one.
func applyChanges(c describer.Configuration, changes []change) (describer.Configuration, error) {
	var last *change
	for i := range changes {
		if changes[i].Revision <= c.Revision {
			continue
		}
		var err error
		if c, err = changes[i].applyTo(c); err != nil {
			return c, err
		}
		last = &changes[i]
	}
	if last == nil {
		return c, nil
	}
	s, err := checksum(c)
	if err != nil {
		return c, err
	}
	if s != last.Checksum {
		return c, errNotApplicable
	}
	return c, nil
}

// maxRecentChanges is the number of changes that a host keeps to send them to
// peers that lack them.
const maxRecentChanges = 64

// appendChanges appends new changes to the old ones and returns the latest. It
// drops changes before a gap in the revisions, and returns nil if the changes do
// not lead to revision.
func appendChanges(old, changes []change, revision int64) []change {
	out := slices.Clone(old)
	for _, ch := range changes {
		switch {
		case len(out) > 0 && ch.Revision <= out[len(out)-1].Revision:
			continue
		case len(out) > 0 && ch.Revision != out[len(out)-1].Revision+1:
			out = nil
		}
		out = append(out, ch)
	}
	if len(out) == 0 || out[len(out)-1].Revision != revision {
		return nil
	}
	return out[max(0, len(out)-maxRecentChanges):]
}
