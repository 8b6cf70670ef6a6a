package reducer

import (
	"bytes"
	"net/http"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Limits of a job.
const (
	maxTasks   = 10_000
	maxPayload = 64 << 10 // bytes
	maxID      = 200      // bytes
)

// Times to come back that refusals state.
const (
	storeRetry     = 5 * time.Second
	ownerRetry     = 2 * time.Second
	ownerLostRetry = 2 * time.Second
	overloadRetry  = 10 * time.Second
)

// refusal is a failure to be told to a caller.
type refusal struct {
	status  int // default 503
	code    string
	field   string
	message string
	verdict classifier.Verdict
	retry   time.Duration
}

func (s *State) reply(r Reply) {
	if r.Request != 0 {
		s.emit(r)
	}
}

func (s *State) refuse(request RequestID, r refusal) {
	if r.status == 0 {
		r.status = http.StatusServiceUnavailable
	}
	s.reply(Reply{Request: request, Err: &classifier.Error{
		Verdict:    r.verdict,
		Status:     r.status,
		Code:       r.code,
		Message:    r.message,
		Field:      r.field,
		RetryAfter: r.retry,
	}})
}

func notOwner() refusal {
	return refusal{
		code: "not-owner", verdict: classifier.NotRun, retry: ownerRetry,
		message: "this daemon doesn't own the shard",
	}
}

func storeUnavailable() refusal {
	return refusal{
		code: "store-unavailable", verdict: classifier.NotRun, retry: storeRetry,
		message: "the store doesn't answer and nothing was recorded",
	}
}

// deciding returns the shard if it may record new decisions, or refuses.
func (s *State) writableShard(request RequestID, id string) *shard {
	sh := s.shards[id]
	switch {
	case sh == nil || sh.view == nil || !sh.isWritable():
		s.refuse(request, notOwner())
	case !s.storeReachable:
		s.refuse(request, storeUnavailable())
	case sh.journal.isFull():
		s.refuse(request, refusal{
			code: "overloaded", verdict: classifier.NotRun, retry: overloadRetry,
			message: "too many records wait for the store",
		})
	default:
		return sh
	}
	return nil
}

// submit accepts a job once. The answer waits until that is durable.
func (s *State) submit(e SubmitRequested) {
	if r, ok := s.validate(&e.Job); !ok {
		s.refuse(e.Request, r)
		return
	}
	if sh, j := s.findJob(e.Job.ID); j != nil {
		sh.resubmit(e, j)
		return
	}
	sh := s.writableShard(e.Request, HomeShard(&s.config, e.Job.ID))
	if sh == nil {
		return
	}
	accepted := e.Job
	accepted.Accepted = s.now
	sh.appendRecord(describer.Record{Kind: describer.JobAccepted, Job: &accepted})
	j := sh.view.jobs[accepted.ID]
	j.lastBatch = sh.journal.nextBatch()
	sh.journal.whenDurable(followUp{request: e.Request, job: j})
}

// resubmit answers a repeated submission with the job's state.
func (sh *shard) resubmit(e SubmitRequested, j *job) {
	if !isSameJob(&e.Job, j.Job) {
		sh.state.refuse(e.Request, refusal{
			status: http.StatusConflict, code: "conflict", field: "id",
			verdict: classifier.NotRun, message: "another job has this id",
		})
		return
	}
	sh.replyWhenDurable(e.Request, j)
}

func isSameJob(a, b *describer.Job) bool {
	return a.Team == b.Team && a.Class == b.Class && a.Kind == b.Kind && a.Priority == b.Priority &&
		a.Tasks == b.Tasks && a.Declared == b.Declared && a.RunTime == b.RunTime &&
		a.Deadline.Equal(b.Deadline) && bytes.Equal(a.Payload, b.Payload)
}

// find returns the job and its shard if it is in a book here.
func (s *State) findJob(id string) (*shard, *job) {
	for _, sh := range s.sortedShards {
		if sh.view == nil {
			continue
		}
		if j := sh.view.jobs[id]; j != nil {
			return sh, j
		}
	}
	return nil, nil
}

// answer replies with the job's state once what it says is durable.
func (sh *shard) replyWhenDurable(request RequestID, j *job) {
	switch {
	case sh.journal.isDurable(j.lastBatch):
		sh.state.reply(Reply{Request: request, Job: sh.jobStatus(j)})
	case !sh.state.storeReachable:
		sh.state.refuse(request, storeUnavailable())
	default:
		sh.journal.whenDurable(followUp{request: request, job: j})
	}
}

// locate finds a job for a caller, or refuses.
func (s *State) findJobOrRefuse(request RequestID, id string) (*shard, *job) {
	if sh, j := s.findJob(id); j != nil {
		return sh, j
	}
	home := s.shards[HomeShard(&s.config, id)]
	if home == nil || home.view == nil || home.ownership != owning {
		s.refuse(request, notOwner())
		return nil, nil
	}
	s.refuse(request, refusal{
		status: http.StatusNotFound, code: "unknown-job", field: "id",
		verdict: classifier.NotRun, message: "no job has this id",
	})
	return nil, nil
}

func (s *State) replyJobStatus(e JobStatusRequested) {
	if sh, j := s.findJobOrRefuse(e.Request, e.Job); j != nil {
		sh.replyWhenDurable(e.Request, j)
	}
}

// cancel ends a job: what is pending never starts, what may run is stopped.
func (s *State) cancel(e CancelRequested) {
	sh, j := s.findJobOrRefuse(e.Request, e.Job)
	if j == nil {
		return
	}
	if j.cancelled || j.isOver() {
		sh.replyWhenDurable(e.Request, j)
		return
	}
	if s.writableShard(e.Request, sh.id) == nil {
		return
	}
	sh.appendRecord(describer.Record{Kind: describer.JobCancelled, JobID: j.ID})
	j.lastBatch = sh.journal.nextBatch()
	sh.journal.whenDurable(followUp{request: e.Request, job: j, stopRuns: true})
}

// halt stops what a cancelled job has running.
func (sh *shard) stopRuns(j *job) {
	for i := range j.tasks {
		sh.stopRun(&j.tasks[i], stopRequest{reason: "cancelled"})
	}
}

func (s *State) validate(j *describer.Job) (refusal, bool) {
	var field, message string
	switch {
	case j.ID == "" || len(j.ID) > maxID:
		field, message = "id", "the id must have 1 to 200 bytes"
	case j.Team == "":
		field, message = "team", "a team is needed"
	case s.config.Revision == 0:
		return refusal{
			code: "not-ready", verdict: classifier.NotRun, retry: ownerRetry,
			message: "no configuration is known yet",
		}, false
	case !s.hasTeam(j.Team):
		field, message = "team", "the team is unknown"
	case j.Kind > describer.LatencyCritical:
		field, message = "kind", "the kind is unknown"
	case j.Priority > describer.Urgent:
		field, message = "priority", "the priority is unknown"
	case j.Tasks < 1 || j.Tasks > maxTasks:
		field, message = "tasks", "a job has 1 to 10000 tasks"
	case !j.Declared.IsValid():
		field, message = "declared", "the declared resources must be positive"
	case j.RunTime < 0:
		field, message = "runtime", "the run time can't be negative"
	case len(j.Payload) > maxPayload:
		field, message = "payload", "the payload is larger than 64 KiB"
	default:
		return refusal{}, true
	}
	return refusal{
		status: http.StatusBadRequest, code: "invalid", field: field, message: message,
		verdict: classifier.NotRun,
	}, false
}

func (s *State) hasTeam(name string) bool {
	for i := range s.config.Teams {
		if s.config.Teams[i].Name == name {
			return true
		}
	}
	return false
}
