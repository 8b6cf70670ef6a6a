package recorder

import (
	"slices"
	"time"
)

// Fence is replaced by every write of a shard's owner, so that only the current
// owner can write.
type Fence struct {
	Owner   string `json:"owner"`
	Epoch   int64  `json:"epoch"`             // number of earlier claims
	WriteID string `json:"write"`             // random id of the write
	Process int64  `json:"process,omitempty"` // of the owner, see Host

	WorkerList

	// Released is set when the owner has released the shard. WorkerLeases then
	// replaces Workers.
	Released     bool          `json:"released,omitempty"`
	WorkerLeases []WorkerLease `json:"leftovers,omitempty"`
}

// LeaseRule is a version of the rule by which an owner that the store doesn't confirm renews leases.
type LeaseRule uint8

// Rules. An owner stops in any case when the store hasn't confirmed it for its outage limit.
const (
	OutageRule LeaseRule = iota // until then
	QuorumRule                  // only while a quorum of the voters accepts its orders, see package dispatcher
)

func (r LeaseRule) String() string { return [...]string{"outage", "quorum"}[r] }

// WorkerList tells the next owner of a shard which workers may have runs of it.
type WorkerList struct {
	Workers []string `json:"workers,omitempty"` // ids of all of them

	// Settled is set when the owner knows all runs of earlier owners. Only its own leases
	// are valid then.
	Settled bool `json:"settled,omitempty"`

	// Inherited are those of Workers that didn't answer the owner. It grants no lease there
	// while they are listed, but earlier owners may have.
	Inherited []WorkerLease `json:"inherited,omitempty"`

	// InheritedKnown is set when no other workers have leases of earlier owners.
	InheritedKnown bool `json:"complete,omitempty"`

	// EarlierEnded is set if all earlier owners have ended, so that their leases expire within an
	// owner's lease from the write, but for those in Earlier.
	EarlierEnded bool          `json:"ended,omitempty"`
	Earlier      []WorkerLease `json:"earlier,omitempty"`

	// Rule is the one that all owners follow whose leases may be valid, but for those in Inherited
	// and Earlier if the list knows the leases of earlier owners.
	Rule LeaseRule `json:"rule,omitempty"`

	// Voters are those of QuorumRule, if they are also those of earlier owners. If it is empty, the
	// voters are all of Workers but Inherited, and they are those of the last owner only.
	Voters []string `json:"voters,omitempty"`

	// Leaving are those of Workers that drain or aren't registered any more. While they are
	// listed, the owner starts nothing there, and renews leases only while the store confirms its
	// ownership.
	Leaving []string `json:"leaving,omitempty"`
}

// WorkerLease is a worker that may have runs, and how long leases there may remain valid.
type WorkerLease struct {
	Worker    string        `json:"worker"`
	Remaining time.Duration `json:"lapse"` // time from the write of this record until all have expired
}

// KnowsEarlier reports whether the list says which leases of earlier owners may be valid.
func (l *WorkerList) KnowsEarlier() bool { return l.Settled || l.InheritedKnown || l.EarlierEnded }

// QuorumVoters returns the voters of QuorumRule, or nil with another rule.
func (l *WorkerList) QuorumVoters() []string {
	switch {
	case l.Rule != QuorumRule:
		return nil
	case len(l.Voters) > 0:
		return l.Voters
	}
	return slices.DeleteFunc(slices.Clone(l.Workers), func(id string) bool {
		return slices.ContainsFunc(l.Inherited, func(lease WorkerLease) bool { return lease.Worker == id })
	})
}

// Succeed returns the list that a claim records, until the new owner writes one of its own: it may
// renew leases on all workers that may have runs. hasEnded reports whether the owner that wrote
// the fence has ended.
func (f *Fence) Succeed(hasEnded bool) WorkerList {
	next := WorkerList{Workers: slices.Clone(f.Workers)}
	for _, lease := range f.WorkerLeases {
		next.Workers = append(next.Workers, lease.Worker)
	}
	if !hasEnded || !f.KnowsEarlier() {
		next.Rule, next.Voters = f.Rule, f.QuorumVoters()
		return next
	}
	next.Rule, next.EarlierEnded = QuorumRule, true
	next.Earlier = slices.Concat(f.Inherited, f.Earlier, f.WorkerLeases)
	return next
}
