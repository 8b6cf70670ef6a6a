package parser

import "time"

// Settings are an entry daemon's settings. Durations are text such as "250ms" in
// the file.
type Settings struct {
	Name   string `json:"name"`   // unique name of the entry host
	Domain string `json:"domain"` // failure domain
	Region string `json:"region"`

	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Peers    []string `json:"peers"` // addresses of other entry hosts to contact first, ip:port
	Lease    Lease    `json:"lease"`
	Restore  Restore  `json:"restore"`
	Traffic  Traffic  `json:"traffic"`
	Log      Log      `json:"log"`
}

// Listen holds the addresses that a daemon listens on, ip:port.
type Listen struct {
	Callers   string `json:"callers"`   // callers' requests and jobs
	Peers     string `json:"peers"`     // requests of other entry hosts
	Operators string `json:"operators"` // intents, health, metrics and status
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Store   string   `json:"store"`   // key-value store
	Hosts   string   `json:"hosts"`   // host list
	Timeout Duration `json:"timeout"` // limit of one call to the platform, a worker or a peer
}

// Lease holds the durations of leases.
type Lease struct {
	Shard        Duration `json:"shard"`  // lease on the ownership of a shard, kept in the store
	Task         Duration `json:"task"`   // lease on a task, kept by its worker
	ClockMargin  Duration `json:"margin"` // allowance for clock drift between a lease's holder and its grantor
	SyncInterval Duration `json:"sync"`   // time between two inventories of a worker
}

// Restore holds the pace at which a restore brings work back to drained workers.
// It proceeds in steps.
type Restore struct {
	MinStep Duration `json:"settle"`   // shortest duration of a step; must exceed the lag of workers' reports
	MaxStep Duration `json:"patience"` // longest duration of a step while high latency delays the next one
}

// Traffic holds the limits for callers' requests.
type Traffic struct {
	MaxQueue        int      `json:"queue"`      // waiting requests per tenant and class
	MaxBody         int64    `json:"body"`       // size of a request body, bytes
	DefaultDeadline Duration `json:"deadline"`   // deadline of requests that state none
	StallTimeout    Duration `json:"silence"`    // a connection without progress for this long counts as dead
	RetryRatio      float64  `json:"budget"`     // retries per first attempt, 0 to 1
	LinkBandwidth   int64    `json:"link"`       // bytes per second to other regions
	DrainTimeout    Duration `json:"drainlimit"` // bound on a planned shutdown
}

// Log holds the log settings.
type Log struct {
	Level string `json:"level"` // lowest level that is logged: debug, info, warn or error
}

// Duration is a time.Duration whose form in files is text such as "250ms".
type Duration time.Duration
