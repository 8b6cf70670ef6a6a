package hoster

import (
	"fmt"
	"net/http"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Fleet is a set of workers that share an auditor, with an HTTP interface that
// injects faults into them.
type Fleet struct {
	Address string        // ip:port of the HTTP interface
	Done    chan struct{} // closed once Close has ended the interface and all workers
	Audit   *auditor.Auditor
	Workers map[string]*Worker // workers by name

	server *listener.Listener
}

// faultRequest injects a fault into a worker, or ends one.
type faultRequest struct {
	Worker string `json:"worker"` // name of the worker
	Action string `json:"action"` // one of the actions that Fleet.apply knows
	Count  int    `json:"count"`  // number of responses that cut truncates or lose drops
}

// executionsMessage is the request and the response of a query for how often a
// request was executed.
type executionsMessage struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
}

// NewFleet starts a worker for each of the options and serves the HTTP interface on
// address.
func NewFleet(address string, workers []Options) (*Fleet, error) {
	f := &Fleet{Audit: auditor.New(), Workers: make(map[string]*Worker), Done: make(chan struct{})}
	for _, o := range workers {
		w, err := New(o, f.Audit)
		if err != nil {
			f.closeWorkers()
			return nil, err
		}
		f.Workers[w.Host.Name] = w
	}
	server, err := listener.New(address, f.routes())
	if err != nil {
		f.closeWorkers()
		return nil, err
	}
	f.server, f.Address = server, server.Address
	return f, nil
}

// Close ends the HTTP interface and all workers.
func (f *Fleet) Close() error {
	err := f.server.Close()
	f.closeWorkers()
	close(f.Done)
	return err
}

// closeWorkers closes all workers.
func (f *Fleet) closeWorkers() {
	for _, w := range f.Workers {
		_ = w.Close()
	}
}

// Hosts returns the entries of the workers in the host list, in no particular order.
func (f *Fleet) Hosts() []describer.Host {
	var out []describer.Host
	for _, w := range f.Workers {
		out = append(out, w.Host)
	}
	return out
}

// routes returns the handler of the HTTP interface.
func (f *Fleet) routes() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /v1/hosts", listener.Handle(func(*http.Request, struct{}) ([]describer.Host, error) {
		return f.Hosts(), nil
	}))
	m.Handle("GET /v1/audit", listener.Handle(func(*http.Request, struct{}) (auditor.Report, error) {
		return f.Audit.Report(), nil
	}))
	m.Handle("POST /v1/executions", listener.Handle(func(_ *http.Request, in executionsMessage) (executionsMessage, error) {
		in.Count = f.Audit.Executions(in.ID)
		return in, nil
	}))
	m.Handle("POST /v1/switch", listener.Handle(func(_ *http.Request, in faultRequest) (struct{}, error) {
		return struct{}{}, f.apply(in)
	}))
	return m
}

// apply carries out the action on the worker that the request names.
func (f *Fleet) apply(r faultRequest) error {
	w := f.Workers[r.Worker]
	if w == nil {
		return listener.NewRefusal(http.StatusNotFound, "unknown", "no worker "+r.Worker)
	}
	switch r.Action {
	case "kill":
		w.Kill()
	case "restart":
		return w.Restart()
	case "pause":
		w.Pause()
	case "resume":
		w.Resume()
	case "silence":
		w.SilenceConnections()
	case "leave":
		w.MarkLeaving()
	case "fail":
		w.SetFailing(true)
	case "recover":
		w.SetFailing(false)
	case "cut":
		w.TruncateResponses(r.Count)
	case "lose":
		w.DropResponses(r.Count)
	default:
		return listener.NewRefusal(http.StatusBadRequest, "malformed", "no action "+r.Action)
	}
	return nil
}

// TypicalWorkers returns the options of n workers in a failure domain, 8 to a rack.
func TypicalWorkers(region, domain, service string, n int) []Options {
	out := make([]Options, n)
	for i := range out {
		out[i] = Options{
			Host: describer.Host{
				Name:   workerName(domain, i),
				Role:   describer.Worker,
				Region: region, Domain: domain, Rack: rackName(domain, i),
				State:    describer.Live,
				Capacity: describer.Resources{CPU: 64000, Memory: 250 << 10},
				Slots:    8, Connections: 64,
				Services: []string{service},
			},
			ServiceTime:  10 * time.Millisecond,
			ReportDelay:  2 * time.Second,
			Interference: map[string]float64{"render": 1, "translate": 0.3},
		}
	}
	return out
}

// workerName returns the name of the domain's worker with index i.
func workerName(domain string, i int) string { return fmt.Sprintf("%s-w%d", domain, i+1) }

// rackName returns the name of the rack of the domain's worker with index i.
func rackName(domain string, i int) string { return fmt.Sprintf("%s-r%d", domain, i/8+1) }
