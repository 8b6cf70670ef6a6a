package evaluator

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/learner"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Names of the variants that the goals compare.
const (
	DefaultName      = "default"
	NoColocationName = "no-colocation"
)

// colocating lists the baselines that place batch tasks on workers with a service.
var colocating = []string{"first-fit", "least-loaded", "least-loaded-declared", "static-threshold"}

// Variant is a placement policy with the mechanisms around it.
type Variant struct {
	Name          string
	Policy        func(d Deployment, l *learner.Learner) placer.Policy
	DeclaredSizes bool // grants have the declared size, not the measured one
	EvictOnMiss   bool // each report above the target evicts the newest batch task of its worker
	Adaptive      bool // learns interference, escalates, restores gradually and preempts for urgent tasks
}

// Variants returns the baselines and the default policy.
func Variants() []Variant {
	fixed := func(p placer.Policy) func(Deployment, *learner.Learner) placer.Policy {
		return func(Deployment, *learner.Learner) placer.Policy { return p }
	}
	return []Variant{
		{Name: NoColocationName, Policy: fixed(placer.NoColocation{})},
		{Name: "first-fit", Policy: fixed(placer.FirstFit{}), EvictOnMiss: true},
		{Name: "least-loaded", Policy: fixed(placer.LeastLoaded{}), EvictOnMiss: true},
		{Name: "least-loaded-declared", Policy: fixed(placer.LeastLoaded{}), EvictOnMiss: true, DeclaredSizes: true},
		{Name: "static-threshold", Policy: fixed(placer.StaticThreshold{Share: 0.5, Load: 0.7}), EvictOnMiss: true},
		{Name: DefaultName, Policy: defaultPolicy, Adaptive: true},
	}
}

// defaultPolicy returns the default policy for a deployment.
func defaultPolicy(d Deployment, l *learner.Learner) placer.Policy {
	return placer.InterferenceAware{Learner: l, Services: services(d), Weights: d.Weights}
}

// services returns the deployment's service by name.
func services(d Deployment) map[string]describer.Service {
	return map[string]describer.Service{d.Service: {Name: d.Service, Target: d.Target}}
}

// newestTask returns the batch task that was started last on a worker.
func newestTask(w *accountant.Worker) (task describer.TaskID, ok bool) {
	var newest time.Time
	for _, t := range w.Tasks() {
		if since := w.Grants[t].Since; !ok || since.After(newest) {
			task, newest, ok = t, since, true
		}
	}
	return task, ok
}
