// Package rehearser runs scripted scenarios: entry daemons as processes of
// their own, stand-ins for the platform, faults, and invariants that the
// stand-ins count.
//
// # Language
//
// A scenario is a testscript whose commands this package adds:
//
//	start [entries=N] [workers=N]  the whole deployment, and wait until it serves
//	start NAME                     a dead entry host or worker
//	crash NAME                     at once
//	pause NAME, resume NAME        freeze and unfreeze
//	cut LINK [drop], heal LINK     region or local; without drop bytes wait
//	outage on|off|slow D|lose N    of the store
//	silence WORKER|all             open connections go silent for good
//	spoil WORKER cut|lose N        next answers end half way, or are lost
//	leave NAME                     planned stop of an entry host; a worker leaves
//	submit JOB DOMAIN TASKS WORK [MEMORY]
//	                               until it is acknowledged; memory in MiB
//	cancel JOB DOMAIN              until it is acknowledged
//	call PLACE OUTCOME ID [charge] one request, again while it is denied: answered,
//	                               denied or unclear
//	load RATE [WORK], load stop    callers in every domain; service time
//	drain ID D WORKER...           confirmed; D is for how long
//	plan ID D WORKER...            the same without confirmation
//	confirm ID                     the plan of this intent
//	race ID1 ID2 D WORKER...       two operators drain at once; one must be refused
//	expect CONDITION...            wait for it, see conditions.go
//	invariant                      nothing that must hold was violated so far
//
// Conditions are waited for with a generous limit; no verdict depends on how
// long something took.
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

// Limit is how long a condition is waited for.
const Limit = 60 * time.Second

// Command is the name of the binary in a scenario's PATH.
const Command = "dotterelcart"

// worldKey finds the world of a scenario.
type worldKey struct{}

// world is what one scenario has started.
type world struct {
	ctx    context.Context
	binary string
	dir    string
	d      *deployer.Deployment
	watch  *watcher
	calls  *caller.Generator
	plans  map[string]string // plan's id by the intent's

	mu       sync.Mutex
	stop     context.CancelFunc // of the load
	stopped  chan struct{}
	failures []error // violations seen by commands, such as a planned stop that fails
}

// Params returns the parameters of a run of all scenarios in dir.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir:   dir,
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":     positive(start),
			"crash":     positive(crash),
			"pause":     positive(pause),
			"resume":    positive(resume),
			"cut":       positive(cut),
			"heal":      positive(heal),
			"outage":    positive(outage),
			"silence":   positive(silence),
			"spoil":     positive(spoil),
			"leave":     positive(leave),
			"submit":    positive(submit),
			"cancel":    positive(cancel),
			"call":      positive(call),
			"load":      positive(load),
			"drain":     positive(drain),
			"plan":      positive(planDrain),
			"confirm":   positive(confirm),
			"race":      positive(race),
			"expect":    positive(expect),
			"invariant": positive(invariant),
		},
	}
}

func setup(e *testscript.Env) error {
	binary, err := lookup(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{ctx: ctx, binary: binary, dir: e.WorkDir, plans: make(map[string]string)}
	e.Values[worldKey{}] = w
	e.Defer(func() {
		cancel()
		w.close()
	})
	return nil
}

// lookup finds the binary in the scenario's own PATH.
func lookup(e *testscript.Env) (string, error) {
	for _, dir := range filepath.SplitList(e.Getenv("PATH")) {
		name := filepath.Join(dir, Command)
		if _, err := os.Stat(name); err == nil {
			return name, nil
		}
	}
	return "", eris.New("rehearser: " + Command + " is not in the scenario's PATH")
}

func (w *world) close() {
	w.endLoad()
	if w.watch != nil {
		<-w.watch.Done
	}
	if w.d != nil {
		w.d.Close()
	}
}

// limited returns a context that ends with the limit for one condition.
func (w *world) limited() (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, Limit)
}

// positive adapts a command that can't be negated and that reports an error.
func positive(command func(*world, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w, _ := ts.Value(worldKey{}).(*world)
		if neg {
			ts.Fatalf("the command can't be negated")
		}
		if err := command(w, args); err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// launch runs an entry daemon as a process.
func (w *world) launch(_ context.Context, s parser.Settings) (deployer.Daemon, error) {
	file, err := writeSettings(w.dir, s)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(logDir(w.dir), s.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	c := exec.Command(w.binary, "serve", file)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		log.Close()
		return nil, err
	}
	p := &process{w: w, name: s.Name, command: c, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		defer log.Close()
		p.err = c.Wait()
	}()
	return p, nil
}

// logDir is where the daemons' logs go: DOTTERELCART_LOGS, if set, in place
// of the scenario's own directory, which is removed.
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
	w       *world
	name    string
	command *exec.Cmd
	done    chan struct{}
	err     error // once done
}

// Kill implements deployer.Daemon.
func (p *process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop implements deployer.Daemon. An exit code other than 0 is kept for the
// invariants.
func (p *process) Stop(ctx context.Context) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-ctx.Done():
		p.Kill()
	}
	if p.err != nil {
		p.w.fail("planned stop of %s: %v", p.name, p.err)
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
