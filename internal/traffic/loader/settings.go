package loader

import (
	"fmt"
	"net/http"
	"time"

	"dotterelcart.dev/dotterelcart/internal/operator/parser"
)

// Settings describe a load, from a file in JSON with comments.
type Settings struct {
	Targets     []string        `json:"targets"`  // base URLs of entry hosts, used in turn
	Rate        float64         `json:"rate"`     // requests a second, all kinds together
	Duration    parser.Duration `json:"duration"` // such as "30s"
	Seed        int64           `json:"seed"`     // of due times and kinds
	MaxInFlight int             `json:"flight"`   // most requests in flight; more are counted as unsent
	Mix         []Kind          `json:"mix"`
}

// Kind is one kind of request.
type Kind struct {
	Tenant   string          `json:"tenant"`
	Class    string          `json:"class"`
	Service  string          `json:"service"`
	Method   string          `json:"method"`
	Path     string          `json:"path"`
	Body     int             `json:"body"` // bytes
	Deadline parser.Duration `json:"deadline"`
	Share    float64         `json:"share"` // of the rate, relative to the other kinds
}

const (
	defaultFlight   = 4096
	defaultDeadline = 2 * time.Second
)

// Parse reads settings and fills in defaults. The error is of type
// parser.FaultErrors and lists everything that is wrong, with its place.
func Parse(data []byte) (Settings, error) {
	var s Settings
	d := parser.Decode(data, &s)
	s.check(d.Fault)
	if len(d.Faults) > 0 {
		return s, d.Faults
	}
	return s, nil
}

// check fills in defaults and reports each field that is wrong.
func (s *Settings) check(fault func(path, format string, args ...any)) {
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = defaultFlight
	}
	if len(s.Targets) == 0 {
		fault("targets", "at least one is needed")
	}
	if s.Rate <= 0 {
		fault("rate", "must be above 0")
	}
	if s.Duration <= 0 {
		fault("duration", "must be above 0")
	}
	if len(s.Mix) == 0 {
		fault("mix", "at least one kind is needed")
	}
	for i := range s.Mix {
		s.Mix[i].check(fmt.Sprintf("mix[%d].", i), fault)
	}
}

func (k *Kind) check(path string, fault func(path, format string, args ...any)) {
	if k.Class == "" {
		k.Class = "default"
	}
	if k.Method == "" {
		k.Method = http.MethodGet
	}
	if k.Deadline <= 0 {
		k.Deadline = parser.Duration(defaultDeadline)
	}
	if k.Tenant == "" {
		fault(path+"tenant", "is missing")
	}
	if k.Service == "" {
		fault(path+"service", "is missing")
	}
	if k.Share <= 0 {
		fault(path+"share", "must be above 0")
	}
	if k.Body < 0 {
		fault(path+"body", "must not be negative")
	}
}
