package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/operator/server"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/balancer"
	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
	"dotterelcart.dev/dotterelcart/internal/standin/keeper"
	"dotterelcart.dev/dotterelcart/internal/standin/registrar"
)

const (
	service       = "menu-desk"
	loopback      = "127.0.0.1:0"
	entryHosts    = 2 // in each failure domain
	workers       = 6
	rackSize      = 3
	hostsLag      = time.Second
	usageLag      = time.Second
	serviceTime   = 8 * time.Millisecond
	checkInterval = 200 * time.Millisecond

	domainDelay = time.Millisecond
	regionDelay = 30 * time.Millisecond
	regionRate  = 30e6 / 8 // bytes a second
)

// domain is one failure domain.
type domain struct {
	name     string
	region   string
	workers  []*hoster.Worker
	entries  []*entry
	balancer *balancer.Balancer
}

// entry is one entry host; its daemon can be replaced.
type entry struct {
	settings parser.Settings

	mu       sync.Mutex
	daemon   *server.Server // nil while none runs
	stopping bool           // a planned stop is going on, or was the latest end
}

// deployment is everything that runs.
type deployment struct {
	options Options
	domains []*domain
	audit   *auditor.Auditor
	store   *keeper.Keeper
	hosts   *registrar.Registrar
	region  *delayer.Link // between the regions
	local   *delayer.Link // between the failure domains of one region
	relays  []*delayer.Relay
	client  *http.Client // of operators
}

func newDeployment(ctx context.Context, o Options) (*deployment, error) {
	d := &deployment{
		options: o,
		domains: []*domain{
			{name: "seq-bne", region: "seq"},
			{name: "seq-gc", region: "seq"},
			{name: "fnq-cns", region: "fnq"},
		},
		audit:  auditor.New(),
		region: delayer.NewLink(regionDelay, regionRate),
		local:  delayer.NewLink(domainDelay, 0),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}},
	}
	for _, step := range []func(context.Context) error{d.startPlatform, d.startWorkers, d.startEntries, d.startBalancers} {
		if err := step(ctx); err != nil {
			d.close()
			return nil, eris.Wrap(err, "demonstrator: start")
		}
	}
	return d, nil
}

// close ends everything that was started.
func (d *deployment) close() {
	for _, m := range d.domains {
		if m.balancer != nil {
			_ = m.balancer.Close()
		}
		for _, e := range m.entries {
			e.crash()
		}
		for _, w := range m.workers {
			_ = w.Close()
		}
	}
	for _, r := range d.relays {
		_ = r.Close()
	}
	if d.hosts != nil {
		_ = d.hosts.Close()
	}
	if d.store != nil {
		_ = d.store.Close()
	}
}

func (d *deployment) startPlatform(context.Context) (err error) {
	if d.store, err = keeper.New(loopback); err != nil {
		return err
	}
	d.hosts, err = registrar.New(loopback, hostsLag)
	return err
}

func (d *deployment) startWorkers(context.Context) error {
	for _, m := range d.domains {
		for i, o := range hoster.Typical(m.region, m.name, service, workers) {
			o.Host.Rack = fmt.Sprintf("%s-r%d", m.name, i/rackSize+1)
			o.Host.Capacity = describer.Resources{CPU: 16_000, Memory: 64 << 10}
			o.Lag, o.Service = usageLag, serviceTime
			w, err := hoster.New(o, d.audit)
			if err != nil {
				return err
			}
			m.workers = append(m.workers, w)
		}
	}
	return nil
}

// startEntries chooses all addresses first, since each domain's view of the
// others has to be complete when its daemons start.
func (d *deployment) startEntries(ctx context.Context) error {
	var hosts []describer.Host
	for _, m := range d.domains {
		for i := range entryHosts {
			e, err := newEntry(m, i)
			if err != nil {
				return err
			}
			m.entries = append(m.entries, e)
			hosts = append(hosts, e.host())
		}
		for _, w := range m.workers {
			hosts = append(hosts, w.Host)
		}
	}
	d.hosts.Set(hosts)
	for _, m := range d.domains {
		relays, err := d.view(m, hosts)
		if err != nil {
			return err
		}
		d.hosts.View(m.name, relays)
		for _, e := range m.entries {
			e.settings.Peers = seeds(e, hosts, relays)
			if err := d.platform(m, e); err != nil {
				return err
			}
			if err := e.start(ctx, d.options); err != nil {
				return err
			}
		}
	}
	return nil
}

