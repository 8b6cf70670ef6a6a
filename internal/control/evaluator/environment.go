package evaluator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

const (
	reportInterval     = 10 * time.Second
	checkpointInterval = 2 * time.Minute // time between the checkpoints that a task saves by itself
	failureChance      = 0.00005         // probability that a task fails in one tick
)

// host is a simulated worker.
type host struct {
	account    *accountant.Worker
	runs       map[describer.TaskID]*run
	loadOffset float64         // relative difference from the mean load, which changes slowly
	load       float64         // share of request slots in use
	loadRandom *rand.Rand      // source for load and reports, drawn from equally often under every policy
	taskRandom *rand.Rand      // source for the tasks
	dead       bool            // whether it is unresponsive and fails its tasks
	failing    bool            // whether it fails its tasks
	delayed    []delayedReport // reports that have not arrived yet
}

// delayedReport is a report that reaches the controller at the time arrives.
type delayedReport struct {
	arrives time.Time
	latency runner.LatencyReport
}

// environment is the simulated reality, of which the policies see only what the
// workers report.
type environment struct {
	deployment Deployment
	truth      groundTruth
	hosts      []*host
	faults     faults
	drift      *rand.Rand // source for changes of the ground truth
	now        time.Time

	latencies    *hdrhistogram.Histogram // microseconds
	intervals    int                     // report intervals of all workers
	withinTarget int                     // those whose 99th percentile was within the target
}

// faults are the hosts that fail, by index, and the times when they do.
type faults struct {
	failing   int    // host that fails all its tasks for an hour
	dying     [2]int // hosts that are dead for 20 minutes each
	failingAt time.Duration
	dyingAt   [2]time.Duration
}

// newEnvironment returns the environment of a deployment and seed, with its
// tasks in order of arrival.
func newEnvironment(d Deployment, seed uint64) (*environment, []*run) {
	r := rand.New(rand.NewPCG(seed, 1))
	e := &environment{deployment: d, truth: newGroundTruth(d, r), now: startTime, drift: rand.New(rand.NewPCG(seed, 2))}
	e.latencies = hdrhistogram.New(1, 60_000_000, 3)
	for i := range d.Workers {
		e.hosts = append(e.hosts, newHost(d, i, seed))
	}
	e.faults.failing = r.IntN(d.Workers)
	e.faults.failingAt = time.Duration(r.Float64() * float64(4*time.Hour))
	for i := range e.faults.dying {
		e.faults.dying[i] = r.IntN(d.Workers)
		e.faults.dyingAt[i] = time.Duration(r.Float64() * float64(5*time.Hour))
	}
	return e, newWorkload(d, &e.truth, r)
}

// newHost returns worker number i of a deployment.
func newHost(d Deployment, i int, seed uint64) *host {
	name := string([]byte{'w', byte('0' + i/10), byte('0' + i%10)})
	account := &accountant.Worker{
		Host: describer.Host{
			Name: name, Role: describer.Worker, Capacity: d.WorkerSize, Slots: 8, Connections: 64,
			Rack: string([]byte{'r', byte('0' + i/d.RackSize)}),
		},
		Reports:       make(map[string]runner.LatencyReport),
		LastInventory: startTime,
	}
	if i%batchOnlyEvery != 0 {
		account.Host.Services = []string{d.Service}
		account.Reserved.CPU = int64(reservedShare * float64(d.WorkerSize.CPU))
	}
	return &host{
		account:    account,
		runs:       make(map[describer.TaskID]*run),
		loadRandom: rand.New(rand.NewPCG(seed, 1000+uint64(i))),
		taskRandom: rand.New(rand.NewPCG(seed, 2000+uint64(i))),
	}
}

// advance simulates one tick and returns the runs that finished and failed in it.
func (e *environment) advance() (finished, failed []*run) {
	e.now = e.now.Add(tick)
	at := e.now.Sub(startTime)
	e.injectFaults(at)
	e.distributeLoad(at)
	if at%time.Hour == 0 {
		e.truth.drift(e.drift)
	}
	for _, h := range e.hosts {
		done, lost := e.runTasks(h)
		finished, failed = append(finished, done...), append(failed, lost...)
		if at%reportInterval == 0 && len(h.account.Host.Services) > 0 {
			e.report(h)
		}
	}
	return finished, failed
}

// injectFaults sets which hosts are failing or dead at a time.
func (e *environment) injectFaults(at time.Duration) {
	for i, h := range e.hosts {
		from := e.faults.failingAt
		h.failing = i == e.faults.failing && at >= from && at < from+time.Hour
		h.dead = false
		for k, dying := range e.faults.dying {
			from := e.faults.dyingAt[k]
			h.dead = h.dead || i == dying && at >= from && at < from+20*time.Minute
		}
	}
}

