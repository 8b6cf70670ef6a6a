// Package responder answers callers' job requests and operators' intents over
// HTTP, and the same requests from other entry hosts.
//
// # Forwarding
//
// A job lives in its home shard. Any entry host takes a request for it and
// passes it to the owner of that shard, at most once: a request that arrives
// from a peer is never passed on. Submissions are idempotent by job ID, so a
// caller may repeat one whose answer was lost.
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
)

// Asker puts a question to the local control plane.
type Asker interface {
	Ask(ctx context.Context, event func(reducer.RequestID) reducer.Event) (reducer.Reply, error)
}

// Peers calls other entry hosts and registers methods for their calls.
type Peers interface {
	messenger.Caller
	Handle(method string, handler messenger.Handler)
}

// Configurer holds the configuration in force.
type Configurer interface {
	Current() describer.Configuration // revision 0 while none is known
	Propose(ctx context.Context, edit distributor.Edit) (describer.Configuration, error)
}

// PlanStore is the part of the store that keeps plans.
type PlanStore interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
}

// Options are the surroundings of a Responder.
type Options struct {
	Control       Asker
	Peers         Peers
	Configuration Configurer
	Store         PlanStore
	Table         func() *describer.RoutingTable
	MaxBody       int64 // bytes of a request body
	Log           zerolog.Logger
}

// Responder holds the handlers.
type Responder struct {
	options Options
}

// New registers the peer methods and returns the handlers for HTTP.
func New(o Options) *Responder {
	r := &Responder{options: o}
	o.Peers.Handle(messenger.Submit, r.handleSubmit)
	o.Peers.Handle(messenger.Inquire, r.handleInquire)
	o.Peers.Handle(messenger.Cancel, r.handleCancel)
	o.Peers.Handle(messenger.ClaimKey, r.handleClaimKey)
	o.Peers.Handle(messenger.Steps, r.handleSteps)
	o.Peers.Handle(messenger.Report, r.handleReport)
	return r
}

// RegisterJobs adds the callers' routes to mux.
func (r *Responder) RegisterJobs(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", r.submitJob)
	mux.HandleFunc("GET /v1/jobs/{id}", r.inquireJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", r.cancelJob)
	refuseOthers(mux, "/v1/jobs", "/v1/jobs/{id}")
}

// RegisterOperators adds the operators' routes to mux.
func (r *Responder) RegisterOperators(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/intents", r.planIntent)
	mux.HandleFunc("GET /v1/plans/{id}", r.showPlan)
	mux.HandleFunc("POST /v1/plans/{id}/confirm", r.confirmPlan)
	mux.HandleFunc("GET /v1/configuration", r.showConfiguration)
	mux.HandleFunc("PUT /v1/configuration", r.setConfiguration)
	mux.HandleFunc("GET /v1/status", r.showStatus)
	refuseOthers(mux, "/v1/intents", "/v1/plans/{id}", "/v1/plans/{id}/confirm", "/v1/configuration", "/v1/status")
}
