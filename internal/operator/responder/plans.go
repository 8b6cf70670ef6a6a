package responder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/planner"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// planPrefix is the store prefix of plans; the plan's ID follows.
const planPrefix = "plans/"

// storedPlan is the value of a plan in the store.
type storedPlan struct {
	Plan      describer.Plan `json:"plan"`
	Confirmed bool           `json:"confirmed"`
}

// planView is the response to an operator's request about a plan.
type planView struct {
	describer.Plan
	Confirmed bool  `json:"confirmed"`
	InForce   int64 `json:"inforce,omitempty"` // revision of the configuration that the confirmation led to
}

// planIntent makes and stores the plan of an intent. Nothing else changes until
// the plan is confirmed.
func (r *Responder) planIntent(w http.ResponseWriter, request *http.Request) {
	var intent describer.Intent
	if err := r.readJSON(w, request, &intent); err != nil {
		classifier.WriteError(w, err)
		return
	}
	if intent.ID == "" {
		intent.ID = uuid.NewString()
	}
	plan, err := r.makePlan(request.Context(), intent)
	if err != nil {
		classifier.WriteError(w, err)
		return
	}
	plan.ID = uuid.NewString()
	if err := r.savePlan(request.Context(), storedPlan{Plan: plan}, 0); err != nil {
		classifier.WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusCreated, planView{Plan: plan})
}

func (r *Responder) showPlan(w http.ResponseWriter, request *http.Request) {
	stored, _, err := r.loadPlan(request.Context(), request.PathValue("id"))
	if err != nil {
		classifier.WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, planView{Plan: stored.Plan, Confirmed: stored.Confirmed})
}

func (r *Responder) confirmPlan(w http.ResponseWriter, request *http.Request) {
	view, err := r.confirm(request.Context(), request.PathValue("id"))
	if err != nil {
		classifier.WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// confirm carries out a plan's intent, unless a new plan for it would do more than
// this one says. Confirming again has no further effect.
func (r *Responder) confirm(ctx context.Context, id string) (planView, error) {
	stored, revision, err := r.loadPlan(ctx, id)
	if err != nil {
		return planView{}, err
	}
	if stored.Confirmed {
		return planView{Plan: stored.Plan, Confirmed: true}, nil
	}
	inForce, err := r.carryOut(ctx, stored.Plan)
	if err != nil {
		return planView{}, err
	}
	stored.Confirmed = true
	if err := r.savePlan(ctx, stored, revision); err != nil {
		r.options.Log.Warn().Err(err).Str("plan", id).Msg("plan carried out, confirmation not saved")
	}
	return planView{Plan: stored.Plan, Confirmed: true, InForce: inForce}, nil
}

// carryOut carries out the plan's intent and returns the revision of the
// configuration that includes it. It fails if a new plan for the intent would do
// more than this one says.
func (r *Responder) carryOut(ctx context.Context, plan describer.Plan) (int64, error) {
	intent := plan.Intent
	current := r.options.Configuration.Current()
	if current.Revision == 0 {
		return 0, unavailable("not-ready", "no configuration is known yet")
	}
	if includesIntent(current, intent) {
		return current.Revision, nil // carried out by an earlier confirmation that failed to save or to respond
	}
	renewed, err := r.makePlan(ctx, intent)
	if err != nil {
		return 0, err
	}
	if changes := planner.NewSteps(plan.Steps, renewed.Steps); len(changes) > 0 {
		return 0, stale(changes)
	}
	if intent.Action == describer.Run {
		_, err := r.submit(ctx, *intent.Job)
		return renewed.Revision, err
	}
	if intent.Action == describer.Cancel && intent.Job != nil {
		_, err := r.cancel(ctx, intent.Job.ID)
		return renewed.Revision, err
	}
	changed, err := r.propose(ctx, renewed.Revision, func(c describer.Configuration) (describer.Configuration, error) {
		return planner.Apply(c, intent, time.Now())
	})
	return changed.Revision, err
}

// makePlan makes the plan of an intent from the parts of the shards that it
// concerns.
func (r *Responder) makePlan(ctx context.Context, intent describer.Intent) (describer.Plan, error) {
	parts, err := r.collectParts(ctx, intent)
	if err != nil {
		return describer.Plan{}, err
	}
	plan, err := planner.Merge(parts)
	if err != nil {
		return describer.Plan{}, err
	}
	plan.Intent = intent
	plan.Created = time.Now().UTC()
	return plan, nil
}

// savePlan stores a plan if the stored one is at the expected revision; 0 means that
// there is none.
func (r *Responder) savePlan(ctx context.Context, stored storedPlan, expected int64) error {
	value, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	_, err = r.options.Store.Swap(ctx, planPrefix+stored.Plan.ID, value, expected, 0)
	return err
}

// loadPlan returns a stored plan and its revision in the store.
func (r *Responder) loadPlan(ctx context.Context, id string) (storedPlan, int64, error) {
	item, err := r.options.Store.Get(ctx, planPrefix+id)
	if errors.Is(err, storer.ErrNotFound) {
		return storedPlan{}, 0, &classifier.Error{
			Verdict: classifier.NotRun, Status: http.StatusNotFound, Code: "unknown", Message: "no plan " + id, Field: "id",
		}
	}
	if err != nil {
		return storedPlan{}, 0, err
	}
	var stored storedPlan
	err = json.Unmarshal(item.Value, &stored)
	return stored, item.Revision, err
}

// stale returns the error for a plan or a configuration that was made from an
// earlier state; changes says what has changed since.
func stale(changes []string) error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusConflict, Code: "stale",
		Message: "the plan no longer holds; make a new one", RetryAfter: time.Second, Details: changes,
	}
}

// configurationChanges describes the configuration to an operator whose change was
// made for the revision planned.
func configurationChanges(planned int64, now describer.Configuration) []string {
	changes := []string{fmt.Sprintf("configuration is at revision %d, the plan was made for %d", now.Revision, planned)}
	for _, drain := range now.Drains {
		changes = append(changes, fmt.Sprintf("drain %s of %s is %s", drain.ID, strings.Join(drain.Workers, ", "), drain.State))
	}
	for _, e := range now.Evacuations {
		changes = append(changes, fmt.Sprintf("domain %s is evacuated by %s", e.Domain, e.ID))
	}
	return changes
}

// includesIntent reports whether the configuration already includes the intent.
func includesIntent(c describer.Configuration, intent describer.Intent) bool {
	switch intent.Action {
	case describer.DrainWorkers:
		return slices.ContainsFunc(c.Drains, func(d describer.Drain) bool { return d.ID == intent.ID })
	case describer.Evacuate:
		return slices.ContainsFunc(c.Evacuations, func(e describer.Evacuation) bool { return e.ID == intent.ID })
	case describer.SetTarget:
		return slices.ContainsFunc(c.Services, func(s describer.Service) bool { return s.Intent == intent.ID })
	case describer.Restore:
		return slices.ContainsFunc(c.Drains, func(d describer.Drain) bool {
			return d.ID == intent.Drain && d.State == describer.Restoring
		})
	}
	return false
}
