package reducer

import (
	"strings"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/evacuator"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// evacuatedDomains returns the failure domains that the configuration evacuates.
func evacuatedDomains(c describer.Configuration) []string {
	var out []string
	for _, e := range c.Evacuations {
		out = append(out, e.Domain)
	}
	return out
}

// mayStartIn reports whether the configuration allows the start of tasks in the domain. Its
// age isn't limited: revisions tell old from new, and an owner that is cut off from the
// store loses its shard.
func (s *State) mayStartIn(domain string) bool {
	return s.evacuations.Allows(domain, s.now, 0) == evacuator.Allowed
}

// evacuationReason names the evacuations of the domain. It is empty if there are none.
func (s *State) evacuationReason(domain string) string {
	if s.mayStartIn(domain) {
		return ""
	}
	var ids []string
	for _, e := range s.config.Evacuations {
		if e.Domain == domain {
			ids = append(ids, e.ID)
		}
	}
	return "domain " + domain + " is evacuated by " + strings.Join(ids, ", ")
}

// isWhollyEvacuated reports whether no shard of the configuration may start tasks.
func (s *State) isWhollyEvacuated() bool {
	for _, c := range s.config.Shards {
		if s.mayStartIn(c.Domain) {
			return false
		}
	}
	return len(s.config.Shards) > 0
}

// allEvacuated returns the refusal of a job while all failure domains are evacuated.
func allEvacuated() refusal {
	return refusal{
		code: "evacuated", verdict: classifier.NotRun, retry: classifier.EvacuatedRetry,
		message: "all failure domains are evacuated",
	}
}

// isEvacuated reports whether the shard's failure domain is evacuated.
func (sh *shard) isEvacuated() bool { return !sh.state.mayStartIn(sh.config.Domain) }

// stopUnanswered stops a run whose start was not answered before the latest inventory,
// which doesn't list it. The start must not be repeated during an evacuation, and only a
// stop makes sure that the worker doesn't carry it out later.
func (sh *shard) stopUnanswered(t *task) {
	sh.stopRun(t, stopRequest{reason: "its domain is evacuated", checkpoint: true})
}
