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
	storeRetry = 5 * time.Second
	ownerRetry = 2 * time.Second
	lostRetry  = 2 * time.Second
	fullRetry  = 10 * time.Second
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

func storeAway() refusal {
	return refusal{
		code: "store-unavailable", verdict: classifier.NotRun, retry: storeRetry,
		message: "the store doesn't answer and nothing was recorded",
	}
}

// deciding returns the shard if it may record new decisions, or refuses.
func (s *State) deciding(request RequestID, id string) *shard {
	h := s.shards[id]
	switch {
	case h == nil || h.book == nil || !h.isDeciding():
		s.refuse(request, notOwner())
	case !s.reached:
		s.refuse(request, storeAway())
	case h.journal.isFull():
		s.refuse(request, refusal{
			code: "overloaded", verdict: classifier.NotRun, retry: fullRetry,
			message: "too many records wait for the store",
		})
	default:
		return h
	}
	return nil
}

// submit accepts a job once. The answer waits until that is durable.
func (s *State) submit(e SubmitRequested) {
	if r, ok := s.validate(&e.Job); !ok {
		s.refuse(e.Request, r)
		return
	}
	if h, j := s.find(e.Job.ID); j != nil {
		h.resubmit(e, j)
		return
	}
	h := s.deciding(e.Request, HomeShard(&s.config, e.Job.ID))
	if h == nil {
		return
	}
	accepted := e.Job
	accepted.Accepted = s.now
	h.append(describer.Record{Kind: describer.JobAccepted, Job: &accepted})
	j := h.book.jobs[accepted.ID]
	j.batch = h.journal.next()
	h.journal.then(consequence{request: e.Request, job: j})
}

// resubmit answers a repeated submission with the job's state.
func (h *shard) resubmit(e SubmitRequested, j *job) {
	if !isSameJob(&e.Job, j.Job) {
		h.state.refuse(e.Request, refusal{
			status: http.StatusConflict, code: "conflict", field: "id",
			verdict: classifier.NotRun, message: "another job has this id",
		})
		return
	}
	h.answer(e.Request, j)
}

func isSameJob(a, b *describer.Job) bool {
	return a.Team == b.Team && a.Class == b.Class && a.Kind == b.Kind && a.Priority == b.Priority &&
		a.Tasks == b.Tasks && a.Declared == b.Declared && a.RunTime == b.RunTime &&
		a.Deadline.Equal(b.Deadline) && bytes.Equal(a.Payload, b.Payload)
}

// find returns the job and its shard if it is in a book here.
func (s *State) find(id string) (*shard, *job) {
	for _, h := range s.order {
		if h.book == nil {
			continue
		}
		if j := h.book.jobs[id]; j != nil {
			return h, j
		}
	}
	return nil, nil
}

// answer replies with the job's state once what it says is durable.
func (h *shard) answer(request RequestID, j *job) {
	switch {
	case h.journal.isDurable(j.batch):
		h.state.reply(Reply{Request: request, Job: h.jobStatus(j)})
	case !h.state.reached:
		h.state.refuse(request, storeAway())
	default:
		h.journal.then(consequence{request: request, job: j})
	}
}

// locate finds a job for a caller, or refuses.
func (s *State) locate(request RequestID, id string) (*shard, *job) {
	if h, j := s.find(id); j != nil {
		return h, j
	}
	home := s.shards[HomeShard(&s.config, id)]
	if home == nil || home.book == nil || home.phase != owning {
		s.refuse(request, notOwner())
		return nil, nil
	}
	s.refuse(request, refusal{
		status: http.StatusNotFound, code: "unknown-job", field: "id",
		verdict: classifier.NotRun, message: "no job has this id",
	})
	return nil, nil
}

func (s *State) inquire(e JobStatusRequested) {
	if h, j := s.locate(e.Request, e.Job); j != nil {
		h.answer(e.Request, j)
	}
}

// cancel ends a job: what is pending never starts, what may run is stopped.
func (s *State) cancel(e CancelRequested) {
	h, j := s.locate(e.Request, e.Job)
	if j == nil {
		return
	}
	if j.cancelled || j.isOver() {
		h.answer(e.Request, j)
		return
	}
	if s.deciding(e.Request, h.id) == nil {
		return
	}
	h.append(describer.Record{Kind: describer.JobCancelled, JobID: j.ID})
	j.batch = h.journal.next()
	h.journal.then(consequence{request: e.Request, job: j, halt: true})
}

// halt stops what a cancelled job has running.
func (h *shard) halt(j *job) {
	for i := range j.tasks {
		h.end(&j.tasks[i], stopping{reason: "cancelled"})
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
