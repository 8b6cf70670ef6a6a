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

// Delays after which callers are told to retry a refused request.
const (
	storeRetry     = 5 * time.Second
	ownerRetry     = 2 * time.Second
	ownerLostRetry = 2 * time.Second
	overloadRetry  = 10 * time.Second
)

// refusal describes an error reply.
type refusal struct {
	status  int    // HTTP status; 0 means 503
	code    string // error code for programs
	field   string // request field that is wrong, if any
	message string
	verdict classifier.Verdict // whether the request may have had an effect
	retry   time.Duration      // delay after which the caller may retry; 0 if that is no use
}

// reply emits the reply, unless the event asked for none.
func (s *State) reply(r Reply) {
	if r.Request != 0 {
		s.emit(r)
	}
}

// refuse replies with an error.
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

// writableShard returns the shard if it may record new decisions. Otherwise it refuses
// the request and returns nil.
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

// submit accepts a job and replies once that is durable. A repeated submission is
// answered with the state of the accepted job.
func (s *State) submit(e SubmitRequested) {
	if r, ok := s.validate(&e.Job); !ok {
		s.refuse(e.Request, r)
		return
	}
	if sh, j := s.findJob(e.Job.ID); j != nil {
		sh.resubmit(e, j)
		return
	}
	if s.isWhollyEvacuated() {
		s.refuse(e.Request, allEvacuated())
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

// resubmit answers a repeated submission with the job's state, and refuses a different
// job with the same id.
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

// isSameJob reports whether two submissions are equal in all that callers specify.
func isSameJob(a, b *describer.Job) bool {
	return a.Team == b.Team && a.Class == b.Class && a.Kind == b.Kind && a.Priority == b.Priority &&
		a.Tasks == b.Tasks && a.Declared == b.Declared && a.RunTime == b.RunTime &&
		a.Deadline.Equal(b.Deadline) && bytes.Equal(a.Payload, b.Payload)
}

// findJob returns the job and its shard if an owned shard has it, or nil.
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

// replyWhenDurable replies with the job's state once all records behind it are durable.
// It refuses the request if they are not and the store is unreachable.
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

// findJobOrRefuse returns the job and its shard. Otherwise it refuses the request and
// returns nil.
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

// cancel cancels a job: pending tasks never start, and runs are stopped once the
// cancellation is durable.
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

// stopRuns stops the runs of a cancelled job.
func (sh *shard) stopRuns(j *job) {
	for i := range j.tasks {
		sh.stopRun(&j.tasks[i], stopRequest{reason: "cancelled"})
	}
}

// validate checks a submitted job. It returns a refusal and false if the job is invalid
// or no configuration is known.
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
