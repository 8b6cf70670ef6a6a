package describer

import "time"

// Configuration is the one document that operators change. It lives in the
// store under one key and is replaced by compare-and-swap, so Revision only
// grows. It stays below the store's limit of 1 MB.
type Configuration struct {
	Revision int64     `json:"revision"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Shards   []Shard   `json:"shards"`
	Drains   []Drain   `json:"drains,omitempty"`
	Weights  Weights   `json:"weights"`
}

// Service is a latency-critical service that callers reach by its name.
type Service struct {
	Name   string        `json:"name"`
	Target time.Duration `json:"target"` // bound on the 99th percentile of latency
	Intent string        `json:"intent,omitempty"`
}

// Team is a tenant with its share and its quotas.
type Team struct {
	Name   string    `json:"name"`
	Weight int       `json:"weight"` // share under contention, at least 1
	Quota  Resources `json:"quota"`  // of running batch tasks; zero means unlimited
}

// Shard is a group of racks of one failure domain with a single owner.
type Shard struct {
	ID     string   `json:"id"`
	Domain string   `json:"domain"`
	Racks  []string `json:"racks"`
}

// DrainState is the progress of a drain.
type DrainState string

// Drain states. A drain leaves the configuration only when it is fulfilled or
// when a confirmed plan cancels it.
const (
	Draining  DrainState = "draining"  // work is being moved off, or is off
	Restoring DrainState = "restoring" // work is being brought back
)

// Drain is an obligation: the named workers give up their work and get it
// back later. Restored names the workers that have theirs back.
type Drain struct {
	ID       string     `json:"id"` // of the intent
	Workers  []string   `json:"workers"`
	State    DrainState `json:"state"`
	Restored []string   `json:"restored,omitempty"`
	Until    time.Time  `json:"until,omitzero"` // restore begins by itself then; zero means on an operator's restore
}

// Weights states what a deployment optimises for.
type Weights struct {
	Latency    float64 `json:"latency"`
	Throughput float64 `json:"throughput"`
	Evictions  float64 `json:"evictions"`
}
