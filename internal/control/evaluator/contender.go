package evaluator

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Names of contenders that goals refer to.
const (
	DefaultName      = "default"
	NoColocationName = "no-colocation"
)

// packing are the baselines that pack batch tasks beside services.
var packing = []string{"first-fit", "least-loaded", "least-loaded-declared", "static-threshold"}

// Variant is a way to decide.
type Variant struct {
	Name     string
	Policy   func(d Deployment, l *learner.Learner) placer.Policy
	DeclaredSizes bool // grants as declared, not as measured
	EvictOnMiss    bool // evicts the newest batch task for each report above the target
	Adaptive bool // learns, escalates, restores gradually and makes room for urgent tasks
}

// Variants returns the default policy and the baselines.
func Variants() []Variant {
	plain := func(p placer.Policy) func(Deployment, *learner.Learner) placer.Policy {
		return func(Deployment, *learner.Learner) placer.Policy { return p }
	}
	return []Variant{
		{Name: NoColocationName, Policy: plain(placer.NoColocation{})},
		{Name: "first-fit", Policy: plain(placer.FirstFit{}), EvictOnMiss: true},
		{Name: "least-loaded", Policy: plain(placer.LeastLoaded{}), EvictOnMiss: true},
		{Name: "least-loaded-declared", Policy: plain(placer.LeastLoaded{}), EvictOnMiss: true, DeclaredSizes: true},
		{Name: "static-threshold", Policy: plain(placer.StaticThreshold{Share: 0.5, Load: 0.7}), EvictOnMiss: true},
		{Name: DefaultName, Policy: defaultPolicy, Adaptive: true},
	}
}

func defaultPolicy(d Deployment, l *learner.Learner) placer.Policy {
	return placer.InterferenceAware{Learner: l, Services: services(d), Weights: d.Weights}
}

func services(d Deployment) map[string]describer.Service {
	return map[string]describer.Service{d.Service: {Name: d.Service, Target: d.Target}}
}

// evictNewest is the reaction of the baselines: it returns the batch task
// that began last.
func evictNewest(w *accountant.Worker) (task describer.TaskID, ok bool) {
	var newest time.Time
	for _, t := range w.Tasks() {
		if since := w.Grants[t].Since; !ok || since.After(newest) {
			task, newest, ok = t, since, true
		}
	}
	return task, ok
}
