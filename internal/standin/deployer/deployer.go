// Package deployer builds a whole deployment on loopback: the platform's
// stand-ins, failure domains with workers and a balancer, links with delays
// between them, and the settings of the entry daemons.
//
// # Model
//
// Three failure domains stand in two regions; store and host list are in the
// first domain. Each domain has a view of the others in which every address
// leads through a link. How a daemon is run, in this process or in one of its
// own, is up to Options.Launch:
//
//	d, err := deployer.New(ctx, deployer.Options{Launch: launch})
//	defer d.Close()
//	err = d.Configure(ctx)
//	d.Region.Cut(delayer.Blackhole)
package deployer

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/balancer"
	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
	"dotterelcart.dev/dotterelcart/internal/standin/keeper"
	"dotterelcart.dev/dotterelcart/internal/standin/registrar"
)

// Service is the name of the one service.
const Service = "menu-desk"

// RackSize is the number of workers in a rack; each rack is a shard.
const RackSize = 3

const (
	loopback      = "127.0.0.1:0"
	hostsLag      = time.Second
	usageLag      = time.Second
	serviceTime   = 8 * time.Millisecond
	checkInterval = 200 * time.Millisecond

	domainDelay = time.Millisecond
	regionDelay = 30 * time.Millisecond
	regionRate  = 30e6 / 8 // bytes a second
)

// defaultTarget bounds the service's latency.
const defaultTarget = 60 * time.Millisecond

// Options of a deployment.
type Options struct {
	EntryHosts    int           // in each failure domain
	Workers       int           // in each failure domain
	LatencyTarget time.Duration // of the service's latency, 0 is defaultTarget
	Launch        func(context.Context, parser.Settings) (Daemon, error)
}

// Daemon is a running entry daemon.
type Daemon interface {
	Kill()                    // at once
	Stop(ctx context.Context) // as planned
}

// Deployment is everything that runs.
type Deployment struct {
	Domains     []*Domain
	Audit       *auditor.Auditor
	Store       *keeper.Keeper
	HostList    *registrar.Registrar
	InterRegion *delayer.Link // between the regions
	IntraRegion *delayer.Link // between the failure domains of one region

	options Options
	relays  []*delayer.Relay
	client  *http.Client // of operators
}

// Domain is one failure domain.
type Domain struct {
	Name     string
	Region   string
	Workers  []*hoster.Worker
	Entries  []*Entry
	Balancer *balancer.Balancer
}

// New starts a deployment.
func New(ctx context.Context, o Options) (*Deployment, error) {
	if o.LatencyTarget == 0 {
		o.LatencyTarget = defaultTarget
	}
	d := &Deployment{
		options: o,
		Domains: []*Domain{
			{Name: "seq-bne", Region: "seq"},
			{Name: "seq-gc", Region: "seq"},
			{Name: "fnq-cns", Region: "fnq"},
		},
		Audit:       auditor.New(),
		InterRegion: delayer.NewLink(regionDelay, regionRate),
		IntraRegion: delayer.NewLink(domainDelay, 0),
		client:      &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}},
	}
	steps := []func(context.Context) error{d.startPlatform, d.startWorkers, d.startEntries, d.startBalancers}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			d.Close()
			return nil, eris.Wrap(err, "deployer: start")
		}
	}
	return d, nil
}

// Close ends everything that was started.
func (d *Deployment) Close() {
	for _, m := range d.Domains {
		m.close()
	}
	for _, r := range d.relays {
		_ = r.Close()
	}
	if d.HostList != nil {
		_ = d.HostList.Close()
	}
	if d.Store != nil {
		_ = d.Store.Close()
	}
}

func (m *Domain) close() {
	if m.Balancer != nil {
		_ = m.Balancer.Close()
	}
	for _, e := range m.Entries {
		e.Kill()
	}
	for _, w := range m.Workers {
		_ = w.Close()
	}
}

// Worker returns the worker of that name, or nil.
func (d *Deployment) Worker(name string) *hoster.Worker {
	for _, m := range d.Domains {
		for _, w := range m.Workers {
			if w.Host.Name == name {
				return w
			}
		}
	}
	return nil
}

// Entry returns the entry host of that name, or nil.
func (d *Deployment) Entry(name string) *Entry {
	for _, m := range d.Domains {
		for _, e := range m.Entries {
			if e.Settings.Name == name {
				return e
			}
		}
	}
	return nil
}

// Domain returns the failure domain of that name, or nil.
func (d *Deployment) Domain(name string) *Domain {
	for _, m := range d.Domains {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// IsStoppingAt reports whether the entry host whose callers reach it at
// address is in a planned stop, or has ended with one.
func (d *Deployment) IsStoppingAt(address string) bool {
	for _, m := range d.Domains {
		for _, e := range m.Entries {
			if e.Settings.Listen.Callers == address {
				return e.IsStopping()
			}
		}
	}
	return false
}
