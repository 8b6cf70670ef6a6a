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

// errGap says that changes do not lead from the configuration at hand.
var errGap = errors.New("distributor: changes do not fit the configuration")

// change leads from one revision to the next. A changed document is sent as
// changes, since it is hundreds of times larger than most of them.
type change struct {
	Revision int64                    `json:"revision"` // that it leads to
	Sum      uint64                   `json:"sum"`      // of the configuration that it leads to
	Services *edit[describer.Service] `json:"services,omitempty"`
	Teams    *edit[describer.Team]    `json:"teams,omitempty"`
	Shards   *edit[describer.Shard]   `json:"shards,omitempty"`
	Drains   *edit[describer.Drain]   `json:"drains,omitempty"`
	Weights  *describer.Weights       `json:"weights,omitempty"`
}

// edit changes a list whose entries have a name.
type edit[T any] struct {
	Set  []T      `json:"set,omitempty"`
	Drop []string `json:"drop,omitempty"`
}

func serviceName(s describer.Service) string { return s.Name }
func teamName(t describer.Team) string       { return t.Name }
func shardName(s describer.Shard) string     { return s.ID }
func drainName(d describer.Drain) string     { return d.ID }

// normalize sorts the lists by name, so that a change gives the same document
// everywhere. It copies the lists and fails on a name that occurs twice.
func normalize(c describer.Configuration) (describer.Configuration, error) {
	var errs [4]error
	c.Services, errs[0] = sorted(c.Services, serviceName)
	c.Teams, errs[1] = sorted(c.Teams, teamName)
	c.Shards, errs[2] = sorted(c.Shards, shardName)
	c.Drains, errs[3] = sorted(c.Drains, drainName)
	return c, errors.Join(errs[:]...)
}

func sorted[T any](list []T, name func(T) string) ([]T, error) {
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

// clone copies a configuration, so that its receiver may change it.
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

func sum(c describer.Configuration) (uint64, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return 0, fmt.Errorf("distributor: encode configuration: %w", err)
	}
	return xxhash.Sum64(b), nil
}

// difference returns the change from a to b, both normalized.
func difference(a, b describer.Configuration) (change, error) {
	s, err := sum(b)
	if err != nil {
		return change{}, err
	}
	out := change{
		Revision: b.Revision,
		Sum:      s,
		Services: compare(a.Services, b.Services, serviceName),
		Teams:    compare(a.Teams, b.Teams, teamName),
		Shards:   compare(a.Shards, b.Shards, shardName),
		Drains:   compare(a.Drains, b.Drains, drainName),
	}
	if a.Weights != b.Weights {
		out.Weights = &b.Weights
	}
	return out, nil
}

func compare[T any](a, b []T, name func(T) string) *edit[T] {
	old := make(map[string]T, len(a))
	for _, v := range a {
		old[name(v)] = v
	}
	out := &edit[T]{}
	for _, v := range b {
		before, ok := old[name(v)]
		if !ok || !reflect.DeepEqual(before, v) {
			out.Set = append(out.Set, v)
		}
		delete(old, name(v))
	}
	for n := range old {
		out.Drop = append(out.Drop, n)
	}
	slices.Sort(out.Drop)
	if len(out.Set) == 0 && len(out.Drop) == 0 {
		return nil
	}
	return out
}

// applyTo returns the configuration after the change, leaving c as it is.
func (g change) applyTo(c describer.Configuration) (describer.Configuration, error) {
	if c.Revision+1 != g.Revision {
		return c, errGap
	}
	c.Revision = g.Revision
	c.Services = g.Services.applyTo(c.Services, serviceName)
	c.Teams = g.Teams.applyTo(c.Teams, teamName)
	c.Shards = g.Shards.applyTo(c.Shards, shardName)
	c.Drains = g.Drains.applyTo(c.Drains, drainName)
	if g.Weights != nil {
		c.Weights = *g.Weights
	}
	return c, nil
}

func (e *edit[T]) applyTo(list []T, name func(T) string) []T {
	if e == nil {
		return list
	}
	replaced := make(map[string]bool, len(e.Set)+len(e.Drop))
	for _, v := range e.Set {
		replaced[name(v)] = true
	}
	for _, n := range e.Drop {
		replaced[n] = true
	}
	var out []T
	for _, v := range list {
		if !replaced[name(v)] {
			out = append(out, v)
		}
	}
	out = append(out, e.Set...)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return out
}

// advance applies the changes that are later than c and checks the outcome
// against the sum of the last one.
func advance(c describer.Configuration, changes []change) (describer.Configuration, error) {
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
	s, err := sum(c)
	if err != nil {
		return c, err
	}
	if s != last.Sum {
		return c, errGap
	}
	return c, nil
}

// kept is the number of recent changes that a host can hand on.
const kept = 64

// trail joins the changes known before with new ones, if they lead without a
// gap to the revision.
func trail(old, changes []change, revision int64) []change {
	out := slices.Clone(old)
	for _, g := range changes {
		switch {
		case len(out) > 0 && g.Revision <= out[len(out)-1].Revision:
			continue
		case len(out) > 0 && g.Revision != out[len(out)-1].Revision+1:
			out = nil
		}
		out = append(out, g)
	}
	if len(out) == 0 || out[len(out)-1].Revision != revision {
		return nil
	}
	return out[max(0, len(out)-kept):]
}
