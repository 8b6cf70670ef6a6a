package responder

import (
	"context"
	"encoding/json"
	"net/http"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// jobRequest is the peer message about the job with this ID.
type jobRequest struct {
	Job string `json:"job"`
}

func (r *Responder) submitJob(w http.ResponseWriter, request *http.Request) {
	var job describer.Job
	if err := r.readJSON(w, request, &job); err != nil {
		classifier.WriteError(w, err)
		return
	}
	if job.ID == "" {
		classifier.WriteError(w, invalid("id", "is missing; it makes the submission idempotent"))
		return
	}
	status, err := r.submit(request.Context(), job)
	if err != nil {
		classifier.WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, status)
}

func (r *Responder) showJob(w http.ResponseWriter, request *http.Request) {
	r.serveJob(w, request, messenger.Inquire, r.jobStatusLocal)
}

func (r *Responder) cancelJob(w http.ResponseWriter, request *http.Request) {
	r.serveJob(w, request, messenger.Cancel, r.cancelLocal)
}

// localHandler carries out a request about a job whose home shard this daemon
// owns.
type localHandler func(ctx context.Context, job string) (*reducer.JobStatus, error)

// serveJob carries out a request about the job in the path at the owner of its home
// shard: by local if that is this daemon, and by the peer method otherwise.
func (r *Responder) serveJob(w http.ResponseWriter, request *http.Request, method string, local localHandler) {
	message := jobRequest{Job: request.PathValue("id")}
	status, err := r.forwardJob(request.Context(), method, message, local)
	if err != nil {
		classifier.WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// forwardJob carries out a request about a job at the owner of its home shard, see
// forward.
func (r *Responder) forwardJob(ctx context.Context, method string, message jobRequest, local localHandler) (*reducer.JobStatus, error) {
	return forward(ctx, r, message.Job, method, message, func(ctx context.Context) (*reducer.JobStatus, error) {
		return local(ctx, message.Job)
	})
}

// submit submits a job at the owner of its home shard.
func (r *Responder) submit(ctx context.Context, job describer.Job) (*reducer.JobStatus, error) {
	return forward(ctx, r, job.ID, messenger.Submit, job, func(ctx context.Context) (*reducer.JobStatus, error) {
		return r.submitLocal(ctx, job)
	})
}

// forward carries out a request at the owner of the home shard of id, which is a
// job ID or an idempotency key. If this daemon is the owner, it calls local;
// otherwise it calls the method of the owner with params. It retries while the
// shard changes its owner.
func forward[T any](
	ctx context.Context, r *Responder, id, method string, params any, local func(context.Context) (*T, error),
) (*T, error) {
	return retryHandover(ctx, func() (*T, error) {
		owner, isLocal, err := r.homeOwner(id)
		if err != nil {
			return nil, err
		}
		if isLocal {
			return local(ctx)
		}
		result := new(T)
		if err := r.options.Peers.Call(ctx, owner, method, params, result); err != nil {
			return nil, err
		}
		return result, nil
	})
}

// cancel cancels a job at the owner of its home shard.
func (r *Responder) cancel(ctx context.Context, job string) (*reducer.JobStatus, error) {
	return r.forwardJob(ctx, messenger.Cancel, jobRequest{Job: job}, r.cancelLocal)
}

// submitLocal submits a job to this daemon's control plane.
func (r *Responder) submitLocal(ctx context.Context, job describer.Job) (*reducer.JobStatus, error) {
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.SubmitRequested{Request: id, Job: job}
	})
	return reply.Job, err
}

func (r *Responder) jobStatusLocal(ctx context.Context, job string) (*reducer.JobStatus, error) {
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.JobStatusRequested{Request: id, Job: job}
	})
	return reply.Job, err
}

func (r *Responder) cancelLocal(ctx context.Context, job string) (*reducer.JobStatus, error) {
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.CancelRequested{Request: id, Job: job}
	})
	return reply.Job, err
}

// homeOwner returns the owner of the home shard of id, see shardOwner.
func (r *Responder) homeOwner(id string) (owner string, local bool, err error) {
	configuration := r.options.Configuration.Current()
	if len(configuration.Shards) == 0 {
		return "", false, unavailable("not-ready", "no configuration with shards is known yet")
	}
	return r.shardOwner(reducer.HomeShard(&configuration, id))
}

// shardOwner returns the peer address of the owner of the shard, or local and no
// address if that is this daemon.
func (r *Responder) shardOwner(shard string) (owner string, local bool, err error) {
	table := r.options.Table()
	if _, ok := table.Owned[shard]; ok {
		return "", true, nil
	}
	owner, ok := table.Owners[shard]
	if !ok {
		return "", false, unavailable(codeNoOwner, "shard "+shard+" has no reachable owner")
	}
	return owner, false, nil
}

func (r *Responder) handleSubmit(ctx context.Context, params json.RawMessage) (any, error) {
	var job describer.Job
	if err := json.Unmarshal(params, &job); err != nil {
		return nil, bodyError(err)
	}
	return r.submitLocal(ctx, job)
}

func (r *Responder) handleJobStatus(ctx context.Context, params json.RawMessage) (any, error) {
	return handleJob(ctx, params, r.jobStatusLocal)
}

func (r *Responder) handleCancel(ctx context.Context, params json.RawMessage) (any, error) {
	return handleJob(ctx, params, r.cancelLocal)
}

// handleJob decodes a peer's request about a job and carries it out.
func handleJob(ctx context.Context, params json.RawMessage, local localHandler) (any, error) {
	var message jobRequest
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, bodyError(err)
	}
	return local(ctx, message.Job)
}
