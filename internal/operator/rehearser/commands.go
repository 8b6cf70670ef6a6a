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

// The functions below that take a *scenario and args carry out the commands that
// the package comment describes.

const (
	defaultEntries = 2 // entry hosts per failure domain
	defaultWorkers = 3 // workers per failure domain

	// lenientTarget is a latency target that even a slow machine meets. With a
	// tighter one, no batch task would start while the machine is busy.
	lenientTarget     = 30 * time.Second
	taskCPU           = 500  // millicores per task
	defaultTaskMemory = 1024 // MiB per task
)

// client makes all requests except those of the callers.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// writeSettings writes a daemon's settings file into dir and returns its name.
func writeSettings(dir string, settings parser.Settings) (string, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, settings.Name+".hujson")
	return file, os.WriteFile(file, data, 0o600)
}

func start(s *scenario, args []string) error {
	if s.deployment != nil && len(args) == 1 {
		return s.startOne(args[0])
	}
	o := deployer.Options{EntryHosts: defaultEntries, Workers: defaultWorkers, LatencyTarget: lenientTarget, Launch: s.launch}
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
			return eris.Errorf("start: unknown option %s", name)
		}
	}
	var err error
	if s.deployment, err = deployer.New(s.ctx, o); err != nil {
		return err
	}
	s.calls = caller.New(s.deployment, random(), 1)
	s.watcher = newWatcher(s.ctx, s.deployment)
	ctx, cancel := s.withTimeout()
	defer cancel()
	if err := s.deployment.Configure(ctx); err != nil {
		return err
	}
	return expect(s, []string{"owners"})
}

// startOne starts a worker or the daemon of an entry host again.
func (s *scenario) startOne(name string) error {
	if worker := s.deployment.Worker(name); worker != nil {
		return worker.Restart()
	}
	e := s.deployment.Entry(name)
	if e == nil {
		return eris.Errorf("no entry host or worker %s", name)
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	return deployer.Retry(ctx, func() error { return e.Start(ctx) })
}

// forEach calls onEntry for every named entry host whose daemon runs, and onWorker
// for every named worker.
func forEach(s *scenario, args []string, onEntry func(*deployer.Entry), onWorker func(*hoster.Worker)) error {
	for _, name := range args {
		entry, worker := s.deployment.Entry(name), s.deployment.Worker(name)
		switch {
		case entry != nil && entry.Daemon() != nil:
			onEntry(entry)
		case worker != nil:
			onWorker(worker)
		default:
			return eris.Errorf("%s is not running", name)
		}
	}
	return nil
}

func crash(s *scenario, args []string) error {
	return forEach(s, args, (*deployer.Entry).Kill, (*hoster.Worker).Kill)
}

func pause(s *scenario, args []string) error {
	return forEach(s, args, signal(syscall.SIGSTOP), (*hoster.Worker).Pause)
}

func resume(s *scenario, args []string) error {
	return forEach(s, args, signal(syscall.SIGCONT), (*hoster.Worker).Resume)
}

// signal returns a function that sends a signal to the daemon of an entry host.
func signal(sig syscall.Signal) func(*deployer.Entry) {
	return func(e *deployer.Entry) {
		if p, ok := e.Daemon().(*process); ok {
			p.signal(sig)
		}
	}
}

func leave(s *scenario, args []string) error {
	return forEach(s, args, func(e *deployer.Entry) { e.Stop(s.ctx) }, func(worker *hoster.Worker) {
		s.deployment.HostList.SetState(worker.Host.Name, describer.Leaving)
		worker.MarkLeaving()
	})
}

func silence(s *scenario, args []string) error {
	for _, domain := range s.deployment.Domains {
		for _, worker := range domain.Workers {
			if args[0] == "all" || args[0] == worker.Host.Name {
				worker.SilenceConnections()
			}
		}
	}
	return nil
}

func spoil(s *scenario, args []string) error {
	if len(args) != 3 || s.deployment.Worker(args[0]) == nil {
		return eris.New("usage: spoil WORKER cut|lose N")
	}
	n, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	if args[1] == "cut" {
		s.deployment.Worker(args[0]).TruncateResponses(n)
	} else {
		s.deployment.Worker(args[0]).DropResponses(n)
	}
	return nil
}

// link returns the link between regions or between domains of a region.
func (s *scenario) link(name string) (*delayer.Link, error) {
	switch name {
	case "region":
		return s.deployment.InterRegion, nil
	case "local":
		return s.deployment.IntraRegion, nil
	}
	return nil, eris.Errorf("no link %q, use region or local", name)
}

func cut(s *scenario, args []string) error {
	l, err := s.link(args[0])
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

func heal(s *scenario, args []string) error {
	l, err := s.link(args[0])
	if err == nil {
		l.Heal()
	}
	return err
}

func outage(s *scenario, args []string) error {
	switch args[0] {
	case "on", "off":
		s.deployment.Store.SetOutage(args[0] == "on")
	case "slow":
		slow, err := time.ParseDuration(args[1])
		if err != nil {
			return err
		}
		s.deployment.Store.SetDelay(slow)
	case "lose":
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		s.deployment.Store.DropResponses(n, 0, 0)
	default:
		return eris.New("usage: outage on|off|slow D|lose N")
	}
	return nil
}

func submit(s *scenario, args []string) error {
	if len(args) < 4 || s.deployment.Domain(args[1]) == nil {
		return eris.New("usage: submit JOB DOMAIN TASKS WORK [MEMORY]")
	}
	memory := int64(defaultTaskMemory)
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
	return s.sendUntilDone(http.MethodPost, args[1], "/v1/jobs", job)
}

func cancel(s *scenario, args []string) error {
	if len(args) != 2 || s.deployment.Domain(args[1]) == nil {
		return eris.New("usage: cancel JOB DOMAIN")
	}
	return s.sendUntilDone(http.MethodDelete, args[1], "/v1/jobs/"+args[0], nil)
}

// sendUntilDone repeats an idempotent request through a domain's balancer until it
// succeeds.
func (s *scenario) sendUntilDone(method, domain, path string, in any) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	url := "http://" + s.deployment.Domain(domain).Balancer.Address + path
	return deployer.Retry(ctx, func() error { return deployer.CallJSON(ctx, client, method, url, in, nil) })
}

func call(s *scenario, args []string) error {
	if len(args) < 3 {
		return eris.New("usage: call PLACE OUTCOME ID [charge]")
	}
	q := caller.Request{ID: args[2], Tenant: "owners", Class: "menu", ResponseSize: 100}
	if len(args) > 3 {
		q.Charge, q.Class, q.Body = true, "charge", args[2]
	}
	address := ""
	if domain := s.deployment.Domain(args[0]); domain != nil {
		address = domain.Balancer.Address
	} else if entry := s.deployment.Entry(args[0]); entry != nil {
		address = entry.Settings.Listen.Callers
	}
	c := caller.NewClient()
	defer c.CloseIdleConnections()
	ctx, cancel := s.withTimeout()
	defer cancel()
	return deployer.Retry(ctx, func() error {
		outcome, code := s.calls.CallAt(c, address, q)
		if outcome == caller.Denied && args[1] != outcome.String() {
			return eris.Errorf("call %s was denied, want %s: %s", q.ID, args[1], code)
		}
		if outcome.String() != args[1] {
			s.addViolation("call %s was %s, want %s: %s", q.ID, outcome, args[1], code)
		}
		return nil
	})
}

// addViolation records a violation for the command invariant.
func (s *scenario) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, eris.Errorf(format, args...))
}

func load(s *scenario, args []string) error {
	if args[0] == "stop" {
		s.endLoad()
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
	s.endLoad()
	s.calls = caller.New(s.deployment, random(), rate)
	s.calls.ServiceTime = work
	ctx, stop := context.WithCancel(s.ctx)
	done := make(chan struct{})
	s.mu.Lock()
	s.stopLoad, s.loadDone = stop, done
	s.mu.Unlock()
	go func() {
		defer close(done)
		s.calls.Run(ctx)
	}()
	return nil
}

// endLoad stops the callers, if there are any, and waits for the responses to
// their requests.
func (s *scenario) endLoad() {
	s.mu.Lock()
	stop, done := s.stopLoad, s.loadDone
	s.stopLoad = nil
	s.mu.Unlock()
	if stop != nil {
		stop()
		<-done
	}
}

func invariant(s *scenario, _ []string) error {
	audit, calls := s.deployment.Audit.Report(), s.calls.Report()
	violations := append(audit.Violations, calls.Violations...)
	violations = append(violations, s.watcher.violations()...)
	s.mu.Lock()
	for _, err := range s.violations {
		violations = append(violations, err.Error())
	}
	s.mu.Unlock()
	if len(violations) == 0 {
		return nil
	}
	return eris.New(fmt.Sprintf("%d violations:\n%s", len(violations), strings.Join(violations, "\n")))
}
