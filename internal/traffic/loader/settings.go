package loader

import (
	"fmt"
	"net/http"
	"time"

	"dotterelcart.dev/dotterelcart/internal/operator/parser"
)

// Settings describe a load. They are read from a JSON file, which may contain
// comments.
type Settings struct {
	Targets     []string        `json:"targets"`  // base URLs of entry hosts, which get requests in turn
	Rate        float64         `json:"rate"`     // requests per second of all kinds together
	Duration    parser.Duration `json:"duration"` // length of the load, such as "30s"
	Seed        int64           `json:"seed"`     // seed of the random due times and kinds
	MaxInFlight int             `json:"flight"`   // most requests in flight; any that is due beyond it is counted as unsent
	Mix         []Kind          `json:"mix"`
}

// Kind is one kind of request in the mix.
type Kind struct {
	Tenant   string          `json:"tenant"`
	Class    string          `json:"class"`
	Service  string          `json:"service"`
	Method   string          `json:"method"`
	Path     string          `json:"path"` // path below the service
	Body     int             `json:"body"` // size in bytes
	Deadline parser.Duration `json:"deadline"`
	Share    float64         `json:"share"` // part of the rate, relative to the shares of the other kinds
}

const (
	defaultMaxInFlight = 4096
	defaultDeadline    = 2 * time.Second
)

// Parse reads settings and fills in defaults. The error is of type
// parser.Errors, which lists every invalid field with its place in the file.
func Parse(data []byte) (Settings, error) {
	var s Settings
	d := parser.Decode(data, &s)
	s.validate(d.AddError)
	if len(d.Errors) > 0 {
		return s, d.Errors
	}
	return s, nil
}

// validate fills in defaults and reports each invalid field to fault.
func (s *Settings) validate(fault func(path, format string, args ...any)) {
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = defaultMaxInFlight
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
		s.Mix[i].validate(fmt.Sprintf("mix[%d].", i), fault)
	}
}

func (k *Kind) validate(path string, fault func(path, format string, args ...any)) {
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
