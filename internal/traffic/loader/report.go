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
	answered outcome = iota // whole answer within the deadline
	late                    // whole answer after it
	refused                 // verdict not run
	failed                  // any other failure answer
	lost                    // no answer or a part of one
	unsent                  // too many in flight
)

// Report is the result of a run.
type Report struct {
	Settings Settings
	Took     time.Duration
	Rows     []*KindReport // one for each kind, in their order
}

// KindReport counts what became of one kind of request.
type KindReport struct {
	Kind     Kind
	Answered int64                   // whole answers within the deadline
	Late     int64                   // whole answers after it
	Refused  int64                   // with verdict not run
	Failed   int64                   // other failure answers
	Lost     int64                   // no whole answer
	Unsent   int64                   // not sent by the loader: too many in flight
	Latency  *hdrhistogram.Histogram // of whole answers, microseconds since due
	Refusal  *hdrhistogram.Histogram // of refusals, microseconds since due

	lock sync.Mutex
}

// Range and precision of the histograms.
const (
	leastMicros = 1
	mostMicros  = int64(2 * time.Hour / time.Microsecond)
	digits      = 3
)

func newRows(mix []Kind) []*KindReport {
	out := make([]*KindReport, len(mix))
	for i := range mix {
		out[i] = &KindReport{
			Kind:    mix[i],
			Latency: hdrhistogram.New(leastMicros, mostMicros, digits),
			Refusal: hdrhistogram.New(leastMicros, mostMicros, digits),
		}
	}
	return out
}

func (r *KindReport) count(o outcome, took time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	micros := max(took.Microseconds(), leastMicros)
	switch o {
	case answered:
		r.Answered++
		_ = r.Latency.RecordValue(micros)
	case late:
		r.Late++
		_ = r.Latency.RecordValue(micros)
	case refused:
		r.Refused++
		_ = r.Refusal.RecordValue(micros)
	case failed:
		r.Failed++
	case lost:
		r.Lost++
	case unsent:
		r.Unsent++
	}
}

// Quantile returns the latency below which the share q of whole answers is.
func (r *KindReport) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q*100)) * time.Microsecond
}

func (r *run) report(took time.Duration) Report {
	return Report{Settings: r.options.Settings, Took: took, Rows: r.rows}
}

// Goodput returns the answers within their deadlines for each second of the
// load.
func (r *Report) Goodput() float64 {
	var sum int64
	for _, row := range r.Rows {
		sum += row.Answered
	}
	return float64(sum) / time.Duration(r.Settings.Duration).Seconds()
}

// Table returns the report as text for people.
func (r *Report) Table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "tenant\tclass\tservice\tanswered\tlate\trefused\tfailed\tlost\tunsent\tp50\tp99\tp99.9\tmax\t")
	for _, row := range r.Rows {
		k := &row.Kind
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t", k.Tenant, k.Class, k.Service,
			row.Answered, row.Late, row.Refused, row.Failed, row.Lost, row.Unsent)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", short(row.Quantile(0.5)), short(row.Quantile(0.99)),
			short(row.Quantile(0.999)), short(time.Duration(row.Latency.Max())*time.Microsecond))
	}
	_ = w.Flush()
	fmt.Fprintf(&b, "goodput %.1f/s of %.1f/s offered, seed %d\n", r.Goodput(), r.Settings.Rate, r.Settings.Seed)
	return b.String()
}

func short(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }
