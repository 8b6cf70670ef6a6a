package planner

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Apply returns the configuration that the confirmation of an intent writes. It
// is a changed copy with the same revision; the write increments it. Run, and
// cancel of a job, don't change the configuration. Applying an intent again has
// no effect. Errors are *classifier.Error values with verdict NotRun and the
// name of the invalid field.
func Apply(cfg describer.Configuration, intent describer.Intent, now time.Time) (describer.Configuration, error) {
	cfg.Services = slices.Clone(cfg.Services)
	cfg.Drains = slices.Clone(cfg.Drains)
	cfg.Evacuations = slices.Clone(cfg.Evacuations)
	if intent.ID == "" {
		return cfg, invalid("id", "an intent needs an id")
	}
	switch intent.Action {
	case describer.SetTarget:
		return setTarget(cfg, intent)
	case describer.Run:
		return cfg, checkJob(cfg, intent.Job)
	case describer.DrainWorkers:
		return addDrain(cfg, intent, now)
	case describer.Evacuate:
		return addEvacuation(cfg, intent)
	case describer.Restore:
		return restore(cfg, intent)
	case describer.Cancel:
		return cancel(cfg, intent)
	}
	return cfg, invalid("action", "unknown action "+string(intent.Action))
}

// setTarget sets the latency target of a service.
func setTarget(cfg describer.Configuration, intent describer.Intent) (describer.Configuration, error) {
	if intent.Target <= 0 {
		return cfg, invalid("target", "a latency target must be positive")
	}
	for i := range cfg.Services {
		if cfg.Services[i].Name == intent.Service {
			cfg.Services[i].Target = intent.Target
			cfg.Services[i].Intent = intent.ID
			return cfg, nil
		}
	}
	return cfg, unknown("service", "unknown service "+intent.Service)
}

// checkJob reports an invalid field of a job to be run.
func checkJob(cfg describer.Configuration, job *describer.Job) error {
	switch {
	case job == nil:
		return invalid("job", "run needs a job")
	case job.ID == "":
		return invalid("job.id", "a job needs an id")
	case job.Tasks < 1:
		return invalid("job.tasks", "a job has at least 1 task")
	case !job.Declared.IsValid():
		return invalid("job.declared", "a task must declare what it needs")
	}
	isTeam := func(t describer.Team) bool { return t.Name == job.Team }
	if !slices.ContainsFunc(cfg.Teams, isTeam) {
		return unknown("job.team", "unknown team "+job.Team)
	}
	return nil
}

// addDrain adds a drain of the intent's workers.
func addDrain(cfg describer.Configuration, intent describer.Intent, now time.Time) (describer.Configuration, error) {
	if len(intent.Workers) == 0 {
		return cfg, invalid("workers", "a drain needs workers")
	}
	if intent.For < 0 {
		return cfg, invalid("for", "the time of a drain must not be negative")
	}
	if findDrain(cfg, intent.ID) != nil {
		return cfg, nil
	}
	if findEvacuation(cfg, intent.ID) >= 0 {
		return cfg, conflict("id", intent.ID+" is the id of an evacuation")
	}
	workers := slices.Compact(slices.Sorted(slices.Values(intent.Workers)))
	for i := range cfg.Drains {
		for _, worker := range unrestored(&cfg.Drains[i]) {
			if slices.Contains(workers, worker) {
				return cfg, conflict("workers", worker+" is in drain "+cfg.Drains[i].ID)
			}
		}
	}
	d := describer.Drain{ID: intent.ID, Workers: workers, State: describer.Draining}
	if intent.For > 0 {
		d.Until = now.Add(intent.For)
	}
	cfg.Drains = append(cfg.Drains, d)
	return cfg, nil
}

// restore begins the restore of a drain, or removes an evacuation.
func restore(cfg describer.Configuration, intent describer.Intent) (describer.Configuration, error) {
	if i := findEvacuation(cfg, intent.Drain); i >= 0 {
		cfg.Evacuations = slices.Delete(cfg.Evacuations, i, i+1)
		return cfg, nil
	}
	d := findDrain(cfg, intent.Drain)
	if d == nil {
		return cfg, unknown("drain", "unknown drain or evacuation "+intent.Drain)
	}
	d.State = describer.Restoring
	return cfg, nil
}

// MarkRestored returns the configuration after a worker of a drain has been
// restored. The drain is removed with its last worker. Nothing changes if the
// drain does not exist or is not being restored.
func MarkRestored(cfg describer.Configuration, drain, worker string) describer.Configuration {
	cfg.Drains = slices.Clone(cfg.Drains)
	d := findDrain(cfg, drain)
	if d == nil || d.State != describer.Restoring || !slices.Contains(unrestored(d), worker) {
		return cfg
	}
	d.Restored = append(slices.Clone(d.Restored), worker)
	if len(unrestored(d)) == 0 {
		cfg.Drains = slices.DeleteFunc(cfg.Drains, func(o describer.Drain) bool { return o.ID == drain })
	}
	return cfg
}

// BeginRestore returns the configuration in which the drain is being restored,
// as when its time has ended. Nothing changes if the drain does not exist.
func BeginRestore(cfg describer.Configuration, drain string) describer.Configuration {
	cfg.Drains = slices.Clone(cfg.Drains)
	if d := findDrain(cfg, drain); d != nil {
		d.State = describer.Restoring
	}
	return cfg
}

// cancel removes a drain. For a job it only checks the intent.
func cancel(cfg describer.Configuration, intent describer.Intent) (describer.Configuration, error) {
	if intent.Drain == "" {
		if intent.Job == nil || intent.Job.ID == "" {
			return cfg, invalid("drain", "cancel needs a drain or a job")
		}
		return cfg, nil
	}
	if findEvacuation(cfg, intent.Drain) >= 0 {
		return cfg, invalid("drain", intent.Drain+" is an evacuation, which ends by a restore")
	}
	if findDrain(cfg, intent.Drain) == nil {
		return cfg, unknown("drain", "unknown drain "+intent.Drain)
	}
	cfg.Drains = slices.DeleteFunc(cfg.Drains, func(d describer.Drain) bool { return d.ID == intent.Drain })
	return cfg, nil
}

// findDrain returns a pointer to the drain in cfg, or nil.
func findDrain(cfg describer.Configuration, id string) *describer.Drain {
	i := slices.IndexFunc(cfg.Drains, func(d describer.Drain) bool { return d.ID == id })
	if i < 0 {
		return nil
	}
	return &cfg.Drains[i]
}

// unrestored returns the drain's workers that have not been restored yet.
func unrestored(d *describer.Drain) []string {
	return slices.DeleteFunc(slices.Clone(d.Workers), func(worker string) bool {
		return slices.Contains(d.Restored, worker)
	})
}

// invalid returns an error about a field whose value is not allowed.
func invalid(field, message string) error {
	return failure(http.StatusBadRequest, "invalid", field, message)
}

// unknown returns an error about a field that names something that does not exist.
func unknown(field, message string) error {
	return failure(http.StatusNotFound, "unknown", field, message)
}

// conflict returns an error about a contradiction to the current state.
func conflict(field, message string) error {
	return failure(http.StatusConflict, "conflict", field, message)
}

// failure returns an error that says that the intent had no effect.
func failure(status int, code, field, message string) error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: status, Code: code, Field: field,
		Message: "planner: " + strings.TrimSpace(message),
	}
}
