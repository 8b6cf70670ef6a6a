// Package deployer starts a whole deployment on loopback addresses, for tests and
// the demo: the platform's stand-ins, failure domains with workers and a load
// balancer, links with delays between them, and the entry daemons.
//
// # Model
//
// There are three failure domains in two regions. The store and the host list are
// in the first domain. Each domain has its own view of the host list, in which
// every address in another domain is that of a relay over a link. Options.Launch
// decides whether an entry daemon runs in this process or in one of its own:
//
//	d, err := deployer.New(ctx, deployer.Options{Launch: launch})
//	defer d.Close()
//	err = d.Configure(ctx)
//	d.InterRegion.Cut(delayer.Blackhole)
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

// Service is the name of the only service that the workers run.
const Service = "menu-desk"

// RackSize is the number of workers in a rack. Each rack is a shard.
const RackSize = 3

const (
	loopback      = "127.0.0.1:0"          // lets the system choose a free port
	hostListDelay = time.Second            // time until readers of the host list see a change
	reportDelay   = time.Second            // time until workers report usage and latency
	serviceTime   = 8 * time.Millisecond   // time to serve a request on an otherwise idle worker
	checkInterval = 200 * time.Millisecond // time between readiness checks by the balancers

	domainDelay = time.Millisecond      // one-way delay between failure domains of a region
	regionDelay = 30 * time.Millisecond // one-way delay between regions
	regionRate  = 30e6 / 8              // bytes per second each way between regions
)

// defaultLatencyTarget is the latency target of the service if Options sets none.
const defaultLatencyTarget = 60 * time.Millisecond

// Options describes a deployment.
type Options struct {
	EntryHosts    int           // entry hosts in each failure domain
	Workers       int           // workers in each failure domain
	LatencyTarget time.Duration // latency target of the service; 60 ms if 0

	// Launch starts an entry daemon with the settings.
	Launch func(context.Context, parser.Settings) (Daemon, error)
}

// Daemon is a running entry daemon.
type Daemon interface {
	// Kill ends the daemon at once.
	Kill()

	// Stop ends the daemon as a planned stop does, in the time that ctx leaves.
	Stop(ctx context.Context)
}

// Deployment is a running deployment.
type Deployment struct {
	Domains     []*Domain
	Audit       *auditor.Auditor
	Store       *keeper.Keeper
	HostList    *registrar.Registrar
	InterRegion *delayer.Link // link between the regions
	IntraRegion *delayer.Link // link between the failure domains of one region

	options Options
	relays  []*delayer.Relay
	client  *http.Client // client for calls to the operators' ports and for probes
}

// Domain is a failure domain with its hosts.
type Domain struct {
	Name     string
	Region   string
	Workers  []*hoster.Worker
	Entries  []*Entry
	Balancer *balancer.Balancer
}

// New starts a deployment. Its entry hosts serve only after Configure. The caller
// closes it.
func New(ctx context.Context, o Options) (*Deployment, error) {
	if o.LatencyTarget == 0 {
		o.LatencyTarget = defaultLatencyTarget
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
			return nil, eris.Wrap(err, "deployer: start deployment")
		}
	}
	return d, nil
}

// Close ends all hosts and stand-ins of the deployment.
func (d *Deployment) Close() {
	for _, domain := range d.Domains {
		domain.close()
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

func (d *Domain) close() {
	if d.Balancer != nil {
		_ = d.Balancer.Close()
	}
	for _, e := range d.Entries {
		e.Kill()
	}
	for _, w := range d.Workers {
		_ = w.Close()
	}
}

// Worker returns the worker of that name, or nil if there is none.
func (d *Deployment) Worker(name string) *hoster.Worker {
	for _, domain := range d.Domains {
		for _, w := range domain.Workers {
			if w.Host.Name == name {
				return w
			}
		}
	}
	return nil
}

// Entry returns the entry host of that name, or nil if there is none.
func (d *Deployment) Entry(name string) *Entry {
	for _, domain := range d.Domains {
		for _, e := range domain.Entries {
			if e.Settings.Name == name {
				return e
			}
		}
	}
	return nil
}

// Domain returns the failure domain of that name, or nil if there is none.
func (d *Deployment) Domain(name string) *Domain {
	for _, domain := range d.Domains {
		if domain.Name == name {
			return domain
		}
	}
	return nil
}

// IsStoppingAt reports whether the entry host that serves callers at address is in
// a planned stop or last ended with one.
func (d *Deployment) IsStoppingAt(address string) bool {
	for _, domain := range d.Domains {
		for _, e := range domain.Entries {
			if e.Settings.Listen.Callers == address {
				return e.IsStopping()
			}
		}
	}
	return false
}
