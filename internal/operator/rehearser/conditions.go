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

// conditions holds the conditions of the command expect, by name:
//
//	expect serving            every running entry host is ready and answers
//	expect job J STATE        the job's owner reports the state, such as done
//	expect finished J TASKS   the workers have completed all TASKS tasks of the job
//	expect running WORKER N   at least N tasks run on the worker
//	expect idle WORKER        no task runs on the worker
//	expect runs N             at least N runs of tasks have begun on all workers
//	expect stopped N          at least N runs were stopped on request
//	expect answers N          the callers have sent at least N more requests
//	expect work WORKER        the worker has executed a further request
//	expect drains N           exactly N drains are in force
//	expect evacuations N      all running daemons' control state has exactly N evacuations
//	expect agreed             all running daemons have the same revision
//	expect owners             every shard is owned by a running daemon
//	expect executions ID N    the request was executed exactly N times
//
// Each function parses the arguments and returns a check that is repeated until it
// returns nil.
var conditions = map[string]func(*scenario, []string) (func(context.Context) error, error){
	"serving":     serving,
	"job":         jobState,
	"finished":    finished,
	"running":     running,
	"idle":        idle,
	"runs":        runs,
	"stopped":     stoppedRuns,
	"answers":     answers,
	"work":        work,
	"drains":      drains,
	"evacuations": evacuations,
	"agreed":      agreed,
	"owners":      owners,
	"executions":  executions,
}

// expect waits until a condition holds.
func expect(s *scenario, args []string) error {
	build := conditions[args[0]]
	if build == nil {
		return eris.Errorf("no condition %q", args[0])
	}
	check, err := build(s, args[1:])
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	return deployer.Retry(ctx, func() error { return check(ctx) })
}

// atLeast returns a check that the count has reached the number in text.
func atLeast(text, name string, count func() int) (func(context.Context) error, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	return func(context.Context) error {
		if current := count(); current < n {
			return eris.Errorf("%s is %d, want at least %d", name, current, n)
		}
		return nil
	}, nil
}

// checkThat returns a check that fails with the message while holds is false.
func checkThat(message string, holds func() bool) (func(context.Context) error, error) {
	return func(context.Context) error {
		if !holds() {
			return eris.New(message)
		}
		return nil
	}, nil
}

func serving(s *scenario, _ []string) (func(context.Context) error, error) {
	return func(context.Context) error { return s.deployment.Probe() }, nil
}

func jobState(s *scenario, args []string) (func(context.Context) error, error) {
	return func(ctx context.Context) error {
		status, err := s.status(ctx, args[0])
		if err == nil && status.State == args[1] {
			return nil
		}
		return eris.Errorf("job %s is %q, want %s: %v", args[0], status.State, args[1], err)
	}, nil
}

func finished(s *scenario, args []string) (func(context.Context) error, error) {
	tasks, err := strconv.Atoi(args[1])
	return func(ctx context.Context) error {
		n := 0
		for i := range tasks {
			if s.deployment.Audit.Finished(describer.TaskID{Job: args[0], Index: i}) {
				n++
			}
		}
		if n == tasks {
			return nil
		}
		status, _ := s.status(ctx, args[0])
		return eris.Errorf("%d of %d tasks of %s are finished; its owner says %+v", n, tasks, args[0], status)
	}, err
}

// status asks for a job's state through the domains' balancers, until one answers.
func (s *scenario) status(ctx context.Context, job string) (status reducer.JobStatus, err error) {
	for _, domain := range s.deployment.Domains {
		url := "http://" + domain.Balancer.Address + "/v1/jobs/" + job
		if err = deployer.CallJSON(ctx, client, http.MethodGet, url, nil, &status); err == nil {
			return status, nil
		}
	}
	return status, err
}

func running(s *scenario, args []string) (func(context.Context) error, error) {
	return atLeast(args[1], "runs on "+args[0], s.deployment.Worker(args[0]).Running)
}

func idle(s *scenario, args []string) (func(context.Context) error, error) {
	worker := s.deployment.Worker(args[0])
	return checkThat(args[0]+" is not idle", func() bool { return worker.Running() == 0 })
}

