package parser

import "time"

// Settings are a daemon's settings, from a file in JSON with comments.
// Durations are text such as "250ms".
type Settings struct {
	Name   string `json:"name"`   // unique among entry hosts
	Domain string `json:"domain"` // failure domain
	Region string `json:"region"`

	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Peers    []string `json:"peers"` // seed addresses of other entry hosts, ip:port
	Lease    Lease    `json:"lease"`
	Restore  Restore  `json:"restore"`
	Traffic  Traffic  `json:"traffic"`
	Log      Log      `json:"log"`
}

// Listen holds the addresses that a daemon listens on, ip:port.
type Listen struct {
	Callers   string `json:"callers"`   // requests and jobs
	Peers     string `json:"peers"`     // other entry hosts
	Operators string `json:"operators"` // health, metrics, status
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Store   string   `json:"store"`
	Hosts   string   `json:"hosts"`
	Timeout Duration `json:"timeout"` // of one call
}

// Lease holds the lease times.
type Lease struct {
	Shard        Duration `json:"shard"`  // ownership of a shard in the store
	Task         Duration `json:"task"`   // of a task at its worker
	ClockMargin  Duration `json:"margin"` // for clock drift
	SyncInterval Duration `json:"sync"`   // between inventories of one worker
}

// Restore holds the pace at which drained workers get their work back.
type Restore struct {
	MinStep Duration `json:"settle"`   // shortest time of a step, longer than the lag of workers' reports
	MaxStep Duration `json:"patience"` // longest time of a step that latency holds back
}

// Traffic holds the limits of the interactive side.
type Traffic struct {
	MaxQueue        int      `json:"queue"`      // waiting requests for each tenant and class
	MaxBody         int64    `json:"body"`       // largest request body, bytes
	DefaultDeadline Duration `json:"deadline"`   // for callers that state none
	StallTimeout    Duration `json:"silence"`    // without progress, a connection counts as dead
	RetryRatio      float64  `json:"budget"`     // retries as a share of first attempts, 0 to 1
	LinkBandwidth   int64    `json:"link"`       // bytes a second to other regions
	DrainTimeout    Duration `json:"drainlimit"` // longest planned stop
}

// Log holds the log settings.
type Log struct {
	Level string `json:"level"` // debug, info, warn, error
}

// Duration is a time.Duration that reads and writes text.
type Duration time.Duration
