package planner

import (
	"fmt"
	"slices"
	"strings"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// addEvacuation adds an evacuation of the intent's domain.
func addEvacuation(cfg describer.Configuration, intent describer.Intent) (describer.Configuration, error) {
	if intent.Domain == "" {
		return cfg, invalid("domain", "an evacuation needs a failure domain")
	}
	inDomain := func(s describer.Shard) bool { return s.Domain == intent.Domain }
	if !slices.ContainsFunc(cfg.Shards, inDomain) {
		return cfg, unknown("domain", "unknown failure domain "+intent.Domain+", known are "+strings.Join(domainsOf(cfg), ", "))
	}
	if findDrain(cfg, intent.ID) != nil {
		return cfg, conflict("id", intent.ID+" is the id of a drain")
	}
	if i := findEvacuation(cfg, intent.ID); i >= 0 {
		if cfg.Evacuations[i].Domain != intent.Domain {
			return cfg, conflict("id", intent.ID+" is the id of an evacuation of "+cfg.Evacuations[i].Domain)
		}
		return cfg, nil
	}
	cfg.Evacuations = append(cfg.Evacuations, describer.Evacuation{ID: intent.ID, Domain: intent.Domain})
	return cfg, nil
}

// EvacuatedDomain returns the failure domain that the intent evacuates, or whose
// evacuation it ends. It returns an empty string for other intents and unknown
// domains.
func EvacuatedDomain(cfg describer.Configuration, intent describer.Intent) string {
	switch intent.Action {
	case describer.Evacuate:
		if slices.Contains(domainsOf(cfg), intent.Domain) {
			return intent.Domain
		}
	case describer.Restore:
		if i := findEvacuation(cfg, intent.Drain); i >= 0 {
			return cfg.Evacuations[i].Domain
		}
	}
	return ""
}

// domainsOf returns the failure domains of the configuration's shards, sorted.
func domainsOf(cfg describer.Configuration) []string {
	var out []string
	for _, s := range cfg.Shards {
		out = append(out, s.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// findEvacuation returns the index of the evacuation in cfg, or -1.
func findEvacuation(cfg describer.Configuration, id string) int {
	return slices.IndexFunc(cfg.Evacuations, func(e describer.Evacuation) bool { return e.ID == id })
}

// evacuate closes the workers of the domain. Their tasks go on. The steps don't
// depend on single tasks, since no plan could be confirmed on busy workers otherwise.
func (d *draft) evacuate() {
	domain := d.intent.Domain
	d.add(describer.Step{Verb: describer.Set, Reason: "no new tasks and requests in domain " + domain})
	for _, w := range d.inDomain(domain) {
		d.add(describer.Step{
			Verb: describer.Close, Worker: w.Host.Name,
			Reason: fmt.Sprintf("evacuation %s; %d tasks go on", d.intent.ID, len(w.Grants)),
		})
		if len(w.Host.Services) > 0 && !w.Closed {
			d.closed++
		}
	}
	for _, shard := range d.shardsIn(domain) {
		d.add(describer.Step{Verb: describer.Wait, Reason: fmt.Sprintf("shard %s starts no tasks before the restore", shard)})
	}
}

// endEvacuation opens the workers of the domain, unless another evacuation or a drain
// keeps them closed.
func (d *draft) endEvacuation(domain string) {
	var others []string
	for _, e := range d.cfg.Evacuations {
		if e.Domain == domain && e.ID != d.intent.Drain {
			others = append(others, e.ID)
		}
	}
	if len(others) > 0 {
		d.add(describer.Step{
			Verb: describer.Set, Reason: "domain " + domain + " remains evacuated by " + strings.Join(others, ", "),
		})
		return
	}
	d.add(describer.Step{Verb: describer.Set, Reason: "new tasks and requests in domain " + domain})
	for _, w := range d.inDomain(domain) {
		if id := d.drainOf(w.Host.Name); id != "" {
			d.add(describer.Step{Verb: describer.Close, Worker: w.Host.Name, Reason: "remains closed for drain " + id})
			continue
		}
		if len(w.Host.Services) > 0 {
			d.opened++
		}
		w.Closed = false
		d.add(describer.Step{Verb: describer.Open, Worker: w.Host.Name, Reason: "at once"})
	}
	for _, r := range d.pending {
		d.place(d.fleet, r)
	}
}

// isEvacuated reports whether the configuration evacuates the domain.
func (d *draft) isEvacuated(domain string) bool {
	return slices.ContainsFunc(d.cfg.Evacuations, func(e describer.Evacuation) bool { return e.Domain == domain })
}

// drainOf returns the id of the drain that moves work off the worker, or an empty string.
func (d *draft) drainOf(worker string) string {
	for i := range d.cfg.Drains {
		drain := &d.cfg.Drains[i]
		if drain.State == describer.Draining && slices.Contains(unrestored(drain), worker) {
			return drain.ID
		}
	}
	return ""
}

// inDomain returns the draft's workers in the domain, sorted by name.
func (d *draft) inDomain(domain string) []*accountant.Worker {
	var out []*accountant.Worker
	for _, name := range d.fleet.Names() {
		if w := d.fleet.Workers[name]; w.Host.Domain == domain {
			out = append(out, w)
		}
	}
	return out
}

// shardsIn returns the ids of the domain's shards, in the order of the configuration.
func (d *draft) shardsIn(domain string) []string {
	var out []string
	for _, s := range d.cfg.Shards {
		if s.Domain == domain {
			out = append(out, s.ID)
		}
	}
	return out
}
