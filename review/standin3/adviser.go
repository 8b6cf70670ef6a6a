//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

const ticketValidity = 3000 // ms

// adviser is a stand-in for the service at Recommendation: it allows some workers.
type adviser struct {
	d       *deployment
	address string
	allows  func(*worker) bool

	mu      sync.Mutex // handles one call at a time
	tickets map[string]time.Time
}

func newAdviser(d *deployment) (*adviser, error) {
	a := &adviser{d: d, tickets: make(map[string]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	s, err := serve(freeLoopback(), mux, 0)
	if err == nil {
		a.address = s.address
	}
	return a, err
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var in struct {
		StepId  string //nolint:revive // spelled as on the wire
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(time.Duration(5+len(in.Workers)) * time.Millisecond)
	approved := [][2]string{}
	for _, id := range in.Workers {
		for _, w := range a.d.workers {
			if w.id == id && a.allows(w) {
				ticket := id + "/" + in.StepId
				a.tickets[ticket] = time.Now().Add(ticketValidity * time.Millisecond)
				approved = append(approved, [2]string{id, ticket})
			}
		}
	}
	a.d.record.printf("advice on %s: %d workers asked, %d allowed", in.StepId, len(in.Workers), len(approved))
	respond(w, http.StatusOK, map[string]any{"Approved": approved, "ValidityMs": ticketValidity})
}

// isAllowed reports whether a start has a valid ticket, if one is needed.
func (d *deployment) isAllowed(w *worker, in *order) bool {
	if d.adviser == nil {
		return true
	}
	d.adviser.mu.Lock()
	defer d.adviser.mu.Unlock()
	return strings.HasPrefix(in.Ticket, w.id+"/") && time.Now().Before(d.adviser.tickets[in.Ticket])
}
