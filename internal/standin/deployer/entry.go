package deployer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Entry is one entry host. Its daemon can be ended and started again with the same
// settings.
type Entry struct {
	Settings parser.Settings

	launch func(context.Context, parser.Settings) (Daemon, error)

	mu       sync.Mutex
	daemon   Daemon // nil while none runs
	stopping bool   // a planned stop is in progress, or the daemon last ended with one
}

// newEntry returns the entry host with index i in the domain, with free addresses
// and with shorter leases and timeouts than the defaults.
func newEntry(domain *Domain, i int, launch func(context.Context, parser.Settings) (Daemon, error)) (*Entry, error) {
	s := parser.Defaults()
	s.Name = fmt.Sprintf("%s-e%d", domain.Name, i+1)
	s.Domain, s.Region = domain.Name, domain.Region
	for _, address := range []*string{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	s.Platform.Timeout = parser.Duration(time.Second)
	s.Lease = parser.Lease{
		Shard:        parser.Duration(2 * time.Second),
		Task:         parser.Duration(4 * time.Second),
		ClockMargin:  parser.Duration(500 * time.Millisecond),
		SyncInterval: parser.Duration(500 * time.Millisecond),
	}
	s.Restore = parser.Restore{MinStep: parser.Duration(1200 * time.Millisecond), MaxStep: parser.Duration(2 * time.Second)}
	s.Traffic.DefaultDeadline = parser.Duration(2 * time.Second)
	s.Traffic.StallTimeout = parser.Duration(time.Second)
	s.Traffic.DrainTimeout = parser.Duration(10 * time.Second)
	return &Entry{Settings: s, launch: launch}, nil
}

// host returns the entry of the entry host in the host list.
func (e *Entry) host() describer.Host {
	return describer.Host{
		Name: e.Settings.Name, Role: describer.Entry, State: describer.Live,
		Region: e.Settings.Region, Domain: e.Settings.Domain,
		Address: e.Settings.Listen.Callers, Control: e.Settings.Listen.Peers,
	}
}

// freeAddress returns an unused ip:port on a random loopback address.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", listener.FreeLoopback())
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Start launches the daemon. It fails if one is running.
func (e *Entry) Start(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.daemon != nil {
		return eris.New("deployer: entry host " + e.Settings.Name + " is already running")
	}
	daemon, err := e.launch(ctx, e.Settings)
	if err != nil {
		return err
	}
	e.daemon, e.stopping = daemon, false
	return nil
}

// Kill ends the daemon at once, if one is running.
func (e *Entry) Kill() {
	if daemon := e.removeDaemon(false); daemon != nil {
		daemon.Kill()
	}
}

// Stop ends the daemon in a planned stop, in the time that its settings allow for
// draining.
func (e *Entry) Stop(ctx context.Context) {
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(e.Settings.Traffic.DrainTimeout))
	defer cancel()
	if daemon := e.removeDaemon(true); daemon != nil {
		daemon.Stop(drainCtx)
	}
}

// removeDaemon returns the running daemon or nil, and leaves the entry host without
// one.
func (e *Entry) removeDaemon(stopping bool) Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	daemon := e.daemon
	e.daemon, e.stopping = nil, stopping
	return daemon
}

// Daemon returns the running daemon, or nil if there is none.
func (e *Entry) Daemon() Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.daemon
}

// IsStopping reports whether the daemon is in a planned stop or last ended with one.
func (e *Entry) IsStopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}
