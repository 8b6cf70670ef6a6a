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
	reportEvery   = 10 * time.Second
	saveEvery     = 2 * time.Minute // between a task's own checkpoints
	failureChance = 0.00005         // of a task on each tick
)

// host is a worker of the fake.
type host struct {
	account *accountant.Worker
	runs    map[describer.TaskID]*run
	sway    float64 // slow difference of its load to the others'
	load    float64
	noise   *rand.Rand // of load and reports; each interval draws as often whatever runs
	luck    *rand.Rand // of tasks
	dead    bool
	failing bool
	late    []lateReport
}

type lateReport struct {
	arrives time.Time
	latency runner.LatencyReport
}

// world is the fake: what happens whatever the policies know.
type world struct {
	deployment Deployment
	truth      truth
	hosts      []*host
	faults     faults
	drift      *rand.Rand
	now        time.Time

	latencies *hdrhistogram.Histogram // microseconds
	intervals int
	within    int
}

// faults are the hosts that fail, by index, and when.
type faults struct {
	failing   int
	dying     [2]int
	failingAt time.Duration
	dyingAt   [2]time.Duration
}

func newWorld(d Deployment, seed uint64) (*world, []*run) {
	r := rand.New(rand.NewPCG(seed, 1))
	w := &world{deployment: d, truth: newTruth(d, r), now: begin, drift: rand.New(rand.NewPCG(seed, 2))}
	w.latencies = hdrhistogram.New(1, 60_000_000, 3)
	for i := range d.Workers {
		w.hosts = append(w.hosts, newHost(d, i, seed))
	}
	w.faults.failing = r.IntN(d.Workers)
	w.faults.failingAt = time.Duration(r.Float64() * float64(4*time.Hour))
	for i := range w.faults.dying {
		w.faults.dying[i] = r.IntN(d.Workers)
		w.faults.dyingAt[i] = time.Duration(r.Float64() * float64(5*time.Hour))
	}
	return w, newWorkload(d, &w.truth, r)
}

func newHost(d Deployment, i int, seed uint64) *host {
	name := string([]byte{'w', byte('0' + i/10), byte('0' + i%10)})
	account := &accountant.Worker{
		Host: describer.Host{
			Name: name, Role: describer.Worker, Capacity: d.WorkerSize, Slots: 8, Connections: 64,
			Rack: string([]byte{'r', byte('0' + i/d.RackSize)}),
		},
		Reports:       make(map[string]runner.LatencyReport),
		LastInventory: begin,
	}
	if i%batchOnly != 0 {
		account.Host.Services = []string{d.Service}
		account.Reserved.CPU = int64(reservedShare * float64(d.WorkerSize.CPU))
	}
	return &host{
		account: account,
		runs:    make(map[describer.TaskID]*run),
		noise:   rand.New(rand.NewPCG(seed, 1000+uint64(i))),
		luck:    rand.New(rand.NewPCG(seed, 2000+uint64(i))),
	}
}

// advance lets one tick pass and returns the runs that ended, whole or not.
func (w *world) advance() (finished, failed []*run) {
	w.now = w.now.Add(tick)
	at := w.now.Sub(begin)
	w.breakDown(at)
	w.spread(at)
	if at%time.Hour == 0 {
		w.truth.drift(w.drift)
	}
	for _, h := range w.hosts {
		done, lost := w.work(h)
		finished, failed = append(finished, done...), append(failed, lost...)
		if at%reportEvery == 0 && len(h.account.Host.Services) > 0 {
			w.report(h)
		}
	}
	return finished, failed
}

func (w *world) breakDown(at time.Duration) {
	for i, h := range w.hosts {
		from := w.faults.failingAt
		h.failing = i == w.faults.failing && at >= from && at < from+time.Hour
		h.dead = false
		for k, dying := range w.faults.dying {
			from := w.faults.dyingAt[k]
			h.dead = h.dead || i == dying && at >= from && at < from+20*time.Minute
		}
	}
}

