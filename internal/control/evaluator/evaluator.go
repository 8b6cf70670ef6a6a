// Package evaluator measures colocation policies in virtual time.
//
// # Model
//
// A [Deployment] is a set of workers, a service and batch classes with a true
// interference that policies can't see. [Run] plays one morning of each
// deployment for each seed and contender: load and jobs are the same for all
// contenders of a seed, so figures differ by policy alone. The fake has no
// network, no store and no processes; it feeds the policies directly.
//
//	report := evaluator.Run(evaluator.Options{Seeds: 10})
//	fmt.Print(report.Table())
//
// # Assumptions of the fake
//
// Three quarters of the workers answer for the service, and a quarter of
// their processors are reserved for it. Interference comes from two hidden
// resources (think of memory bandwidth and cache) that saturate: it is
// nothing below a knee and quadratic above, plus a linear term by processor
// use; classes add up before the knee, so they interact. Latency grows with
// load as in a queue. None of this has the learner's log-linear shape.
// Each class's pressure drifts hourly by a log-normal factor of deviation 0.2.
// Reports cover 10 s, come 20 to 40 s late, are noisy (log-normal, deviation
// 0.2), and 1 in 20 is lost. Declared sizes and run times are off by a
// log-normal factor for each class, cut at 10. In each morning 1 worker fails
// all that it starts for an hour, 2 die for 20 minutes, and a rack is drained
// for 45 minutes.
package evaluator

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// Options choose what is run. Zero fields take defaults.
type Options struct {
	Seeds       int // number of mornings, from seed First on; default 10
	First       uint64
	Parallel    int          // simulations at once; default 2
	Deployments []Deployment // default both
	Variants    []Variant    // default all
}

// Report holds one result for each deployment and contender.
type Report struct {
	Seeds   int
	Results []Result
}

// Result is a contender's mean over all seeds in one deployment.
type Result struct {
	Deployment   string
	Variant      string
	P99          time.Duration // of all requests of a morning
	P99Worst     time.Duration // of the worst seed
	WithinTarget float64       // share of worker intervals whose 99th percentile is within the target
	WorkInTime         float64       // share of batch work, by true core seconds, done by its deadline
	Evictions    float64       // for the sake of services or urgent tasks, each morning
	DrainEvictions      float64       // evictions by the drain, each morning
	RestoreTime      time.Duration // from the end of the drain until all workers are restored
	UrgentInTime       float64       // share of urgent tasks that started in bound
	UrgentRefused      float64       // share of urgent tasks that did not, with a reason
	Seeds        []Outcome     // by seed, in order
}

// Run plays all mornings.
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
		for _, c := range o.Variants {
			report.Results = append(report.Results, result(d, c, mornings(o, d, c)))
		}
	}
	return report
}

// mornings plays one contender's mornings, a few at once.
func mornings(o Options, d Deployment, c Variant) []Outcome {
	outcomes := make([]Outcome, o.Seeds)
	var wg sync.WaitGroup
	slots := make(chan struct{}, o.Parallel)
	for i := range outcomes {
		wg.Go(func() {
			slots <- struct{}{}
			outcomes[i] = play(d, c, o.First+uint64(i))
			<-slots
		})
	}
	wg.Wait()
	return outcomes
}

func result(d Deployment, c Variant, outcomes []Outcome) Result {
	r := Result{Deployment: d.Name, Variant: c.Name, Seeds: outcomes}
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

// Table returns the report as text.
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
		return "" // a strings.Builder does not fail
	}
	for _, line := range r.goals() {
		fmt.Fprintln(&b, line)
	}
	return b.String()
}

// goals compares the default policy with the baselines.
func (r Report) goals() []string {
	var out []string
	for _, s := range r.Results {
		if s.Variant != DefaultName {
			continue
		}
		alone, best := r.baselines(s.Deployment)
		if alone.Variant == "" || best.Variant == "" {
			continue
		}
		out = append(out, fmt.Sprintf(
			"%s: p99 %+.1f %% against no colocation (goal +5 %%), work %.1f %% of %s (goal 90 %%), evictions %.1f %% of it (goal 10 %%)",
			s.Deployment, 100*(float64(s.P99)/float64(alone.P99)-1),
			100*s.WorkInTime/best.WorkInTime, best.Variant, 100*s.Evictions/max(best.Evictions, 1e-9)))
	}
	return out
}

// baselines returns the one without colocation and the one that does the most work.
func (r Report) baselines(deployment string) (alone, best Result) {
	for _, s := range r.Results {
		switch {
		case s.Deployment != deployment || s.Variant == DefaultName:
		case s.Variant == NoColocationName:
			alone = s
		case s.WorkInTime > best.WorkInTime && slices.Contains(packing, s.Variant):
			best = s
		}
	}
	return alone, best
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
