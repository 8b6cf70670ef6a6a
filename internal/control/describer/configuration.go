package describer

import "time"

// Configuration is the one document that operators change. It is kept in the
// store under one key and replaced by compare-and-swap, so that Revision only
// increases. It must stay below the store's limit of 1 MB.
type Configuration struct {
	Revision    int64        `json:"revision"`
	Services    []Service    `json:"services"`
	Teams       []Team       `json:"teams"`
	Shards      []Shard      `json:"shards"`
	Drains      []Drain      `json:"drains,omitempty"`
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	Weights     Weights      `json:"weights"`
}

// Service is a latency-critical service that callers address by its name.
type Service struct {
	Name   string        `json:"name"`
	Target time.Duration `json:"target"`           // upper bound of the 99th percentile of latency
	Intent string        `json:"intent,omitempty"` // id of the intent that last changed Target
}

// Team is a tenant with its share of the capacity and its quota.
type Team struct {
	Name   string    `json:"name"`
	Weight int       `json:"weight"` // relative share of the capacity under contention, at least 1
	Quota  Resources `json:"quota"`  // limit on the grants of running batch tasks; zero means unlimited
}

// Shard is a group of racks in one failure domain whose workers have one owner.
type Shard struct {
	ID     string   `json:"id"`
	Domain string   `json:"domain"` // failure domain
	Racks  []string `json:"racks"`
}

// DrainState is the progress of a drain.
type DrainState string

// Drain states. A drain is removed from the configuration only when all of its
// workers are restored or when a confirmed plan cancels it.
const (
	Draining  DrainState = "draining"  // batch tasks are being moved off, or have been
	Restoring DrainState = "restoring" // batch tasks return
)

// Drain takes the named workers out of service for a time. Their tasks are moved
// off and return when the drain is restored.
type Drain struct {
	ID       string     `json:"id"` // id of the intent that requested it
	Workers  []string   `json:"workers"`
	State    DrainState `json:"state"`
	Restored []string   `json:"restored,omitempty"` // workers that have been restored
	Until    time.Time  `json:"until,omitzero"`     // time at which the restore begins; zero means only on an operator's request
}

// Evacuation keeps new tasks and requests from the workers of a failure domain
// until a confirmed restore removes it. What runs there goes on. A domain may have
// several evacuations; it is in use again when none is left.
type Evacuation struct {
	ID     string `json:"id"` // id of the intent that requested it
	Domain string `json:"domain"`
}

// Weights are the relative importance of the three measures that a deployment
// optimises.
type Weights struct {
	Latency    float64 `json:"latency"`
	Throughput float64 `json:"throughput"`
	Evictions  float64 `json:"evictions"`
}
