// Package demonstrator runs a whole deployment in one process, with load and
// faults, and reports what its callers and the stand-ins for the platform see.
//
// # Model
//
// A deployment has three failure domains in two regions, each with entry
// hosts, workers and a balancer. All traffic goes over loopback TCP; traffic
// between failure domains goes through links with a delay. [Run] starts callers
// and batch jobs, drains workers, performs a planned shutdown of one entry host,
// injects the chosen fault, and reports:
//
//	report, err := demonstrator.Run(ctx, demonstrator.Options{Seed: 1, Seconds: 20}, os.Stdout, os.Stderr)
//	if err == nil && !report.OK() {
//		// an invariant was violated
//	}
//
// The callers and the stand-ins count the figures of a [Report]; none comes from a
// daemon.
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

// Values of Options.Fault.
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
	startTimeout = 7 * time.Second  // limit for all daemons to become ready
	extraTime    = 19 * time.Second // added to the load's duration for the start, the last jobs and the restore
	minSeconds   = 5                // shortest load
	entryHosts   = 2                // per failure domain
	workers      = 6                // per failure domain
	requestRate  = 60               // requests per second in each failure domain
)

// Options are the parameters of a run.
type Options struct {
	Seed     uint64         // seed of the requests and jobs
	Seconds  int            // duration of the load
	Fault    string         // one of the Fault constants; empty: FaultNone
	Terminal bool           // whether progress is redrawn on one line
	Log      zerolog.Logger // logger of the daemons
}

// Report is the outcome of a run. Requests are those of callers, their latencies
// are in milliseconds.
type Report struct {
	Seed           uint64         `json:"seed"`
	Fault          string         `json:"fault"`
	Seconds        int            `json:"seconds"`
	Requests       int64          `json:"requests"`
	FailedRequests int64          `json:"failed"`               // requests without the right response, including refused ones
	WrongResponses int64          `json:"wrong"`                // responses that belong to another request
	CutRequests    int64          `json:"cut"`                  // requests in flight that a planned shutdown aborted
	Duplicated     int64          `json:"duplicated"`           // tasks and non-idempotent requests that ran more than once
	FalseNotRun    int64          `json:"untrue"`               // requests that ran although the response said that they hadn't
	Jobs           int            `json:"jobs"`                 // accepted batch jobs
	DoneJobs       int            `json:"done"`                 // accepted jobs whose tasks are all complete
	LostJobs       int            `json:"lost"`                 // jobs that were accepted but aren't done
	Overcommitted  int            `json:"overfilled"`           // grants of resources that exceeded a worker's capacity
	LateRequests   int            `json:"late"`                 // requests sent to a worker long after it began to leave
	Evicted        int            `json:"evicted"`              // runs that ended before their task was complete
	Restored       bool           `json:"restored"`             // whether the drained workers got their work back
	P50            float64        `json:"p50"`                  // median latency
	P99            float64        `json:"p99"`                  // 99th percentile of the latency
	Failures       map[string]int `json:"failures,omitempty"`   // number of failed attempts by code and verdict
	Violations     []string       `json:"violations,omitempty"` // descriptions of the first violations
}

// OK reports whether all invariants held.
func (r Report) OK() bool {
	return r.WrongResponses == 0 && r.CutRequests == 0 && r.Duplicated == 0 && r.FalseNotRun == 0 &&
		r.LostJobs == 0 && r.Overcommitted == 0 && r.LateRequests == 0 && r.Restored
}

// Run runs a deployment to its end and reports the outcome. Progress goes to
// stderr. The error is about a run that couldn't be carried out; violations of
// invariants are in the report.
func Run(ctx context.Context, o Options, _, stderr io.Writer) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	deadline := time.Now().Add(time.Duration(o.Seconds)*time.Second + extraTime)
	d, err := deployer.New(ctx, deployer.Options{EntryHosts: entryHosts, Workers: workers, Launch: o.launch})
	if err != nil {
		return Report{}, err
	}
	defer d.Close()
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.Configure(ready); err != nil {
		return Report{}, err
	}
	return runLoad(ctx, o, d, deadline, stderr)
}