func newEntry(m *domain, i int) (*entry, error) {
	s := parser.Defaults()
	s.Name = fmt.Sprintf("%s-e%d", m.name, i+1)
	s.Domain, s.Region = m.name, m.region
	for _, address := range []*string{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	s.Platform.Timeout = parser.Duration(time.Second)
	s.Lease = parser.Lease{
		Shard:  parser.Duration(2 * time.Second),
		Task:   parser.Duration(4 * time.Second),
		Margin: parser.Duration(500 * time.Millisecond),
		Sync:   parser.Duration(500 * time.Millisecond),
	}
	s.Traffic.Deadline = parser.Duration(2 * time.Second)
	s.Traffic.Silence = parser.Duration(time.Second)
	s.Traffic.DrainLimit = parser.Duration(10 * time.Second)
	return &entry{settings: s}, nil
}

func (e *entry) host() describer.Host {
	return describer.Host{
		Name: e.settings.Name, Role: describer.Entry, State: describer.Live,
		Region: e.settings.Region, Domain: e.settings.Domain,
		Address: e.settings.Listen.Callers, Control: e.settings.Listen.Peers,
	}
}

// platform sets the addresses of store and host list, which are in seq-bne.
func (d *deployment) platform(m *domain, e *entry) error {
	store, err := d.through(m, d.domains[0].name, d.domains[0].region, d.store.Address)
	if err != nil {
		return err
	}
	hosts, err := d.through(m, d.domains[0].name, d.domains[0].region, d.hosts.Address)
	if err != nil {
		return err
	}
	e.settings.Platform.Store = "http://" + store
	e.settings.Platform.Hosts = "http://" + hosts + "/" + m.name
	return nil
}

// view makes a relay to every address outside the domain.
func (d *deployment) view(m *domain, hosts []describer.Host) (map[string]string, error) {
	relays := make(map[string]string)
	for _, h := range hosts {
		for _, address := range []string{h.Address, h.Control} {
			relay, err := d.through(m, h.Domain, h.Region, address)
			if err != nil {
				return nil, err
			}
			relays[address] = relay
		}
	}
	return relays, nil
}

// through returns the address at which the domain reaches target.
func (d *deployment) through(from *domain, name, region, target string) (string, error) {
	if from.name == name {
		return target, nil
	}
	link := d.local
	if from.region != region {
		link = d.region
	}
	if from != d.domains[0] {
		link = link.Reverse()
	}
	r, err := delayer.New(loopback, target, link)
	if err != nil {
		return "", err
	}
	d.relays = append(d.relays, r)
	return r.Address, nil
}

func seeds(e *entry, hosts []describer.Host, relays map[string]string) []string {
	var out []string
	for _, h := range hosts {
		if h.Role == describer.Entry && h.Name != e.settings.Name {
			out = append(out, relays[h.Control])
		}
	}
	return out
}

func (d *deployment) startBalancers(context.Context) error {
	for _, m := range d.domains {
		var targets []balancer.Target
		for _, e := range m.entries {
			callers := e.settings.Listen.Callers
			targets = append(targets, balancer.Target{Address: callers, Check: "http://" + callers + "/ready"})
		}
		b, err := balancer.New(loopback, targets, checkInterval)
		if err != nil {
			return err
		}
		m.balancer = b
	}
	return nil
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (e *entry) start(ctx context.Context, o Options) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	daemon, err := server.New(ctx, e.settings, o.Log)
	if err != nil {
		return err
	}
	e.daemon, e.stopping = daemon, false
	return nil
}

// crash ends the daemon at once.
func (e *entry) crash() {
	e.mu.Lock()
	daemon := e.daemon
	e.daemon, e.stopping = nil, false
	e.mu.Unlock()
	if daemon != nil {
		daemon.Close()
	}
}

// stop ends the daemon as planned.
func (e *entry) stop(ctx context.Context) {
	e.mu.Lock()
	daemon := e.daemon
	e.daemon, e.stopping = nil, true
	e.mu.Unlock()
	if daemon != nil {
		daemon.Shutdown(ctx)
	}
}

func (e *entry) isStopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}

// isStoppingAt reports whether the entry host at the address for callers is
// in a planned stop.
func (d *deployment) isStoppingAt(address string) bool {
	for _, m := range d.domains {
		for _, e := range m.entries {
			if e.settings.Listen.Callers == address {
				return e.isStopping()
			}
		}
	}
	return false
}
