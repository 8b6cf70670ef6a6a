package rehearser

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

// Conditions of the command expect:
//
//	expect serving            every running entry host is ready and answers
//	expect job J STATE        as the daemons say, such as done
//	expect finished J TASKS   as the workers counted
//	expect running WORKER N   at least N runs
//	expect idle WORKER        no runs
//	expect runs N             at least N runs were begun anywhere
//	expect stopped N          at least N runs were ended on request
//	expect answers N          the callers sent at least N more requests
//	expect work WORKER        it executes requests from now on
//	expect drains N           in force
//	expect agreed             all running daemons have the same revision
//	expect owners             every shard has an owner that runs
//	expect executions ID N    exactly N
var conditions = map[string]func(*world, []string) (func(context.Context) error, error){
	"serving":    serving,
	"job":        jobState,
	"finished":   finished,
	"running":    running,
	"idle":       idle,
	"runs":       runs,
	"stopped":    stoppedRuns,
	"answers":    answers,
	"work":       work,
	"drains":     drains,
	"agreed":     agreed,
	"owners":     owners,
	"executions": executions,
}

func expect(w *world, args []string) error {
	build := conditions[args[0]]
	if build == nil {
		return eris.Errorf("no condition %q", args[0])
	}
	check, err := build(w, args[1:])
	if err != nil {
		return err
	}
	ctx, cancel := w.limited()
	defer cancel()
	return deployer.Retry(ctx, func() error { return check(ctx) })
}

// atLeast builds a condition on a count.
func atLeast(text, name string, count func() int) (func(context.Context) error, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	return func(context.Context) error {
		if now := count(); now < n {
			return eris.Errorf("%s is %d, want at least %d", name, now, n)
		}
		return nil
	}, nil
}

// when builds a condition that has no value.
func when(why string, holds func() bool) (func(context.Context) error, error) {
	return func(context.Context) error {
		if !holds() {
			return eris.New(why)
		}
		return nil
	}, nil
}

func serving(w *world, _ []string) (func(context.Context) error, error) {
	return func(context.Context) error { return w.d.Probe() }, nil
}

func jobState(w *world, args []string) (func(context.Context) error, error) {
	return func(ctx context.Context) error {
		status, err := w.status(ctx, args[0])
		if err == nil && status.State == args[1] {
			return nil
		}
		return eris.Errorf("job %s is %q, want %s: %v", args[0], status.State, args[1], err)
	}, nil
}

func finished(w *world, args []string) (func(context.Context) error, error) {
	tasks, err := strconv.Atoi(args[1])
	return func(ctx context.Context) error {
		n := 0
		for i := range tasks {
			if w.d.Audit.Finished(describer.TaskID{Job: args[0], Index: i}) {
				n++
			}
		}
		if n == tasks {
			return nil
		}
		status, _ := w.status(ctx, args[0])
		return eris.Errorf("%d of %d tasks of %s are finished; its owner says %+v", n, tasks, args[0], status)
	}, err
}

// status asks for a job through each domain's balancer in turn.
func (w *world) status(ctx context.Context, job string) (status reducer.JobStatus, err error) {
	for _, m := range w.d.Domains {
		url := "http://" + m.Balancer.Address + "/v1/jobs/" + job
		if err = deployer.CallJSON(ctx, client, http.MethodGet, url, nil, &status); err == nil {
			return status, nil
		}
	}
	return status, err
}

func running(w *world, args []string) (func(context.Context) error, error) {
	return atLeast(args[1], "runs on "+args[0], w.d.Worker(args[0]).Running)
}

func idle(w *world, args []string) (func(context.Context) error, error) {
	h := w.d.Worker(args[0])
	return when(args[0]+" is not idle", func() bool { return h.Running() == 0 })
}

func runs(w *world, args []string) (func(context.Context) error, error) {
	return atLeast(args[0], "runs", func() int { return w.d.Audit.Report().Runs })
}

func stoppedRuns(w *world, args []string) (func(context.Context) error, error) {
	return atLeast(args[0], "stopped runs", func() int { return w.d.Audit.Report().Stopped })
}

func answers(w *world, args []string) (func(context.Context) error, error) {
	before, _ := w.calls.Counts()
	return atLeast(args[0], "requests", func() int {
		now, _ := w.calls.Counts()
		return int(now - before)
	})
}

func work(w *world, args []string) (func(context.Context) error, error) {
	count := &w.d.Worker(args[0]).Counts.Requests
	before := count.Load()
	return when(args[0]+" executes no requests", func() bool { return count.Load() > before })
}

func drains(w *world, args []string) (func(context.Context) error, error) {
	n, err := strconv.Atoi(args[0])
	return func(ctx context.Context) error {
		present, err := w.d.Drains(ctx)
		if err == nil && len(present) != n {
			err = eris.Errorf("%d drains are in force, want %d", len(present), n)
		}
		return err
	}, err
}

func agreed(w *world, _ []string) (func(context.Context) error, error) {
	return func(ctx context.Context) error {
		seen := make(map[int64][]string)
		for _, e := range w.daemons() {
			revision, err := revisionOf(ctx, e)
			if err != nil {
				return err
			}
			seen[revision] = append(seen[revision], e.Settings.Name)
		}
		if len(seen) > 1 {
			return eris.Errorf("revisions differ: %v", seen)
		}
		return nil
	}, nil
}

func owners(w *world, _ []string) (func(context.Context) error, error) {
	return func(ctx context.Context) error {
		owned := make(map[string]bool)
		for _, e := range w.daemons() {
			var reports []reducer.Status
			url := "http://" + e.Settings.Listen.Operators + "/v1/status"
			if err := deployer.CallJSON(ctx, client, http.MethodGet, url, nil, &reports); err != nil {
				return err
			}
			for _, r := range reports {
				if r.Daemon != e.Settings.Name {
					continue
				}
				for _, s := range r.Shards {
					owned[s.Shard] = true
				}
			}
		}
		if missing := w.d.Shards(); len(missing) > len(owned) {
			return eris.Errorf("only %d of %s are owned", len(owned), strings.Join(missing, ", "))
		}
		return nil
	}, nil
}

func executions(w *world, args []string) (func(context.Context) error, error) {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, err
	}
	return when("request "+args[0]+" was not executed "+args[1]+" times", func() bool {
		return w.d.Audit.Executions(args[0]) == n
	})
}

// daemons returns the entry hosts whose daemon runs.
func (w *world) daemons() []*deployer.Entry {
	var out []*deployer.Entry
	for _, m := range w.d.Domains {
		for _, e := range m.Entries {
			if e.Daemon() != nil {
				out = append(out, e)
			}
		}
	}
	return out
}

// revisionOf asks a daemon for the configuration in force there.
func revisionOf(ctx context.Context, e *deployer.Entry) (int64, error) {
	var c describer.Configuration
	err := deployer.CallJSON(ctx, client, http.MethodGet, "http://"+e.Settings.Listen.Operators+"/v1/configuration", nil, &c)
	return c.Revision, err
}
