// Package evaluator compares placement policies by simulation.
//
// # Model
//
// A [Deployment] is a set of workers with a service and classes of batch tasks,
// whose true interference the policies can't see. [Run] simulates one morning
// for each deployment, [Variant] and seed. All variants of a seed get the same
// load and jobs, so that only the policy makes a difference. There is no
// network, no store and no other process; the simulation calls the policies
// directly.
//
//	report := evaluator.Run(evaluator.Options{Seeds: 10})
//	fmt.Print(report.Table())
//
// # Assumptions
//
// Three quarters of the workers serve the service, and a quarter of their
// processors are reserved for it. Interference comes from two shared resources,
// such as memory bandwidth and cache, that saturate: there is none below a knee,
// and it grows with the square of the pressure above, plus a linear term by
// processor use. The pressures of the classes add up before the knee, so the
// classes interact. Latency grows with load as in a queue. None of this has the
// log-linear form that the learner assumes. Each class's pressure drifts hourly
// by a log-normal factor of deviation 0.2.
//
// Reports cover 10 s, arrive 20 to 40 s late, are noisy (log-normal, deviation
// 0.2), and 1 in 20 is lost. Declared sizes and run times are wrong by a
// log-normal factor for each class, limited to 10. In each morning 1 worker fails
// everything that it starts for an hour, 2 are dead for 20 minutes, and a rack
// is drained for 45 minutes.
package evaluator

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// Options choose what is simulated. Zero fields take defaults.
type Options struct {
	Seeds       int          // number of seeds; default 10
	FirstSeed   uint64       // first seed
	Parallel    int          // maximum number of concurrent simulations; default 2
	Deployments []Deployment // default: all of Deployments
	Variants    []Variant    // default: all of Variants
}

// Report holds one result for each deployment and variant.
type Report struct {
	Seeds   int
	Results []Result
}

// Result is the mean over all seeds of one variant in one deployment. Counts are
// per morning.
type Result struct {
	Deployment     string
	Variant        string
	P99            time.Duration // 99th percentile of latency of all requests
	P99Worst       time.Duration // highest P99 of a seed
	WithinTarget   float64       // share of the workers' report intervals whose 99th percentile is within the target
	WorkInTime     float64       // share of batch work, in true core seconds, of tasks that finish by their deadlines
	Evictions      float64       // evictions for services or urgent tasks
	DrainEvictions float64       // evictions by the drain
	RestoreTime    time.Duration // time from the end of the drain until all workers are restored
	UrgentInTime   float64       // share of urgent tasks that start within placer.UrgentStartLimit
	UrgentRefused  float64       // share of urgent tasks that do not, and were refused with a reason
	Seeds          []Outcome     // outcome of each seed, in order
}

// Run simulates all mornings.
func Run(o Options) Report {
	if o.Seeds == 0 {
		o.Seeds = 10
	}
	if o.Parallel == 0 {
		o.Parallel = 2
	}
	if o.Deployments == nil {
		o.Deployments = Deployments()
	}
	if o.Variants == nil {
		o.Variants = Variants()
	}
	report := Report{Seeds: o.Seeds}
	for _, d := range o.Deployments {
		for _, v := range o.Variants {
			report.Results = append(report.Results, mean(d, v, simulateSeeds(o, d, v)))
		}
	}
	return report
}

// simulateSeeds simulates one variant for all seeds, up to Options.Parallel of
// them at a time.
func simulateSeeds(o Options, d Deployment, v Variant) []Outcome {
	outcomes := make([]Outcome, o.Seeds)
	var wg sync.WaitGroup
	slots := make(chan struct{}, o.Parallel)
	for i := range outcomes {
		wg.Go(func() {
			slots <- struct{}{}
			outcomes[i] = simulate(d, v, o.FirstSeed+uint64(i))
			<-slots
		})
	}
	wg.Wait()
	return outcomes
}

// mean returns the means of the outcomes.
func mean(d Deployment, v Variant, outcomes []Outcome) Result {
	r := Result{Deployment: d.Name, Variant: v.Name, Seeds: outcomes}
	n := float64(len(outcomes))
	for _, o := range outcomes {
		r.P99 += o.P99 / time.Duration(n)
		r.P99Worst = max(r.P99Worst, o.P99)
		r.WithinTarget += o.WithinTarget / n
		r.WorkInTime += o.WorkInTime / n
		r.Evictions += float64(o.Evictions) / n
		r.DrainEvictions += float64(o.DrainEvictions) / n
		r.RestoreTime += o.RestoreTime / time.Duration(n)
		r.UrgentInTime += o.UrgentInTime / n
		r.UrgentRefused += o.UrgentRefused / n
	}
	return r
}

// Table returns the report as a table for people, followed by the goals.
func (r Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d mornings each, means\n", r.Seeds)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tpolicy\tp99\tworst\twithin target\twork by deadline\tevictions\tby drain\trestore\turgent in bound\trefused\t")
	for _, s := range r.Results {
		fmt.Fprintf(t, "%s\t%s\t%.1f ms\t%.1f ms\t%.2f %%\t%.1f %%\t%.1f\t%.1f\t%s\t%.1f %%\t%.1f %%\t\n",
			s.Deployment, s.Variant, ms(s.P99), ms(s.P99Worst), 100*s.WithinTarget, 100*s.WorkInTime,
			s.Evictions, s.DrainEvictions, s.RestoreTime.Round(time.Second), 100*s.UrgentInTime, 100*s.UrgentRefused)
	}
	if t.Flush() != nil {
		return "" // unreachable, since a strings.Builder never fails
	}
	for _, line := range r.goals() {
		fmt.Fprintln(&b, line)
	}
	return b.String()
}

// goals returns one line for each deployment that compares the default policy
// with the baselines.
func (r Report) goals() []string {
	var out []string
	for _, s := range r.Results {
		if s.Variant != DefaultName {
			continue
		}
		separate, best := r.baselines(s.Deployment)
		if separate.Variant == "" || best.Variant == "" {
			continue
		}
		out = append(out, fmt.Sprintf(
			"%s: p99 %+.1f %% against no colocation (goal +5 %%), work %.1f %% of %s (goal 90 %%), evictions %.1f %% of it (goal 10 %%)",
			s.Deployment, 100*(float64(s.P99)/float64(separate.P99)-1),
			100*s.WorkInTime/best.WorkInTime, best.Variant, 100*s.Evictions/max(best.Evictions, 1e-9)))
	}
	return out
}

// baselines returns the result without colocation, and the colocating baseline
// that does the most work in time.
func (r Report) baselines(deployment string) (separate, best Result) {
	for _, s := range r.Results {
		switch {
		case s.Deployment != deployment || s.Variant == DefaultName:
		case s.Variant == NoColocationName:
			separate = s
		case s.WorkInTime > best.WorkInTime && slices.Contains(colocating, s.Variant):
			best = s
		}
	}
	return separate, best
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
