package router

import (
	"math"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Outcome is how a request ended, as far as it concerns the backend server.
type Outcome uint8

// Outcomes.
const (
	Unknown    Outcome = iota // says nothing about the backend server, such as a cancellation
	Answered                  // complete response, including client errors
	Failed                    // error status, broken or stalled connection, or missed deadline
	Overloaded                // the backend server refused the request
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

// server is the state of one backend server as seen by this entry host.
type server struct {
	backend      describer.Backend
	inFlight     int       // requests in flight from this entry host
	meanLatency  float64   // seconds, exponentially weighted; 0 if unknown
	lastResponse time.Time // time of the last response

	responses     int       // number since the last ejection
	failures      int       // number of consecutive failures
	ejectedUntil  time.Time // end of the latest ejection
	slowStartFrom time.Time // start of the slow start, the end of the latest ejection
	ejections     int       // number in close succession; each doubles the length of the next
	learnedLimit  float64   // lowered by refusals; 0 means no limit but the slots
}

// latencyHalfLife is the time without responses in which the mean latency of a
// server decays to half.
const latencyHalfLife = 10 * time.Second

// decayedLatency returns the mean latency, which decays over time without
// responses, so that a server that was avoided for its latency is tried again.
func (s *server) decayedLatency(now time.Time) float64 {
	if s.meanLatency == 0 {
		return 0
	}
	return s.meanLatency * math.Exp2(-float64(now.Sub(s.lastResponse))/float64(latencyHalfLife))
}

func (s *server) isEjected(now time.Time) bool { return now.Before(s.ejectedUntil) }
