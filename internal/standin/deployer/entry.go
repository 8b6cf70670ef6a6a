package deployer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
)

// Entry is one entry host; its daemon can end and be replaced.
type Entry struct {
	Settings parser.Settings

	launch func(context.Context, parser.Settings) (Daemon, error)

	mu       sync.Mutex
	daemon   Daemon // nil while none runs
	stopping bool   // a planned stop is going on, or was the latest end
}

func newEntry(m *Domain, i int, launch func(context.Context, parser.Settings) (Daemon, error)) (*Entry, error) {
	s := parser.Defaults()
	s.Name = fmt.Sprintf("%s-e%d", m.Name, i+1)
	s.Domain, s.Region = m.Name, m.Region
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

func (e *Entry) host() describer.Host {
	return describer.Host{
		Name: e.Settings.Name, Role: describer.Entry, State: describer.Live,
		Region: e.Settings.Region, Domain: e.Settings.Domain,
		Address: e.Settings.Listen.Callers, Control: e.Settings.Listen.Peers,
	}
}

// freeAddress returns an address that nobody listens on, on a loopback address
// that nobody else uses: a port of 127.0.0.1 that was free could be taken by an
// outgoing connection before its daemon listens on it.
func freeAddress() (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(255), 1+rand.N(254))
	l, err := net.Listen("tcp", host)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Start launches the daemon.
func (e *Entry) Start(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.daemon != nil {
		return eris.New("deployer: " + e.Settings.Name + " runs already")
	}
	daemon, err := e.launch(ctx, e.Settings)
	if err != nil {
		return err
	}
	e.daemon, e.stopping = daemon, false
	return nil
}

// Kill ends the daemon at once.
func (e *Entry) Kill() {
	if daemon := e.take(false); daemon != nil {
		daemon.Kill()
	}
}

// Stop ends the daemon as planned, in the time that its settings allow.
func (e *Entry) Stop(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, time.Duration(e.Settings.Traffic.DrainTimeout))
	defer cancel()
	if daemon := e.take(true); daemon != nil {
		daemon.Stop(limited)
	}
}

// take leaves the entry host without its daemon, which is returned.
func (e *Entry) take(stopping bool) Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	daemon := e.daemon
	e.daemon, e.stopping = nil, stopping
	return daemon
}

// Daemon returns the running daemon, or nil.
func (e *Entry) Daemon() Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.daemon
}

// IsStopping reports whether a planned stop is going on or was the latest end.
func (e *Entry) IsStopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}
