package rehearser

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/standin/caller"
	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
)

const (
	defaultEntries = 2
	defaultWorkers = 3

	// lenientTarget is a latency target that a slow machine does not miss;
	// otherwise batch tasks would be kept off for as long as it is busy.
	lenientTarget = 30 * time.Second
	taskCPU       = 500  // millicores of each submitted task
	taskMemory    = 1024 // MiB of one whose memory is not stated
)

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// writeSettings writes a daemon's settings file.
func writeSettings(dir string, s parser.Settings) (string, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, s.Name+".hujson")
	return file, os.WriteFile(file, data, 0o600)
}

func start(w *world, args []string) error {
	if w.d != nil && len(args) == 1 {
		return w.startOne(args[0])
	}
	o := deployer.Options{EntryHosts: defaultEntries, Workers: defaultWorkers, LatencyTarget: lenientTarget, Launch: w.launch}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(value)
		switch {
		case err != nil:
			return err
		case name == "entries":
			o.EntryHosts = n
		case name == "workers":
			o.Workers = n
		default:
			return eris.Errorf("start: unknown %s", name)
		}
	}
	var err error
	if w.d, err = deployer.New(w.ctx, o); err != nil {
		return err
	}
	w.calls = caller.New(w.d, random(), 1)
	w.watch = newWatcher(w.ctx, w.d)
	ctx, cancel := w.limited()
	defer cancel()
	if err := w.d.Configure(ctx); err != nil {
		return err
	}
	return expect(w, []string{"owners"})
}

func (w *world) startOne(name string) error {
	if worker := w.d.Worker(name); worker != nil {
		return worker.Restart()
	}
	e := w.d.Entry(name)
	if e == nil {
		return eris.Errorf("no entry host or worker %s", name)
	}
	ctx, cancel := w.limited()
	defer cancel()
	return deployer.Retry(ctx, func() error { return e.Start(ctx) })
}

// on carries a command out on an entry host's process or on a worker.
func on(w *world, args []string, entry func(*deployer.Entry), worker func(*hoster.Worker)) error {
	for _, name := range args {
		e, h := w.d.Entry(name), w.d.Worker(name)
		switch {
		case e != nil && e.Daemon() != nil:
			entry(e)
		case h != nil:
			worker(h)
		default:
			return eris.Errorf("%s is not running", name)
		}
	}
	return nil
}

func crash(w *world, args []string) error {
	return on(w, args, (*deployer.Entry).Kill, (*hoster.Worker).Kill)
}

func pause(w *world, args []string) error {
	return on(w, args, signal(syscall.SIGSTOP), (*hoster.Worker).Pause)
}

func resume(w *world, args []string) error {
	return on(w, args, signal(syscall.SIGCONT), (*hoster.Worker).Resume)
}

func signal(s syscall.Signal) func(*deployer.Entry) {
	return func(e *deployer.Entry) {
		if p, ok := e.Daemon().(*process); ok {
			p.signal(s)
		}
	}
}

func leave(w *world, args []string) error {
	return on(w, args, func(e *deployer.Entry) { e.Stop(w.ctx) }, func(h *hoster.Worker) {
		w.d.HostList.SetState(h.Host.Name, describer.Leaving)
		h.MarkLeaving()
	})
}

func silence(w *world, args []string) error {
	for _, m := range w.d.Domains {
		for _, h := range m.Workers {
			if args[0] == "all" || args[0] == h.Host.Name {
				h.SilenceConnections()
			}
		}
	}
	return nil
}

func spoil(w *world, args []string) error {
	if len(args) != 3 || w.d.Worker(args[0]) == nil {
		return eris.New("usage: spoil WORKER cut|lose N")
	}
	n, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	if args[1] == "cut" {
		w.d.Worker(args[0]).TruncateResponses(n)
	} else {
		w.d.Worker(args[0]).DropResponses(n)
	}
	return nil
}

func (w *world) link(name string) (*delayer.Link, error) {
	switch name {
	case "region":
		return w.d.InterRegion, nil
	case "local":
		return w.d.IntraRegion, nil
	}
	return nil, eris.Errorf("no link %q, use region or local", name)
}

func cut(w *world, args []string) error {
	l, err := w.link(args[0])
	if err != nil {
		return err
	}
	if len(args) > 1 && args[1] == "drop" {
		l.Cut(delayer.Drop)
		return nil
	}
	l.Cut(delayer.Blackhole)
	return nil
}

func heal(w *world, args []string) error {
	l, err := w.link(args[0])
	if err == nil {
		l.Heal()
	}
	return err
}

