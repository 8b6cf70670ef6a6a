package router

import (
	"math"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Outcome is how a request ended, as far as it tells about the backend server.
type Outcome uint8

// Outcomes.
const (
	Unknown    Outcome = iota // tells nothing: cancelled by the caller
	Answered                  // whole answer
	Failed                    // error status, broken or silent connection, deadline
	Overloaded                // the backend server refused
)

func (o Outcome) String() string {
	switch o {
	case Unknown:
		return "unknown"
	case Answered:
		return "answered"
	case Failed:
		return "failed"
	case Overloaded:
		return "overloaded"
	}
	return "outcome"
}

// server is what this entry host knows of one backend server.
type server struct {
	backend describer.Backend
	flight  int       // requests in flight from this entry host
	latency float64   // mean in seconds, exponentially weighted
	seen    time.Time // last answer

	answers  int       // since it was last ejected
	failures int       // in a row
	ejected  time.Time // until
	returned time.Time // end of the last ejection; slow start begins
	ejects   int       // in a row, doubles the time
	window   float64   // learnt limit of requests in flight, 0 is none
}

// memory is the time in which what is known of latency counts half.
const memory = 10 * time.Second

// recent returns the mean latency, fading so that a server which is passed over
// for having been slow is tried again.
func (s *server) recent(now time.Time) float64 {
	if s.latency == 0 {
		return 0
	}
	return s.latency * math.Exp2(-float64(now.Sub(s.seen))/float64(memory))
}

func (s *server) isEjected(now time.Time) bool { return now.Before(s.ejected) }
