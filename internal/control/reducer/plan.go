package reducer

import (
	"errors"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/control/planner"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// maxPlanned is how many pending tasks a plan looks at.
const maxPlanned = 5000

// plan answers with the steps that an intent takes on the shards owned here.
// A job is planned by the owner of its shard alone.
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

func (s *State) isAffected(sh *shard, intent describer.Intent) bool {
	if intent.Job == nil {
		return true
	}
	_, known := sh.view.jobs[intent.Job.ID]
	return known || HomeShard(&s.config, intent.Job.ID) == sh.id
}

// waiting adds the shard's pending tasks, in the order of their teams' names.
func (sh *shard) appendPending(out []placer.Request) []placer.Request {
	for _, name := range sortedKeys(sh.teams) {
		sh.teams[name].pending.Ascend(func(t *task) bool {
			out = append(out, sh.placementRequest(t))
			return len(out) < maxPlanned
		})
	}
	return out
}

func toError(err error) *classifier.Error {
	var e *classifier.Error
	if errors.As(err, &e) {
		return e
	}
	return &classifier.Error{Verdict: classifier.NotRun, Status: 500, Code: "plan", Message: err.Error(), Err: err}
}
