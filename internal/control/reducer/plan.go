package reducer

import (
	"errors"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/control/planner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// maxPlanned is the number of pending tasks of one shard that a plan considers.
const maxPlanned = 5000

// replyPlan answers with the steps that the intent would take on the shards owned here.
// An intent about a job is planned only by the owner of the job's shard.
func (s *State) replyPlan(e PlanRequested) {
	fleets := make(map[string]*accountant.Fleet)
	var pending []placer.Request
	for _, sh := range s.sortedShards {
		if sh.view == nil || sh.ownership != owning || !s.isAffected(sh, e.Intent) {
			continue
		}
		fleets[sh.id] = sh.fleet
		pending = sh.appendPending(pending)
	}
	steps, expected, err := planner.Steps(s.config, e.Intent, fleets, pending, s.now)
	if err != nil {
		s.reply(Reply{Request: e.Request, Err: toError(err)})
		return
	}
	s.reply(Reply{Request: e.Request, Plan: &describer.Plan{
		ID:       e.Intent.ID,
		Intent:   e.Intent,
		Revision: s.config.Revision,
		Steps:    steps,
		Expected: expected,
		Created:  s.now,
	}})
}

// isAffected reports whether the intent may concern the shard.
func (s *State) isAffected(sh *shard, intent describer.Intent) bool {
	if domain := planner.EvacuatedDomain(s.config, intent); domain != "" {
		return sh.config.Domain == domain
	}
	if intent.Job == nil {
		return true
	}
	_, known := sh.view.jobs[intent.Job.ID]
	return known || HomeShard(&s.config, intent.Job.ID) == sh.id
}

// appendPending appends placement requests for the shard's pending tasks, ordered by
// the names of their teams.
func (sh *shard) appendPending(out []placer.Request) []placer.Request {
	for _, name := range sortedKeys(sh.teams) {
		sh.teams[name].pending.Ascend(func(t *task) bool {
			out = append(out, sh.placementRequest(t))
			return len(out) < maxPlanned
		})
	}
	return out
}

// toError returns err as a classified error; unclassified ones get status 500.
func toError(err error) *classifier.Error {
	var e *classifier.Error
	if errors.As(err, &e) {
		return e
	}
	return &classifier.Error{Verdict: classifier.NotRun, Status: 500, Code: "plan", Message: err.Error(), Err: err}
}
