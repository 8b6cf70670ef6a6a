// Package demonstrator runs a whole deployment in one process and counts what
// its callers and the stand-ins see.
//
// # Model
//
// A deployment has three failure domains in two regions, each with entry
// hosts, workers and a balancer. All traffic goes over loopback TCP; what
// crosses a failure domain goes through a link with a delay. [Run] puts load
// on it, drains workers, stops one entry host as planned, lets the chosen
// fault happen, and reports:
//
//	report, err := demonstrator.Run(ctx, demonstrator.Options{Seed: 1, Seconds: 20}, os.Stdout, os.Stderr)
//	if err == nil && !report.OK() {
//		// an invariant was violated
//	}
//
// No figure of a [Report] comes from a daemon.
package demonstrator

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/operator/server"
	"dotterelcart.dev/dotterelcart/internal/standin/caller"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

// Faults that Options.Fault may name.
const (
	FaultNone      = "none"
	FaultKill      = "kill"
	FaultOutage    = "outage"
	FaultPartition = "partition"
	FaultSilence   = "silence"
	FaultPause     = "pause"
	FaultAll       = "all"
)

const (
	startLimit  = 7 * time.Second  // for all daemons to become ready
	settleLimit = 19 * time.Second // for the start, and for jobs and the restore after the load
	minSeconds  = 5
	entryHosts  = 2  // in each failure domain
	workers     = 6  // in each failure domain
	requestRate = 60 // a second in each failure domain
)

// Options of a run.
type Options struct {
	Seed     uint64
	Seconds  int    // of load
	Fault    string // one of the constants
	Terminal bool   // redraw progress on one line
	Log      zerolog.Logger
}

// Report is the outcome. Times are in milliseconds.
type Report struct {
	Seed       uint64         `json:"seed"`
	Fault      string         `json:"fault"`
	Seconds    int            `json:"seconds"`
	Requests   int64          `json:"requests"`
	Failed     int64          `json:"failed"`     // requests without an answer of their own, refusals included
	Wrong      int64          `json:"wrong"`      // answers that were not the request's own
	Cut        int64          `json:"cut"`        // in flight at an entry host when its planned stop cut them
	Duplicated int64          `json:"duplicated"` // tasks or non-idempotent requests that ran again
	Untrue     int64          `json:"untrue"`     // requests said not to have run that had
	Jobs       int            `json:"jobs"`       // accepted
	Done       int            `json:"done"`
	Lost       int            `json:"lost"` // accepted, and not done
	Overfilled int            `json:"overfilled"`
	Late       int            `json:"late"`    // requests to a worker long after it began to leave
	Evicted    int            `json:"evicted"` // runs that ended before their task had
	Restored   bool           `json:"restored"`
	P50        float64        `json:"p50"`
	P99        float64        `json:"p99"`
	Failures   map[string]int `json:"failures,omitempty"`   // failed attempts by code and verdict
	Violations []string       `json:"violations,omitempty"` // the first in words
}

// OK reports whether all invariants held.
func (r Report) OK() bool {
	return r.Wrong == 0 && r.Cut == 0 && r.Duplicated == 0 && r.Untrue == 0 &&
		r.Lost == 0 && r.Overfilled == 0 && r.Late == 0 && r.Restored
}

// Run runs the deployment. Progress goes to stderr.
func Run(ctx context.Context, o Options, _, stderr io.Writer) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	ends := time.Now().Add(time.Duration(o.Seconds)*time.Second + settleLimit)
	d, err := deployer.New(ctx, deployer.Options{EntryHosts: entryHosts, Workers: workers, Launch: o.launch})
	if err != nil {
		return Report{}, err
	}
	defer d.Close()
	ready, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := d.Configure(ready); err != nil {
		return Report{}, err
	}
	return play(ctx, o, d, ends, stderr)
}

// check completes the options.
func (o *Options) check() error {
	switch o.Fault {
	case "":
		o.Fault = FaultNone
	case FaultNone, FaultKill, FaultOutage, FaultPartition, FaultSilence, FaultPause, FaultAll:
	default:
		return eris.Errorf("demonstrator: no fault %q; use none, kill, outage, partition, silence, pause or all", o.Fault)
	}
	if o.Seconds < minSeconds {
		return eris.Errorf("demonstrator: %d seconds are too short, use at least %d", o.Seconds, minSeconds)
	}
	return nil
}

// play puts the load on and lets everything happen until ends at the latest.
func play(ctx context.Context, o Options, d *deployer.Deployment, ends time.Time, stderr io.Writer) (Report, error) {
	length := time.Duration(o.Seconds) * time.Second
	loaded, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	settled, stop := context.WithDeadline(ctx, ends)
	defer stop()

	calls := caller.New(d, rand.New(rand.NewPCG(o.Seed, 1)), requestRate)
	jobs := newWave(d, o, rand.New(rand.NewPCG(o.Seed, 2)))
	drained := newDrain(d, o)
	view := newScreen(stderr, o.Terminal, calls, jobs, drained)
	var parts, drawing sync.WaitGroup
	drawing.Go(func() { view.draw(settled) })
	// A killed owner's successor can begin the restore after the load's length;
	// the workers can only show that they are back while there are requests.
	parts.Go(func() { calls.Run(untilBoth(settled, loaded, drained.busy)) })
	parts.Go(func() { jobs.run(loaded, settled) })
	parts.Go(func() { drained.run(settled) })
	for _, e := range script(o, d, view) {
		parts.Go(func() { e.run(settled, length) })
	}
	parts.Wait()
	stop()
	drawing.Wait()
	if err := ctx.Err(); err != nil {
		return Report{}, eris.Wrap(err, "demonstrator: interrupted")
	}
	return report(o, d, calls, jobs, drained), nil
}

// untilBoth is done once the other context and the channel are, and with ctx at the latest.
func untilBoth(ctx, other context.Context, busy <-chan struct{}) context.Context {
	both, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		<-other.Done()
		select {
		case <-busy:
		case <-ctx.Done():
		}
	}()
	return both
}

func report(o Options, d *deployer.Deployment, calls *caller.Generator, jobs *wave, drained *drain) Report {
	audit := d.Audit.Report()
	out := Report{
		Seed: o.Seed, Fault: o.Fault, Seconds: o.Seconds,
		Duplicated: int64(audit.Duplicated + audit.RepeatedRequests),
		Overfilled: audit.CapacityExceeded,
		Late:       audit.LateRequests,
		Evicted:    audit.Stopped + audit.LeaseExpired,
		Restored:   drained.restored(),
		Violations: audit.Violations,
	}
	seen := calls.Report()
	out.Requests, out.Failed, out.Wrong = seen.Requests, seen.Failed, seen.Mismatched
	out.Cut, out.Untrue = seen.CutByStop, seen.FalseDenials
	out.Failures = seen.FailuresByCode
	out.P50, out.P99 = seen.P50, seen.P99
	out.Violations = append(out.Violations, seen.Violations...)
	jobs.fill(&out)
	if why := drained.missing(); why != "" {
		out.Violations = append(out.Violations, why)
	}
	return out
}

// daemon runs in this process.
type daemon struct{ *server.Server }

func (d daemon) Kill() { d.Close() }

func (d daemon) Stop(ctx context.Context) { d.Shutdown(ctx) }

func (o Options) launch(ctx context.Context, s parser.Settings) (deployer.Daemon, error) {
	started, err := server.New(ctx, s, o.Log)
	return daemon{started}, err
}