func runs(s *scenario, args []string) (func(context.Context) error, error) {
	return atLeast(args[0], "runs", func() int { return s.deployment.Audit.Report().Runs })
}

func stoppedRuns(s *scenario, args []string) (func(context.Context) error, error) {
	return atLeast(args[0], "stopped runs", func() int { return s.deployment.Audit.Report().Stopped })
}

func answers(s *scenario, args []string) (func(context.Context) error, error) {
	before, _ := s.calls.Counts()
	return atLeast(args[0], "requests", func() int {
		sent, _ := s.calls.Counts()
		return int(sent - before)
	})
}

func work(s *scenario, args []string) (func(context.Context) error, error) {
	count := &s.deployment.Worker(args[0]).Counts.Requests
	before := count.Load()
	return checkThat(args[0]+" executes no requests", func() bool { return count.Load() > before })
}

func drains(s *scenario, args []string) (func(context.Context) error, error) {
	n, err := strconv.Atoi(args[0])
	return func(ctx context.Context) error {
		drains, err := s.deployment.Drains(ctx)
		if err == nil && len(drains) != n {
			err = eris.Errorf("%d drains are in force, want %d", len(drains), n)
		}
		return err
	}, err
}

func evacuations(s *scenario, args []string) (func(context.Context) error, error) {
	n, err := strconv.Atoi(args[0])
	return func(ctx context.Context) error {
		for _, e := range s.daemons() {
			var reports []reducer.Status
			err := deployer.CallJSON(ctx, client, http.MethodGet, "http://"+e.Settings.Listen.Operators+"/v1/status", nil, &reports)
			if err != nil {
				return err
			}
			for _, r := range reports {
				if len(r.Evacuations) != n {
					return eris.Errorf("%s has %d evacuations in force, want %d", r.Daemon, len(r.Evacuations), n)
				}
			}
		}
		return nil
	}, err
}

func agreed(s *scenario, _ []string) (func(context.Context) error, error) {
	return func(ctx context.Context) error {
		hosts := make(map[int64][]string) // names of entry hosts by revision
		for _, e := range s.daemons() {
			revision, err := revisionOf(ctx, e)
			if err != nil {
				return err
			}
			hosts[revision] = append(hosts[revision], e.Settings.Name)
		}
		if len(hosts) > 1 {
			return eris.Errorf("revisions differ: %v", hosts)
		}
		return nil
	}, nil
}

func owners(s *scenario, _ []string) (func(context.Context) error, error) {
	return func(ctx context.Context) error {
		owned := make(map[string]bool)
		for _, e := range s.daemons() {
			var reports []reducer.Status
			url := "http://" + e.Settings.Listen.Operators + "/v1/status"
			if err := deployer.CallJSON(ctx, client, http.MethodGet, url, nil, &reports); err != nil {
				return err
			}
			for _, report := range reports {
				if report.Daemon != e.Settings.Name {
					continue
				}
				for _, shard := range report.Shards {
					owned[shard.Shard] = true
				}
			}
		}
		if shards := s.deployment.Shards(); len(shards) > len(owned) {
			return eris.Errorf("only %d of %s are owned", len(owned), strings.Join(shards, ", "))
		}
		return nil
	}, nil
}

func executions(s *scenario, args []string) (func(context.Context) error, error) {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, err
	}
	return checkThat("request "+args[0]+" was not executed "+args[1]+" times", func() bool {
		return s.deployment.Audit.Executions(args[0]) == n
	})
}

// daemons returns the entry hosts whose daemons run.
func (s *scenario) daemons() []*deployer.Entry {
	var out []*deployer.Entry
	for _, domain := range s.deployment.Domains {
		for _, e := range domain.Entries {
			if e.Daemon() != nil {
				out = append(out, e)
			}
		}
	}
	return out
}

// revisionOf asks a daemon for the revision of its configuration.
func revisionOf(ctx context.Context, e *deployer.Entry) (int64, error) {
	var c describer.Configuration
	err := deployer.CallJSON(ctx, client, http.MethodGet, "http://"+e.Settings.Listen.Operators+"/v1/configuration", nil, &c)
	return c.Revision, err
}