func outage(w *world, args []string) error {
	switch args[0] {
	case "on", "off":
		w.d.Store.SetOutage(args[0] == "on")
	case "slow":
		slow, err := time.ParseDuration(args[1])
		if err != nil {
			return err
		}
		w.d.Store.SetDelay(slow)
	case "lose":
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		w.d.Store.DropResponses(n, 0, 0)
	default:
		return eris.New("usage: outage on|off|slow D|lose N")
	}
	return nil
}

func submit(w *world, args []string) error {
	if len(args) < 4 || w.d.Domain(args[1]) == nil {
		return eris.New("usage: submit JOB DOMAIN TASKS WORK [MEMORY]")
	}
	memory := int64(taskMemory)
	if len(args) > 4 {
		if _, err := fmt.Sscan(args[4], &memory); err != nil {
			return err
		}
	}
	tasks, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	work, err := time.ParseDuration(args[3])
	if err != nil {
		return err
	}
	payload, _ := json.Marshal(hoster.Payload{Work: args[3]})
	job := describer.Job{
		ID: args[0], Team: "council", Class: "translate", Tasks: tasks, RunTime: work, Payload: payload,
		Declared: describer.Resources{CPU: taskCPU, Memory: memory},
	}
	return w.persist(http.MethodPost, args[1], "/v1/jobs", job)
}

func cancel(w *world, args []string) error {
	if len(args) != 2 || w.d.Domain(args[1]) == nil {
		return eris.New("usage: cancel JOB DOMAIN")
	}
	return w.persist(http.MethodDelete, args[1], "/v1/jobs/"+args[0], nil)
}

// persist repeats an idempotent call through a domain's balancer until it
// succeeds.
func (w *world) persist(method, domain, path string, in any) error {
	ctx, cancel := w.limited()
	defer cancel()
	url := "http://" + w.d.Domain(domain).Balancer.Address + path
	return deployer.Retry(ctx, func() error { return deployer.CallJSON(ctx, client, method, url, in, nil) })
}

func call(w *world, args []string) error {
	if len(args) < 3 {
		return eris.New("usage: call PLACE OUTCOME ID [charge]")
	}
	q := caller.Request{ID: args[2], Tenant: "owners", Class: "menu", ResponseSize: 100}
	if len(args) > 3 {
		q.Charge, q.Class, q.Body = true, "charge", args[2]
	}
	address := ""
	if m := w.d.Domain(args[0]); m != nil {
		address = m.Balancer.Address
	} else if e := w.d.Entry(args[0]); e != nil {
		address = e.Settings.Listen.Callers
	}
	c := caller.NewClient()
	defer c.CloseIdleConnections()
	ctx, cancel := w.limited()
	defer cancel()
	return deployer.Retry(ctx, func() error {
		outcome, code := w.calls.CallAt(c, address, q)
		if outcome == caller.Denied && args[1] != outcome.String() {
			return eris.Errorf("call %s was denied, want %s: %s", q.ID, args[1], code)
		}
		if outcome.String() != args[1] {
			w.fail("call %s was %s, want %s: %s", q.ID, outcome, args[1], code)
		}
		return nil
	})
}

// fail keeps a violation for the invariants.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, eris.Errorf(format, args...))
}

func load(w *world, args []string) error {
	if args[0] == "stop" {
		w.endLoad()
		return nil
	}
	rate, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	var work time.Duration
	if len(args) > 1 {
		if work, err = time.ParseDuration(args[1]); err != nil {
			return err
		}
	}
	w.endLoad()
	w.calls = caller.New(w.d, random(), rate)
	w.calls.ServiceTime = work
	ctx, stop := context.WithCancel(w.ctx)
	stopped := make(chan struct{})
	w.mu.Lock()
	w.stop, w.stopped = stop, stopped
	w.mu.Unlock()
	go func() {
		defer close(stopped)
		w.calls.Run(ctx)
	}()
	return nil
}

// endLoad ends the callers and waits for their answers.
func (w *world) endLoad() {
	w.mu.Lock()
	stop, stopped := w.stop, w.stopped
	w.stop = nil
	w.mu.Unlock()
	if stop != nil {
		stop()
		<-stopped
	}
}

func invariant(w *world, _ []string) error {
	audit, calls := w.d.Audit.Report(), w.calls.Report()
	faults := append(audit.Violations, calls.Violations...)
	faults = append(faults, w.watch.faults()...)
	w.mu.Lock()
	for _, err := range w.failures {
		faults = append(faults, err.Error())
	}
	w.mu.Unlock()
	if len(faults) == 0 {
		return nil
	}
	return eris.New(fmt.Sprintf("%d violations:\n%s", len(faults), strings.Join(faults, "\n")))
}
