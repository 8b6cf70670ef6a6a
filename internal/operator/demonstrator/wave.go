package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
)

const (
	jobsASecond     = 2 // over all domains, on the average
	jobTasks        = 4
	waveAt          = 0.15 // share of the load's length
	waveEnd         = 0.75
	waveSize        = 10 // jobs at the start of the wave
	jobDeadline     = 3 * time.Second
	inquireInterval = 200 * time.Millisecond
)

// wave is the batch jobs.
type wave struct {
	d       *deployer.Deployment
	options Options
	client  *http.Client

	mu       sync.Mutex
	random   *rand.Rand
	accepted map[string]int // tasks by job
	done     map[string]bool
	latest   map[string]reducer.JobStatus
}

func newWave(d *deployer.Deployment, o Options, random *rand.Rand) *wave {
	return &wave{
		d:        d,
		options:  o,
		client:   &http.Client{Timeout: jobDeadline, Transport: &http.Transport{DisableKeepAlives: true}},
		random:   random,
		accepted: make(map[string]int),
		done:     make(map[string]bool),
		latest:   make(map[string]reducer.JobStatus),
	}
}

// run submits jobs while loaded holds and waits for their ends until settled.
func (w *wave) run(loaded, settled context.Context) {
	length := time.Duration(w.options.Seconds) * time.Second
	if !deployer.Sleep(loaded, time.Duration(float64(length)*waveAt)) {
		return
	}
	ends := time.Now().Add(time.Duration(float64(length) * (waveEnd - waveAt)))
	var jobs sync.WaitGroup
	for n := 0; time.Now().Before(ends); n++ {
		if n >= waveSize && !deployer.Sleep(loaded, time.Second/jobsASecond) {
			break
		}
		m, job := w.next(n)
		jobs.Go(func() { w.follow(settled, m, job) })
	}
	jobs.Wait()
}

// next describes a job whose declared run time is far off.
func (w *wave) next(n int) (*deployer.Domain, describer.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	work := time.Duration(500+w.random.IntN(2500)) * time.Millisecond
	payload, _ := json.Marshal(hoster.Payload{Work: work.String()})
	class := "translate"
	if n%3 == 0 {
		class = "render"
	}
	return w.d.Domains[n%len(w.d.Domains)], describer.Job{
		ID:       fmt.Sprintf("job-%d-%d", w.options.Seed, n),
		Team:     "council",
		Class:    class,
		Tasks:    1 + w.random.IntN(jobTasks),
		Declared: describer.Resources{CPU: int64(1000 + w.random.IntN(3000)), Memory: 2 << 10},
		RunTime:  time.Duration(float64(work) * (0.3 + 2*w.random.Float64())),
		Payload:  payload,
	}
}

// follow submits a job until it is acknowledged and asks for it until it ends.
func (w *wave) follow(ctx context.Context, m *deployer.Domain, job describer.Job) {
	url := "http://" + m.Balancer.Address + "/v1/jobs"
	err := deployer.Retry(ctx, func() error { return deployer.CallJSON(ctx, w.client, http.MethodPost, url, job, nil) })
	if err != nil {
		return
	}
	w.mu.Lock()
	w.accepted[job.ID] = job.Tasks
	w.mu.Unlock()
	for deployer.Sleep(ctx, inquireInterval) {
		var status reducer.JobStatus
		if deployer.CallJSON(ctx, w.client, http.MethodGet, url+"/"+job.ID, nil, &status) != nil {
			continue
		}
		w.mu.Lock()
		w.latest[job.ID] = status
		w.done[job.ID] = status.State == "done"
		w.mu.Unlock()
		if status.State == "done" {
			return
		}
	}
}

// count returns how many jobs were accepted and how many are done.
func (w *wave) count() (accepted, done int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, is := range w.done {
		if is {
			done++
		}
	}
	return len(w.accepted), done
}

// fill adds the jobs' counts to a report. A job counts as done only if the
// workers completed all of its tasks.
func (w *wave) fill(out *Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out.Jobs = len(w.accepted)
	for id, tasks := range w.accepted {
		if w.done[id] && w.completed(id, tasks) {
			out.Done++
			continue
		}
		out.Lost++
		out.Violations = append(out.Violations, fmt.Sprintf("job %s was accepted and is not done: %s", id, describe(w.latest[id])))
	}
}

// describe says what a daemon last said of a job.
func describe(s reducer.JobStatus) string {
	return fmt.Sprintf("%q in %s, %d pending, %d started, %d done, %d failed, %s",
		s.State, s.Shard, s.Pending, s.Started, s.Done, s.Failed, s.Reason)
}

func (w *wave) completed(id string, tasks int) bool {
	for i := range tasks {
		if !w.d.Audit.Finished(describer.TaskID{Job: id, Index: i}) {
			return false
		}
	}
	return true
}
