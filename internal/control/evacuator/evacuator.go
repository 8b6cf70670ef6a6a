// Package evacuator decides whether tasks may be started in a failure domain
// that operators may evacuate.
//
// # Load
//
// An operator evacuates a failure domain and expects that after a short notice
// no task is started on its workers, whichever host owns them. Hosts learn of it
// from the store. A host that is cut off from the store, was paused or has just
// started may not know of an evacuation, so it must not rely on what it knew
// for longer than the notice allows.
//
// # Algorithm
//
// A [Set] holds the evacuated domains and the time at which they were last known
// to be current. [Set.IsCurrent] is false before the first reading and, with a
// limit, once the last reading is older than that:
//
//	var set evacuator.Set
//	maxAge := evacuator.MaxAge(notice, callTimeout)
//	set.Update([]string{"gc"}, requestSent)
//	set.Allows("bne", now, maxAge) // Allowed
//	set.Allows("gc", now, maxAge)  // Evacuated
//
// The time of a reading is that at which its request was sent. A response may
// have waited for long in a process that was paused.
package evacuator

import (
	"maps"
	"slices"
	"time"
)

// decisionTime is how long it may take from a decision to the sending of the order.
const decisionTime = 500 * time.Millisecond

// MaxAge returns for how long after a reading starts are allowed, if no task may
// be started later than notice after an evacuation and an order takes at most
// callTimeout. It is 0 if there is no notice, which stands for no limit.
func MaxAge(notice, callTimeout time.Duration) time.Duration {
	if notice <= 0 {
		return 0
	}
	return max(notice-decisionTime-callTimeout, 1) // a notice that is too short allows no starts
}

// Verdict says whether a task may be started.
type Verdict uint8

// Verdicts.
const (
	Allowed   Verdict = iota
	Evacuated         // the domain is evacuated
	Outdated          // evacuations aren't known, or not recently enough
)

// String returns the text of the verdict in logs.
func (v Verdict) String() string { return [...]string{"allowed", "evacuated", "outdated"}[v] }

// Set is the evacuated domains as a host knows them. The zero value knows nothing.
type Set struct {
	domains   map[string]bool
	readAt    time.Time // when the request of the last reading was sent
	validFrom time.Time // readings from before count as outdated
}

// Update replaces the domains by those of a reading whose request was sent at the
// given time. A reading from before the last one is ignored. It returns the
// domains that were added and removed, sorted.
func (s *Set) Update(domains []string, readAt time.Time) (evacuated, returned []string) {
	if readAt.Before(s.readAt) {
		return nil, nil
	}
	s.readAt = readAt
	current := make(map[string]bool, len(domains))
	for _, domain := range domains {
		current[domain] = true
		if !s.domains[domain] {
			evacuated = append(evacuated, domain)
		}
	}
	for domain := range s.domains {
		if !current[domain] {
			returned = append(returned, domain)
		}
	}
	s.domains = current
	slices.Sort(evacuated)
	slices.Sort(returned)
	return slices.Compact(evacuated), returned
}

// Invalidate makes the set outdated until a reading whose request is sent after
// now. It follows a suspension of the host, in which clocks may have stood still.
func (s *Set) Invalidate(now time.Time) {
	if now.After(s.validFrom) {
		s.validFrom = now
	}
}

// IsCurrent reports whether tasks may be started at now in domains that aren't
// evacuated. maxAge is the longest time since the last reading; with 0 it may be
// any time, and a set that was never read is taken to be empty.
func (s *Set) IsCurrent(now time.Time, maxAge time.Duration) bool {
	if maxAge == 0 {
		return true
	}
	return !s.readAt.IsZero() && s.readAt.After(s.validFrom) && now.Sub(s.readAt) < maxAge
}

// IsEvacuated reports whether the domain was evacuated at the last reading.
func (s *Set) IsEvacuated(domain string) bool { return s.domains[domain] }

// Allows decides whether a task may be started in a domain at now.
func (s *Set) Allows(domain string, now time.Time, maxAge time.Duration) Verdict {
	switch {
	case s.IsEvacuated(domain):
		return Evacuated
	case !s.IsCurrent(now, maxAge):
		return Outdated
	}
	return Allowed
}

// Domains returns the evacuated domains, sorted.
func (s *Set) Domains() []string { return slices.Sorted(maps.Keys(s.domains)) }

// ReadAt returns when the request of the last reading was sent; zero without one.
func (s *Set) ReadAt() time.Time { return s.readAt }
