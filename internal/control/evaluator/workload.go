package evaluator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// Times of a morning.
const (
	tick     = 5 * time.Second
	morning  = 6 * time.Hour
	waves    = 5
	drainAt  = 150 * time.Minute
	drainFor = 45 * time.Minute
	urgently = 10 * time.Minute // between urgent jobs
)

var begin = time.Date(2026, 3, 2, 5, 30, 0, 0, time.UTC)

// run is one task with its truth.
type run struct {
	id       describer.TaskID
	job      *describer.Job
	class    int
	arrives  time.Time
	work     float64 // seconds left at full speed
	saved    float64 // the same by the last checkpoint
	whole    float64 // seconds at full speed
	worker   *host
	began    time.Time // first start
	homeTo   string
	refused  string
	finished time.Time
}

// newWorkload draws the jobs of a morning, in order of arrival: a stream, the
// precinct waves, and urgent jobs.
func newWorkload(d Deployment, t *truth, r *rand.Rand) []*run {
	free := float64(d.Workers) * float64(d.WorkerSize.CPU) / 1000 * (1 - reservedShare*(batchOnly-1)/batchOnly)
	whole := free * morning.Seconds() * d.Demand // core seconds
	var out []*run
	jobs := 0
	add := func(at time.Duration, tasks int, deadline time.Duration, p describer.Priority) float64 {
		jobs++
		return submit(&out, d, t, r, jobs, at, tasks, deadline, p)
	}
	for done := 0.0; done < 0.55*whole; {
		at := time.Duration(r.Float64() * 0.8 * float64(morning))
		done += add(at, 5+r.IntN(40), at+time.Duration(60+r.IntN(60))*time.Minute, describer.Normal)
	}
	for wave := range waves {
		at := morning * time.Duration(2*wave+1) / (2*waves + 3)
		for done := 0.0; done < 0.45/waves*whole; {
			late := time.Duration(r.IntN(300)) * time.Second
			done += add(at+late, 40+r.IntN(80), at+100*time.Minute, describer.Normal)
		}
	}
	for at := urgently; at < morning-urgently; at += urgently {
		add(at, 1+r.IntN(4), at+30*time.Minute, describer.Urgent)
	}
	slices.SortStableFunc(out, func(a, b *run) int { return a.arrives.Compare(b.arrives) })
	return out
}

// submit adds a job's tasks and returns their work in core seconds.
func submit(
	out *[]*run, d Deployment, t *truth, r *rand.Rand, n int,
	at time.Duration, tasks int, deadline time.Duration, p describer.Priority,
) float64 {
	index := r.IntN(len(t.classes))
	c := t.classes[index]
	size := func(v float64) int64 { return max(1, int64(v*c.sizeOff)) }
	job := &describer.Job{
		ID: fmt.Sprintf("j%04d", n), Team: "council", Class: c.name, Tasks: tasks, Priority: p,
		Declared: describer.Resources{
			CPU:    min(size(1000*c.cores), d.WorkerSize.CPU/2),
			Memory: min(size(c.memory), d.WorkerSize.Memory/2),
		},
		RunTime:  time.Duration(c.run * c.timeOff * float64(time.Second)),
		Deadline: begin.Add(min(deadline, morning)),
		Accepted: begin.Add(at),
	}
	work := 0.0
	for i := range tasks {
		seconds := c.run * math.Exp(0.3*r.NormFloat64())
		*out = append(*out, &run{
			id: describer.TaskID{Job: job.ID, Index: i}, job: job, class: index, arrives: begin.Add(at),
			work: seconds, saved: seconds, whole: seconds,
		})
		work += seconds * c.cores
	}
	return work
}

// demand returns the load of the service as a share of all slots, before
// differences between workers.
func demand(at time.Duration) float64 {
	x := float64(at) / float64(morning)
	return 0.3 + 0.35*math.Pow(math.Sin(math.Pi*min(x*1.1, 1)), 2)
}