// distributeLoad divides the service's load among the workers that take requests.
func (e *environment) distributeLoad(at time.Duration) {
	serving, open := 0, 0
	for _, h := range e.hosts {
		if len(h.account.Host.Services) == 0 {
			continue
		}
		serving++
		if !h.account.Closed && !h.dead {
			open++
		}
	}
	mean := demand(at) * float64(serving) / float64(max(open, 1))
	for _, h := range e.hosts {
		h.loadOffset = 0.995*h.loadOffset + 0.006*h.loadRandom.NormFloat64()
		burst := 0.03 * h.loadRandom.NormFloat64()
		h.load = 0
		if len(h.account.Host.Services) > 0 && !h.account.Closed && !h.dead {
			h.load = min(max(mean*(1+h.loadOffset)+burst, 0.02), 0.95)
		}
	}
}

// runTasks simulates a worker's tasks for one tick.
func (e *environment) runTasks(h *host) (finished, failed []*run) {
	for _, task := range h.account.Tasks() {
		r := h.runs[task]
		chance := h.taskRandom.Float64()
		switch {
		case r == nil:
			continue
		case h.dead || h.failing || chance < failureChance:
			failed = append(failed, r)
			continue
		}
		g := h.account.Grants[task]
		c := e.truth.classes[r.class]
		speed := min(1, float64(g.Resources.CPU)/1000/c.cores) * min(1, float64(g.Resources.Memory)/c.memory)
		r.remaining -= speed * tick.Seconds()
		if e.now.Sub(g.Since)%checkpointInterval < tick {
			r.checkpointed = r.remaining
		}
		g.Used = describer.Resources{
			CPU:    min(g.Resources.CPU, int64(1000*c.cores*(0.9+0.2*h.taskRandom.Float64()))),
			Memory: min(g.Resources.Memory, int64(c.memory*(0.9+0.1*h.taskRandom.Float64()))),
		}
		g.Progress = 1 - max(r.remaining, 0)/r.total
		h.account.Grants[task] = g
		if r.remaining <= 0 {
			finished = append(finished, r)
		}
	}
	return finished, failed
}

// shares returns the share of a worker's processors that each class really uses.
func (e *environment) shares(h *host) []float64 {
	out := make([]float64, len(e.truth.classes))
	for _, task := range h.account.Tasks() {
		if r := h.runs[task]; r != nil {
			used := min(float64(h.account.Grants[task].Resources.CPU)/1000, e.truth.classes[r.class].cores)
			out[r.class] += used * 1000 / float64(e.deployment.WorkerSize.CPU)
		}
	}
	return out
}

// quantiles is the distribution of the request latencies in one interval:
// quantiles of a log-normal distribution as ratios to its 99th percentile, with
// their weights.
var quantiles = []struct{ ratio, weight float64 }{
	{0.30, 0.5}, {0.46, 0.3}, {0.62, 0.1}, {0.75, 0.05}, {0.88, 0.03}, {1.0, 0.012}, {1.3, 0.006}, {1.6, 0.002},
}

// report records the true latencies of one interval, and queues the noisy report
// of it, which arrives later or is lost.
func (e *environment) report(h *host) {
	noise, delay, lost := h.loadRandom.NormFloat64(), h.loadRandom.Float64(), h.loadRandom.Float64()
	if h.load == 0 {
		return
	}
	p99 := e.truth.latency(e.deployment, e.shares(h), h.load)
	count := e.deployment.Rate * h.load * reportInterval.Seconds()
	for _, q := range quantiles {
		microseconds := int64(p99 * q.ratio * 1e6)
		if e.latencies.RecordValues(microseconds, int64(math.Round(count*q.weight*10))) != nil {
			continue // above the histogram's maximum of a minute, which the model does not reach
		}
	}
	e.intervals++
	if p99 <= e.deployment.Target.Seconds() {
		e.withinTarget++
	}
	if lost < 0.05 {
		return
	}
	h.delayed = append(h.delayed, delayedReport{
		arrives: e.now.Add(20*time.Second + time.Duration(delay*20*float64(time.Second))),
		latency: runner.LatencyReport{
			Service: e.deployment.Service, From: e.now.Add(-reportInterval), To: e.now, Load: h.load,
			P99: time.Duration(p99 * math.Exp(0.2*noise) * float64(time.Second)), Count: int64(count),
		},
	})
}

// takeReports returns the reports that have arrived since the last call.
func (e *environment) takeReports(h *host) []runner.LatencyReport {
	var out []runner.LatencyReport
	rest := h.delayed[:0]
	for _, d := range h.delayed {
		if d.arrives.After(e.now) {
			rest = append(rest, d)
			continue
		}
		out = append(out, d.latency)
	}
	h.delayed = rest
	return out
}
