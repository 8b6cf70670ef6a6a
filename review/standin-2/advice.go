//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// adviser is a stand-in for the service that says which workers may run a step, as one host reaches
// it. It handles one call of the host at a time.
type adviser struct {
	fleet    *fleet
	listener net.Listener

	decision, perWorker, validity time.Duration

	turn    sync.Mutex
	mu      sync.Mutex
	waiting atomic.Int64
	calls   atomic.Int64 // answered, to a caller that was still there
	gone    atomic.Int64 // answered, to a caller that had left
	longest atomic.Int64 // workers named in the longest call
}

const maxWaitingCalls = 32

func newAdviser(f *fleet) *adviser {
	a := &adviser{fleet: f, listener: listen("127.0.0.1:0")}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	go func() { _ = (&http.Server{Handler: mux}).Serve(a.listener) }()
	return a
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var in struct {
		StepId  string //nolint:revive // spelled as on the wire
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	if a.waiting.Add(1) > maxWaitingCalls {
		a.waiting.Add(-1)
		respond(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	a.turn.Lock()
	a.mu.Lock()
	took := a.decision + time.Duration(len(in.Workers))*a.perWorker
	validity := a.validity
	a.mu.Unlock()
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		// The caller has left: the call is given up.
	}
	a.turn.Unlock()
	a.waiting.Add(-1)
	if r.Context().Err() != nil {
		a.gone.Add(1)
		a.fleet.record.printf("adviser: the caller of step %s with %d workers has left before its answer, which takes %v", in.StepId, len(in.Workers), took)
		return
	}
	a.calls.Add(1)
	a.longest.Store(max(a.longest.Load(), int64(len(in.Workers))))
	approved := [][2]string{}
	a.fleet.mu.Lock()
	for _, id := range in.Workers {
		for _, sl := range a.fleet.slots {
			if sl.id == id && sl.life != nil {
				ticket := fmt.Sprintf("t%x-%s", time.Now().UnixNano(), id)
				a.fleet.tickets[fmt.Sprintf("%s/%s/%d/%s", in.StepId, id, sl.life.born, ticket)] = time.Now().Add(validity)
				approved = append(approved, [2]string{id, ticket})
			}
		}
	}
	a.fleet.mu.Unlock()
	a.fleet.record.printf("adviser: step %s, %d workers, approved after %v", in.StepId, len(in.Workers), took)
	respond(w, http.StatusOK, map[string]any{"Approved": approved, "ValidityMs": validity.Milliseconds()})
}

// ticketIsValid reports whether a start carries what its queue needs. The caller holds the lock.
func (f *fleet) ticketIsValid(in *order, id taskID, l *life) bool {
	if !f.jobs.needsAdvice(id.job) {
		return true
	}
	until, ok := f.tickets[fmt.Sprintf("%s.%d.%d/%s/%d/%s", id.job, id.occurrence, id.step, l.slot.id, l.born, in.Ticket)]
	return ok && time.Now().Before(until)
}