// check validates the options and sets the default fault.
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

// runLoad runs the callers, the jobs, the drain and the events, and reports the
// outcome. It ends at the deadline at the latest.
func runLoad(ctx context.Context, o Options, d *deployer.Deployment, deadline time.Time, stderr io.Writer) (Report, error) {
	length := time.Duration(o.Seconds) * time.Second
	loadCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	runCtx, stop := context.WithDeadline(ctx, deadline)
	defer stop()

	calls := caller.New(d, rand.New(rand.NewPCG(o.Seed, 1)), requestRate)
	jobs := newBatchLoad(d, o, rand.New(rand.NewPCG(o.Seed, 2)))
	drain := newDrainRun(d, o)
	progress := newScreen(stderr, o.Terminal, calls, jobs, drain)
	var parts, drawing sync.WaitGroup
	drawing.Go(func() { progress.draw(runCtx) })
	// If the owner of a shard is killed, its successor may begin the restore only
	// after the load's duration. The restored workers are only seen to serve again
	// while there are requests, so the callers go on until then.
	parts.Go(func() { calls.Run(untilBoth(runCtx, loadCtx, drain.served)) })
	parts.Go(func() { jobs.run(loadCtx, runCtx) })
	parts.Go(func() { drain.run(runCtx) })
	for _, e := range events(o, d, progress) {
		parts.Go(func() { e.run(runCtx, length) })
	}
	parts.Wait()
	stop()
	drawing.Wait()
	if err := ctx.Err(); err != nil {
		return Report{}, eris.Wrap(err, "demonstrator: interrupted")
	}
	return report(o, d, calls, jobs, drain), nil
}

// untilBoth returns a context that ends once other has ended and the channel is
// closed, and with ctx at the latest.
func untilBoth(ctx, other context.Context, closed <-chan struct{}) context.Context {
	both, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		<-other.Done()
		select {
		case <-closed:
		case <-ctx.Done():
		}
	}()
	return both
}

// report collects the counts of the stand-ins, the callers, the jobs and the drain.
func report(o Options, d *deployer.Deployment, calls *caller.Generator, jobs *batchLoad, drain *drainRun) Report {
	audit := d.Audit.Report()
	out := Report{
		Seed: o.Seed, Fault: o.Fault, Seconds: o.Seconds,
		Duplicated:    int64(audit.Duplicated + audit.RepeatedRequests),
		Overcommitted: audit.CapacityExceeded,
		LateRequests:  audit.LateRequests,
		Evicted:       audit.Stopped + audit.LeaseExpired,
		Restored:      drain.restored(),
		Violations:    audit.Violations,
	}
	seen := calls.Report()
	out.Requests, out.FailedRequests, out.WrongResponses = seen.Requests, seen.Failed, seen.Mismatched
	out.CutRequests, out.FalseNotRun = seen.CutByStop, seen.FalseDenials
	out.Failures = seen.FailuresByCode
	out.P50, out.P99 = seen.P50, seen.P99
	out.Violations = append(out.Violations, seen.Violations...)
	jobs.addTo(&out)
	if violation := drain.violation(); violation != "" {
		out.Violations = append(out.Violations, violation)
	}
	return out
}

// daemon is an entry daemon in this process; it implements deployer.Daemon.
type daemon struct{ *server.Server }

// Kill implements deployer.Daemon.
func (d daemon) Kill() { d.Close() }

// Stop implements deployer.Daemon.
func (d daemon) Stop(ctx context.Context) { d.Shutdown(ctx) }

// launch starts a daemon.
func (o Options) launch(ctx context.Context, s parser.Settings) (deployer.Daemon, error) {
	started, err := server.New(ctx, s, o.Log)
	return daemon{started}, err
}
