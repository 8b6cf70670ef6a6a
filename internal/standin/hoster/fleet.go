package hoster

import (
	"fmt"
	"net/http"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Fleet is a set of workers with one auditor and one port for its switches.
type Fleet struct {
	Address string        // ip:port of the switches
	Done    chan struct{} // closed when it has ended
	Audit   *auditor.Auditor
	Workers map[string]*Worker // by name

	server *listener.Listener
}

// change is one use of a switch.
type change struct {
	Worker string `json:"worker"` // name
	Action string `json:"action"` // see apply
	Count  int    `json:"count"`  // for cut and lose
}

type executions struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
}

// NewFleet starts the workers and serves their switches on address.
func NewFleet(address string, workers []Options) (*Fleet, error) {
	f := &Fleet{Audit: auditor.New(), Workers: make(map[string]*Worker), Done: make(chan struct{})}
	for _, o := range workers {
		w, err := New(o, f.Audit)
		if err != nil {
			f.stop()
			return nil, err
		}
		f.Workers[w.Host.Name] = w
	}
	server, err := listener.New(address, f.routes())
	if err != nil {
		f.stop()
		return nil, err
	}
	f.server, f.Address = server, server.Address
	return f, nil
}

// Close ends all workers.
func (f *Fleet) Close() error {
	err := f.server.Close()
	f.stop()
	close(f.Done)
	return err
}

func (f *Fleet) stop() {
	for _, w := range f.Workers {
		_ = w.Close()
	}
}

// Hosts returns the workers' lines for the host list.
func (f *Fleet) Hosts() []describer.Host {
	var out []describer.Host
	for _, w := range f.Workers {
		out = append(out, w.Host)
	}
	return out
}

func (f *Fleet) routes() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /v1/hosts", listener.Handle(func(*http.Request, struct{}) ([]describer.Host, error) {
		return f.Hosts(), nil
	}))
	m.Handle("GET /v1/audit", listener.Handle(func(*http.Request, struct{}) (auditor.Report, error) {
		return f.Audit.Report(), nil
	}))
	m.Handle("POST /v1/executions", listener.Handle(func(_ *http.Request, in executions) (executions, error) {
		in.Count = f.Audit.Executions(in.ID)
		return in, nil
	}))
	m.Handle("POST /v1/switch", listener.Handle(func(_ *http.Request, in change) (struct{}, error) {
		return struct{}{}, f.apply(in)
	}))
	return m
}

// apply uses a switch of one worker.
func (f *Fleet) apply(c change) error {
	w := f.Workers[c.Worker]
	if w == nil {
		return listener.NewRefusal(http.StatusNotFound, "unknown", "no worker "+c.Worker)
	}
	switch c.Action {
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
		w.TruncateResponses(c.Count)
	case "lose":
		w.DropResponses(c.Count)
	default:
		return listener.NewRefusal(http.StatusBadRequest, "malformed", "no action "+c.Action)
	}
	return nil
}

// TypicalWorkers returns the options of n workers of a domain, 8 to a rack.
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

func workerName(domain string, i int) string { return fmt.Sprintf("%s-w%d", domain, i+1) }

func rackName(domain string, i int) string { return fmt.Sprintf("%s-r%d", domain, i/8+1) }
