package evaluator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

const (
	tick           = 5 * time.Second // step of the simulation
	morning        = 6 * time.Hour   // simulated time
	waves          = 5               // number of bursts of batch jobs
	drainStart     = 150 * time.Minute
	drainTime      = 45 * time.Minute
	urgentInterval = 10 * time.Minute // time between urgent jobs
)

// startTime is the simulated time at which a morning begins.
var startTime = time.Date(2026, 3, 2, 5, 30, 0, 0, time.UTC)

// run is one task with its true properties and its progress.
type run struct {
	id           describer.TaskID
	job          *describer.Job
	class        int       // index of its true class
	arrives      time.Time // time of submission
	remaining    float64   // seconds that it still needs at full speed
	checkpointed float64   // remaining at the last checkpoint
	total        float64   // seconds that it needs in total at full speed
	worker       *host     // nil while it waits
	started      time.Time // time of the first start
	returnTo     string    // drained worker that it returns to, or empty
	refused      string    // reason of the last refusal of an urgent task, or empty
	finished     time.Time
}

// newWorkload draws the tasks of a morning and returns them in order of arrival.
// The jobs are a steady stream, bursts, and urgent jobs.
func newWorkload(d Deployment, t *groundTruth, r *rand.Rand) []*run {
	available := float64(d.Workers) * float64(d.WorkerSize.CPU) / 1000 * (1 - reservedShare*(batchOnlyEvery-1)/batchOnlyEvery)
	total := available * morning.Seconds() * d.Demand // core seconds
	var out []*run
	jobs := 0
	add := func(at time.Duration, tasks int, deadline time.Duration, p describer.Priority) float64 {
		jobs++
		return submit(&out, d, t, r, jobs, at, tasks, deadline, p)
	}
	for done := 0.0; done < 0.55*total; {
		at := time.Duration(r.Float64() * 0.8 * float64(morning))
		done += add(at, 5+r.IntN(40), at+time.Duration(60+r.IntN(60))*time.Minute, describer.Normal)
	}
	for wave := range waves {
		at := morning * time.Duration(2*wave+1) / (2*waves + 3)
		for done := 0.0; done < 0.45/waves*total; {
			delay := time.Duration(r.IntN(300)) * time.Second
			done += add(at+delay, 40+r.IntN(80), at+100*time.Minute, describer.Normal)
		}
	}
	for at := urgentInterval; at < morning-urgentInterval; at += urgentInterval {
		add(at, 1+r.IntN(4), at+30*time.Minute, describer.Urgent)
	}
	slices.SortStableFunc(out, func(a, b *run) int { return a.arrives.Compare(b.arrives) })
	return out
}

// submit appends the tasks of job number n, and returns their work in core
// seconds.
func submit(
	out *[]*run, d Deployment, t *groundTruth, r *rand.Rand, n int,
	at time.Duration, tasks int, deadline time.Duration, p describer.Priority,
) float64 {
	index := r.IntN(len(t.classes))
	c := t.classes[index]
	declared := func(v float64) int64 { return max(1, int64(v*c.sizeError)) }
	job := &describer.Job{
		ID: fmt.Sprintf("j%04d", n), Team: "council", Class: c.name, Tasks: tasks, Priority: p,
		Declared: describer.Resources{
			CPU:    min(declared(1000*c.cores), d.WorkerSize.CPU/2),
			Memory: min(declared(c.memory), d.WorkerSize.Memory/2),
		},
		RunTime:  time.Duration(c.run * c.timeError * float64(time.Second)),
		Deadline: startTime.Add(min(deadline, morning)),
		Accepted: startTime.Add(at),
	}
	work := 0.0
	for i := range tasks {
		seconds := c.run * math.Exp(0.3*r.NormFloat64())
		*out = append(*out, &run{
			id: describer.TaskID{Job: job.ID, Index: i}, job: job, class: index, arrives: startTime.Add(at),
			remaining: seconds, checkpointed: seconds, total: seconds,
		})
		work += seconds * c.cores
	}
	return work
}

// demand returns the service's mean load at a time since startTime, as a share
// of the request slots of all its workers.
func demand(at time.Duration) float64 {
	x := float64(at) / float64(morning)
	return 0.3 + 0.35*math.Pow(math.Sin(math.Pi*min(x*1.1, 1)), 2)
}
