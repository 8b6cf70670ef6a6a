// Package responder serves callers' job requests and operators' intents, plans and
// status requests over HTTP, and the corresponding requests of other entry hosts.
//
// # Forwarding
//
// The job's ID determines its home shard, which keeps its state. Any entry host
// accepts a request about the job and forwards it to the owner of that shard. A
// request is forwarded at most once: one that comes from a peer is handled or
// refused. Submissions are idempotent by job ID, so a caller can retry one whose
// response was lost.
package responder

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/distributor"
	"dotterelcart.dev/dotterelcart/internal/traffic/shedder"
)

// Asker sends a request to the local control plane and waits for its reply. The
// function makes the event from the ID under which the reply is awaited.
type Asker interface {
	Ask(ctx context.Context, event func(reducer.RequestID) reducer.Event) (reducer.Reply, error)
}

// Peers calls other entry hosts and registers methods for their calls.
type Peers interface {
	messenger.Caller
	Handle(method string, handler messenger.Handler)
}

// Configurer reads and changes the configuration in force.
type Configurer interface {
	// Current returns the configuration; its revision is 0 while none is known.
	Current() describer.Configuration
	// Propose applies edit to the latest configuration and returns the result.
	Propose(ctx context.Context, edit distributor.Edit) (describer.Configuration, error)
}

// PlanStore is the part of the key-value store's client that keeps plans.
type PlanStore interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
}

// Options are the dependencies and limits of a Responder.
type Options struct {
	Control       Asker
	Peers         Peers
	Configuration Configurer
	Store         PlanStore
	Table         func() *describer.RoutingTable // returns the current routing table
	Bodies        *shedder.Shedder               // reads the bodies of requests
	MaxBody       int                            // maximum size of a request body, in bytes
	Log           zerolog.Logger
}

// Responder holds the handlers for HTTP requests and for peers' requests.
type Responder struct {
	options Options
}

// New returns a Responder, whose methods for peers it registers.
func New(o Options) *Responder {
	r := &Responder{options: o}
	o.Peers.Handle(messenger.Submit, r.handleSubmit)
	o.Peers.Handle(messenger.Inquire, r.handleJobStatus)
	o.Peers.Handle(messenger.Cancel, r.handleCancel)
	o.Peers.Handle(messenger.ClaimKey, r.handleClaimKey)
	o.Peers.Handle(messenger.Steps, r.handlePlanSteps)
	o.Peers.Handle(messenger.Report, r.handleStatus)
	return r
}

// RegisterJobs adds the routes for callers to mux.
func (r *Responder) RegisterJobs(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", r.submitJob)
	mux.HandleFunc("GET /v1/jobs/{id}", r.showJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", r.cancelJob)
	registerFallbacks(mux, "/v1/jobs", "/v1/jobs/{id}")
}

// RegisterOperators adds the routes for operators to mux.
func (r *Responder) RegisterOperators(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/intents", r.planIntent)
	mux.HandleFunc("GET /v1/plans/{id}", r.showPlan)
	mux.HandleFunc("POST /v1/plans/{id}/confirm", r.confirmPlan)
	mux.HandleFunc("GET /v1/configuration", r.showConfiguration)
	mux.HandleFunc("PUT /v1/configuration", r.setConfiguration)
	mux.HandleFunc("GET /v1/status", r.showStatus)
	registerFallbacks(mux, "/v1/intents", "/v1/plans/{id}", "/v1/plans/{id}/confirm", "/v1/configuration", "/v1/status")
}
