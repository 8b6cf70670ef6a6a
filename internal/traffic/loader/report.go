package loader

import (
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request ended.
type outcome int

const (
	answered outcome = iota // complete response within the deadline
	late                    // complete response after the deadline
	refused                 // error response with verdict NotRun
	failed                  // any other error response
	lost                    // no response, or a truncated one
	unsent                  // not sent, because too many requests were in flight
)

// Report is the result of a run.
type Report struct {
	Settings Settings
	Took     time.Duration // from the start to the last response
	Kinds    []*KindReport // one for each kind in Settings.Mix, in that order
}

// KindReport counts the outcomes of one kind of request.
type KindReport struct {
	Kind           Kind
	Answered       int64                   // complete responses within the deadline
	Late           int64                   // complete responses after the deadline
	Refused        int64                   // error responses with verdict NotRun
	Failed         int64                   // other error responses
	Lost           int64                   // no response, or a truncated one
	Unsent         int64                   // not sent, because too many requests were in flight
	Latency        *hdrhistogram.Histogram // complete responses, in microseconds since the due time
	RefusalLatency *hdrhistogram.Histogram // refusals, in microseconds since the due time

	lock sync.Mutex
}

// Range and precision of the latency histograms.
const (
	minMicros         = 1                                       // microseconds
	maxMicros         = int64(2 * time.Hour / time.Microsecond) // microseconds
	significantDigits = 3
)

// newKindReports returns an empty report for each kind of the mix.
func newKindReports(mix []Kind) []*KindReport {
	out := make([]*KindReport, len(mix))
	for i := range mix {
		out[i] = &KindReport{
			Kind:           mix[i],
			Latency:        hdrhistogram.New(minMicros, maxMicros, significantDigits),
			RefusalLatency: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		}
	}
	return out
}

// count records one request; took is the time since it was due.
func (r *KindReport) count(o outcome, took time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	micros := max(took.Microseconds(), minMicros)
	switch o {
	case answered:
		r.Answered++
		_ = r.Latency.RecordValue(micros)
	case late:
		r.Late++
		_ = r.Latency.RecordValue(micros)
	case refused:
		r.Refused++
		_ = r.RefusalLatency.RecordValue(micros)
	case failed:
		r.Failed++
	case lost:
		r.Lost++
	case unsent:
		r.Unsent++
	}
}

// Quantile returns the q-quantile of the latency of complete responses, such as the
// median for q = 0.5.
func (r *KindReport) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q*100)) * time.Microsecond
}

func (r *loadRun) report(took time.Duration) Report {
	return Report{Settings: r.options.Settings, Took: took, Kinds: r.kinds}
}

// Goodput returns the rate of responses within their deadlines, per second.
func (r *Report) Goodput() float64 {
	var sum int64
	for _, report := range r.Kinds {
		sum += report.Answered
	}
	return float64(sum) / time.Duration(r.Settings.Duration).Seconds()
}

// Table returns the report as a text table.
func (r *Report) Table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "tenant\tclass\tservice\tanswered\tlate\trefused\tfailed\tlost\tunsent\tp50\tp99\tp99.9\tmax\t")
	for _, report := range r.Kinds {
		k := &report.Kind
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t", k.Tenant, k.Class, k.Service,
			report.Answered, report.Late, report.Refused, report.Failed, report.Lost, report.Unsent)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", formatLatency(report.Quantile(0.5)), formatLatency(report.Quantile(0.99)),
			formatLatency(report.Quantile(0.999)), formatLatency(time.Duration(report.Latency.Max())*time.Microsecond))
	}
	_ = w.Flush()
	fmt.Fprintf(&b, "goodput %.1f/s of %.1f/s offered, seed %d\n", r.Goodput(), r.Settings.Rate, r.Settings.Seed)
	return b.String()
}

func formatLatency(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }
