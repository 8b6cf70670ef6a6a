package responder

import (
	"context"
	"encoding/json"
	"net/http"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
)

// jobName is the peer message that names a job.
type jobName struct {
	Job string `json:"job"`
}

func (r *Responder) submitJob(w http.ResponseWriter, request *http.Request) {
	var job describer.Job
	if err := readJSON(w, request, r.options.MaxBody, &job); err != nil {
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

func (r *Responder) inquireJob(w http.ResponseWriter, request *http.Request) {
	r.answerJob(w, request, messenger.Inquire, r.inquireHere)
}

func (r *Responder) cancelJob(w http.ResponseWriter, request *http.Request) {
	r.answerJob(w, request, messenger.Cancel, r.cancelHere)
}

type localJob func(ctx context.Context, job string) (*reducer.JobStatus, error)

func (r *Responder) answerJob(w http.ResponseWriter, request *http.Request, method string, here localJob) {
	name := jobName{Job: request.PathValue("id")}
	status, err := r.onJob(request.Context(), method, name, here)
	if err != nil {
		classifier.WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (r *Responder) onJob(ctx context.Context, method string, name jobName, here localJob) (*reducer.JobStatus, error) {
	return atHome(ctx, r, name.Job, method, name, func(ctx context.Context) (*reducer.JobStatus, error) {
		return here(ctx, name.Job)
	})
}

func (r *Responder) submit(ctx context.Context, job describer.Job) (*reducer.JobStatus, error) {
	return atHome(ctx, r, job.ID, messenger.Submit, job, func(ctx context.Context) (*reducer.JobStatus, error) {
		return r.submitHere(ctx, job)
	})
}

// atHome asks the owner of the home shard of id: this daemon by here, another
// one by method and params.
func atHome[T any](
	ctx context.Context, r *Responder, id, method string, params any, here func(context.Context) (*T, error),
) (*T, error) {
	return acrossHandover(ctx, func() (*T, error) {
		owner, local, err := r.homeOf(id)
		if err != nil {
			return nil, err
		}
		if local {
			return here(ctx)
		}
		answer := new(T)
		if err := r.options.Peers.Call(ctx, owner, method, params, answer); err != nil {
			return nil, err
		}
		return answer, nil
	})
}

func (r *Responder) cancel(ctx context.Context, job string) (*reducer.JobStatus, error) {
	return r.onJob(ctx, messenger.Cancel, jobName{Job: job}, r.cancelHere)
}

func (r *Responder) submitHere(ctx context.Context, job describer.Job) (*reducer.JobStatus, error) {
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.SubmitRequested{Request: id, Job: job}
	})
	return reply.Job, err
}

func (r *Responder) inquireHere(ctx context.Context, job string) (*reducer.JobStatus, error) {
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.JobStatusRequested{Request: id, Job: job}
	})
	return reply.Job, err
}

func (r *Responder) cancelHere(ctx context.Context, job string) (*reducer.JobStatus, error) {
	reply, err := r.options.Control.Ask(ctx, func(id reducer.RequestID) reducer.Event {
		return reducer.CancelRequested{Request: id, Job: job}
	})
	return reply.Job, err
}

// homeOf returns the address of the owner of the job's or key's home shard.
func (r *Responder) homeOf(id string) (owner string, local bool, err error) {
	configuration := r.options.Configuration.Current()
	if len(configuration.Shards) == 0 {
		return "", false, unavailable("not-ready", "no configuration with shards is known yet")
	}
	return r.ownerOf(reducer.HomeShard(&configuration, id))
}

func (r *Responder) ownerOf(shard string) (owner string, local bool, err error) {
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
	return r.submitHere(ctx, job)
}

func (r *Responder) handleInquire(ctx context.Context, params json.RawMessage) (any, error) {
	return handleJob(ctx, params, r.inquireHere)
}

func (r *Responder) handleCancel(ctx context.Context, params json.RawMessage) (any, error) {
	return handleJob(ctx, params, r.cancelHere)
}

func handleJob(ctx context.Context, params json.RawMessage, here localJob) (any, error) {
	var name jobName
	if err := json.Unmarshal(params, &name); err != nil {
		return nil, bodyError(err)
	}
	return here(ctx, name.Job)
}
