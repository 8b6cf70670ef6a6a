// Package rehearser runs scripted end-to-end scenarios. It starts entry daemons as
// processes of their own together with stand-ins for the platform, injects faults,
// and checks invariants that the stand-ins and the callers count.
//
// # Language
//
// A scenario is a testscript with additional commands. D and WORK are durations
// such as 2s.
//
//	start [entries=N] [workers=N]  start the whole deployment and wait until every
//	                               shard has an owner
//	start NAME                     start a killed entry host or worker again
//	crash NAME...                  kill entry hosts or workers
//	pause NAME..., resume NAME...  freeze entry hosts or workers, and unfreeze them
//	cut LINK [drop], heal LINK     cut the links between regions, or those within them
//	                               (local), and heal them; bytes wait until then; with
//	                               drop, connections are reset and new ones refused
//	outage on|off|slow D|lose N    make the store unavailable, available, or slow, or
//	                               lose its next N responses
//	silence WORKER|all             stop responding on the open connections, for good
//	spoil WORKER cut|lose N        truncate or lose the next N responses
//	leave NAME...                  shut an entry host down as planned, or take a worker
//	                               out of service
//	submit JOB DOMAIN TASKS WORK [MEMORY]
//	                               submit a job, again until it is acknowledged; WORK
//	                               is the run time of a task, MEMORY is in MiB
//	cancel JOB DOMAIN              cancel a job, again until it is acknowledged
//	call PLACE OUTCOME ID [charge] send one request to a domain or an entry host and
//	                               check its outcome: answered, denied or unclear;
//	                               repeat it while it is denied; with charge it is
//	                               not idempotent and ID is its key
//	load RATE [WORK], load stop    start callers in every domain that send RATE requests
//	                               per second each, with WORK as service time; stop
//	                               them
//	drain ID D WORKER...           plan and confirm a drain for the time D
//	evacuate ID DOMAIN             plan and confirm an evacuation of a failure domain
//	restore ID                     plan and confirm the restore of a drain or evacuation
//	plan ID D WORKER...            plan a drain
//	confirm ID                     confirm the plan of the drain with this intent ID
//	race ID1 ID2 D WORKER...       let two operators plan drains of the same workers and
//	                               confirm them concurrently; at most one may succeed
//	expect CONDITION...            wait for a condition, see conditions.go
//	invariant                      fail if an invariant has been violated so far
//
// The timeout of conditions is generous; no verdict depends on how long something
// took.
package rehearser

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/standin/caller"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

// ConditionTimeout bounds the wait for a condition and for a command.
const ConditionTimeout = 60 * time.Second

// BinaryName is the name of the binary in a scenario's PATH.
const BinaryName = "dotterelcart"

// scenarioKey is the key of the *scenario in a testscript's values.
type scenarioKey struct{}

// scenario is the state of one running scenario.
type scenario struct {
	ctx        context.Context // ends with the scenario
	binary     string          // path of the program under test
	dir        string          // working directory
	deployment *deployer.Deployment
	watcher    *watcher
	calls      *caller.Generator
	plans      map[string]string // ids of plans, by the intent's id

	mu         sync.Mutex
	stopLoad   context.CancelFunc // ends the load; nil while there is none
	loadDone   chan struct{}      // closed when the load has ended
	violations []error            // found by commands, such as a planned shutdown that fails
}

// Params returns the parameters with which testscript runs all scenarios in dir.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir:   dir,
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":     adapt(start),
			"crash":     adapt(crash),
			"pause":     adapt(pause),
			"resume":    adapt(resume),
			"cut":       adapt(cut),
			"heal":      adapt(heal),
			"outage":    adapt(outage),
			"silence":   adapt(silence),
			"spoil":     adapt(spoil),
			"leave":     adapt(leave),
			"submit":    adapt(submit),
			"cancel":    adapt(cancel),
			"call":      adapt(call),
			"load":      adapt(load),
			"drain":     adapt(drain),
			"evacuate":  adapt(evacuate),
			"restore":   adapt(restore),
			"plan":      adapt(planDrain),
			"confirm":   adapt(confirm),
			"race":      adapt(race),
			"expect":    adapt(expect),
			"invariant": adapt(invariant),
		},
	}
}

// setup creates the state of a scenario and defers its end.
func setup(e *testscript.Env) error {
	binary, err := findBinary(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &scenario{ctx: ctx, binary: binary, dir: e.WorkDir, plans: make(map[string]string)}
	e.Values[scenarioKey{}] = s
	e.Defer(func() {
		cancel()
		s.close()
	})
	return nil
}

// findBinary finds the binary in the scenario's own PATH.
func findBinary(e *testscript.Env) (string, error) {
	for _, dir := range filepath.SplitList(e.Getenv("PATH")) {
		name := filepath.Join(dir, BinaryName)
		if _, err := os.Stat(name); err == nil {
			return name, nil
		}
	}
	return "", eris.New("rehearser: " + BinaryName + " is not in the scenario's PATH")
}

// close ends the load, the watcher and the deployment.
func (s *scenario) close() {
	s.endLoad()
	if s.watcher != nil {
		<-s.watcher.Done
	}
	if s.deployment != nil {
		s.deployment.Close()
	}
}

// withTimeout returns a context that ends after ConditionTimeout.
func (s *scenario) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, ConditionTimeout)
}

// adapt turns a function into a testscript command that can't be negated.
func adapt(command func(*scenario, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s, _ := ts.Value(scenarioKey{}).(*scenario)
		if neg {
			ts.Fatalf("the command can't be negated")
		}
		if err := command(s, args); err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// launch starts an entry daemon in a process of its own. Its log goes to a file.
func (s *scenario) launch(_ context.Context, settings parser.Settings) (deployer.Daemon, error) {
	file, err := writeSettings(s.dir, settings)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(logDir(s.dir), settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	c := exec.Command(s.binary, "serve", file)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		log.Close()
		return nil, err
	}
	p := &process{scenario: s, name: settings.Name, command: c, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		defer log.Close()
		p.err = c.Wait()
	}()
	return p, nil
}

// logDir returns the directory for the daemons' logs. That is a directory below
// DOTTERELCART_LOGS, if set, because the scenario's own directory dir is removed at
// its end.
func logDir(dir string) string {
	kept := os.Getenv("DOTTERELCART_LOGS")
	if kept == "" {
		return dir
	}
	dir = filepath.Join(kept, filepath.Base(dir))
	_ = os.MkdirAll(dir, 0o755)
	return dir
}

// process is an entry daemon in a process of its own.
type process struct {
	scenario *scenario
	name     string
	command  *exec.Cmd
	done     chan struct{}
	err      error // exit error; valid once done is closed
}

// Kill implements deployer.Daemon.
func (p *process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop implements deployer.Daemon. It shuts the daemon down as planned and kills it
// when ctx ends. An exit code other than 0 violates an invariant.
func (p *process) Stop(ctx context.Context) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-ctx.Done():
		p.Kill()
	}
	if p.err != nil {
		p.scenario.addViolation("planned shutdown of %s failed: %v", p.name, p.err)
	}
}

func (p *process) signal(sig syscall.Signal) { _ = p.command.Process.Signal(sig) }

// random returns a source with a fixed seed.
func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