// spread divides the service's load over the workers that take requests.
func (w *world) spread(at time.Duration) {
	serving, open := 0, 0
	for _, h := range w.hosts {
		if len(h.account.Host.Services) == 0 {
			continue
		}
		serving++
		if !h.account.Closed && !h.dead {
			open++
		}
	}
	share := demand(at) * float64(serving) / float64(max(open, 1))
	for _, h := range w.hosts {
		h.sway = 0.995*h.sway + 0.006*h.noise.NormFloat64()
		burst := 0.03 * h.noise.NormFloat64()
		h.load = 0
		if len(h.account.Host.Services) > 0 && !h.account.Closed && !h.dead {
			h.load = min(max(share*(1+h.sway)+burst, 0.02), 0.95)
		}
	}
}

// work lets a worker's tasks run for one tick.
func (w *world) work(h *host) (finished, failed []*run) {
	for _, task := range h.account.Tasks() {
		r := h.runs[task]
		chance := h.luck.Float64()
		switch {
		case r == nil:
			continue
		case h.dead || h.failing || chance < failureChance:
			failed = append(failed, r)
			continue
		}
		g := h.account.Grants[task]
		c := w.truth.classes[r.class]
		speed := min(1, float64(g.Resources.CPU)/1000/c.cores) * min(1, float64(g.Resources.Memory)/c.memory)
		r.work -= speed * tick.Seconds()
		if w.now.Sub(g.Since)%saveEvery < tick {
			r.saved = r.work
		}
		g.Used = describer.Resources{
			CPU:    min(g.Resources.CPU, int64(1000*c.cores*(0.9+0.2*h.luck.Float64()))),
			Memory: min(g.Resources.Memory, int64(c.memory*(0.9+0.1*h.luck.Float64()))),
		}
		g.Progress = 1 - max(r.work, 0)/r.whole
		h.account.Grants[task] = g
		if r.work <= 0 {
			finished = append(finished, r)
		}
	}
	return finished, failed
}

// shares returns what classes really use of a worker's processors.
func (w *world) shares(h *host) []float64 {
	out := make([]float64, len(w.truth.classes))
	for _, task := range h.account.Tasks() {
		if r := h.runs[task]; r != nil {
			used := min(float64(h.account.Grants[task].Resources.CPU)/1000, w.truth.classes[r.class].cores)
			out[r.class] += used * 1000 / float64(w.deployment.WorkerSize.CPU)
		}
	}
	return out
}

// quantiles of a log-normal distribution in units of its 99th percentile,
// with their weights: what the requests of one interval take.
var quantiles = []struct{ ratio, weight float64 }{
	{0.30, 0.5}, {0.46, 0.3}, {0.62, 0.1}, {0.75, 0.05}, {0.88, 0.03}, {1.0, 0.012}, {1.3, 0.006}, {1.6, 0.002},
}

// report counts what requests really took, and queues the noisy late report.
func (w *world) report(h *host) {
	noise, lag, lost := h.noise.NormFloat64(), h.noise.Float64(), h.noise.Float64()
	if h.load == 0 {
		return
	}
	p99 := w.truth.latency(w.deployment, w.shares(h), h.load)
	count := w.deployment.Rate * h.load * reportEvery.Seconds()
	for _, q := range quantiles {
		micros := int64(p99 * q.ratio * 1e6)
		if w.latencies.RecordValues(micros, int64(math.Round(count*q.weight*10))) != nil {
			continue // longer than a minute, which the model does not reach
		}
	}
	w.intervals++
	if p99 <= w.deployment.Target.Seconds() {
		w.within++
	}
	if lost < 0.05 {
		return
	}
	h.late = append(h.late, lateReport{
		arrives: w.now.Add(20*time.Second + time.Duration(lag*20*float64(time.Second))),
		latency: runner.LatencyReport{
			Service: w.deployment.Service, From: w.now.Add(-reportEvery), To: w.now, Load: h.load,
			P99: time.Duration(p99 * math.Exp(0.2*noise) * float64(time.Second)), Count: int64(count),
		},
	})
}

// arrived returns the reports that have arrived by now.
func (w *world) arrived(h *host) []runner.LatencyReport {
	var out []runner.LatencyReport
	rest := h.late[:0]
	for _, l := range h.late {
		if l.arrives.After(w.now) {
			rest = append(rest, l)
			continue
		}
		out = append(out, l.latency)
	}
	h.late = rest
	return out
}
