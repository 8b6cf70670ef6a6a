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
	jobRate        = 2    // jobs per second over all domains, after the initial ones
	maxTasks       = 4    // maximum number of tasks in a job
	jobsStart      = 0.15 // fraction of the load's duration after which jobs are submitted
	jobsEnd        = 0.75 // fraction of the load's duration after which no more are
	initialJobs    = 10   // jobs that are submitted at once at the start
	requestTimeout = 3 * time.Second
	statusInterval = 200 * time.Millisecond
)

// batchLoad submits batch jobs and follows them until they are done.
type batchLoad struct {
	deployment *deployer.Deployment
	options    Options
	client     *http.Client

	mu       sync.Mutex
	random   *rand.Rand
	accepted map[string]int               // number of tasks of each acknowledged job
	done     map[string]bool              // whether a daemon has reported the job as done
	status   map[string]reducer.JobStatus // last status of each job
}

func newBatchLoad(d *deployer.Deployment, o Options, random *rand.Rand) *batchLoad {
	return &batchLoad{
		deployment: d,
		options:    o,
		client:     &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		random:     random,
		accepted:   make(map[string]int),
		done:       make(map[string]bool),
		status:     make(map[string]reducer.JobStatus),
	}
}

// run submits jobs between jobsStart and jobsEnd of the load, and waits until they
// are done or runCtx ends.
func (b *batchLoad) run(loadCtx, runCtx context.Context) {
	length := time.Duration(b.options.Seconds) * time.Second
	if !deployer.Sleep(loadCtx, time.Duration(float64(length)*jobsStart)) {
		return
	}
	end := time.Now().Add(time.Duration(float64(length) * (jobsEnd - jobsStart)))
	var jobs sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		if n >= initialJobs && !deployer.Sleep(loadCtx, time.Second/jobRate) {
			break
		}
		domain, job := b.next(n)
		jobs.Go(func() { b.follow(runCtx, domain, job) })
	}
	jobs.Wait()
}

// next returns the job with this number and the domain to submit it in. Its
// declared run time is 0.3 to 2.3 times the actual one.
func (b *batchLoad) next(n int) (*deployer.Domain, describer.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := time.Duration(500+b.random.IntN(2500)) * time.Millisecond
	payload, _ := json.Marshal(hoster.Payload{Work: work.String()})
	class := "translate"
	if n%3 == 0 {
		class = "render"
	}
	return b.deployment.Domains[n%len(b.deployment.Domains)], describer.Job{
		ID:       fmt.Sprintf("job-%d-%d", b.options.Seed, n),
		Team:     "council",
		Class:    class,
		Tasks:    1 + b.random.IntN(maxTasks),
		Declared: describer.Resources{CPU: int64(1000 + b.random.IntN(3000)), Memory: 2 << 10},
		RunTime:  time.Duration(float64(work) * (0.3 + 2*b.random.Float64())),
		Payload:  payload,
	}
}

// follow submits a job, retrying until it is acknowledged, and polls its status
// until it is done.
func (b *batchLoad) follow(ctx context.Context, domain *deployer.Domain, job describer.Job) {
	url := "http://" + domain.Balancer.Address + "/v1/jobs"
	err := deployer.Retry(ctx, func() error { return deployer.CallJSON(ctx, b.client, http.MethodPost, url, job, nil) })
	if err != nil {
		return
	}
	b.mu.Lock()
	b.accepted[job.ID] = job.Tasks
	b.mu.Unlock()
	for deployer.Sleep(ctx, statusInterval) {
		var status reducer.JobStatus
		if deployer.CallJSON(ctx, b.client, http.MethodGet, url+"/"+job.ID, nil, &status) != nil {
			continue
		}
		b.mu.Lock()
		b.status[job.ID] = status
		b.done[job.ID] = status.State == "done"
		b.mu.Unlock()
		if status.State == "done" {
			return
		}
	}
}

// count returns how many jobs were accepted and how many are done.
func (b *batchLoad) count() (accepted, done int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, isDone := range b.done {
		if isDone {
			done++
		}
	}
	return len(b.accepted), done
}

// addTo adds the jobs' counts and violations to a report. A job counts as done only
// if a daemon reports it as done and the workers have completed all of its tasks.
func (b *batchLoad) addTo(out *Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out.Jobs = len(b.accepted)
	for id, tasks := range b.accepted {
		if b.done[id] && b.completed(id, tasks) {
			out.DoneJobs++
			continue
		}
		out.LostJobs++
		out.Violations = append(out.Violations, fmt.Sprintf("job %s was accepted and is not done: %s", id, describeStatus(b.status[id])))
	}
}

// describeStatus formats a job's status for a violation.
func describeStatus(s reducer.JobStatus) string {
	return fmt.Sprintf("%q in %s, %d pending, %d started, %d done, %d failed, %s",
		s.State, s.Shard, s.Pending, s.Started, s.Done, s.Failed, s.Reason)
}

// completed reports whether the workers have completed all tasks of a job.
func (b *batchLoad) completed(id string, tasks int) bool {
	for i := range tasks {
		if !b.deployment.Audit.Finished(describer.TaskID{Job: id, Index: i}) {
			return false
		}
	}
	return true
}
