package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/admitter"
	"dotterelcart.dev/dotterelcart/internal/control/balancer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Finite work that waits here while another shard has free CPU is given to that
// shard. Package balancer decides how much. Jobs that have never run are moved as a
// whole, which costs one write each. Single tasks of other jobs are transferred only if
// the gain is clear. docs/design/balancing.md describes the failures.

// RequestBalance requests a decision on waiting work. The answer is BalancePlanned.
type RequestBalance struct {
	Load       recorder.Load // of this shard
	Waiting    []balancer.Waiting
	CommitTime time.Duration // what recent commits took
}

// BalancePlanned is the answer to RequestBalance.
type BalancePlanned struct {
	Grants        []balancer.Grant
	WholeJobsOnly bool // a host doesn't know the records of transferred finite tasks
}

// ReportBalance reports the work that is given to another shard.
type ReportBalance struct {
	Grant balancer.Grant
	Jobs  int // whole jobs
	Tasks int // single tasks of other jobs
}

func (RequestBalance) effect() {}
func (ReportBalance) effect()  {}
func (BalancePlanned) event()  {}

const (
	balanceMinWait      = 300 * time.Millisecond // waiting time after which a job may be moved for balance
	balanceTaskWait     = time.Second            // waiting time after which a single task may be transferred for balance
	balanceMaxMoves     = 2                      // moves of one job for balance
	balanceMaxParts     = 3                      // other shards that have tasks of one job, since each gets its cancellation
	balancePlanMaxAge   = time.Second            // age of a request from which on its answer isn't used
	commitTimeSmoothing = 0.3                    // weight of the last commit in the average
)

// balance is the state of balancing under this owner. The zero value is ready to use.
type balance struct {
	requestedAt time.Time // of the request that isn't answered yet; zero if there is none
	commitTime  time.Duration
	budget      balancer.Budget
	paused      bool // the store is slow
}

// committed records how long a commit took.
func (b *balance) committed(took time.Duration) {
	b.commitTime += time.Duration(commitTimeSmoothing * float64(took-b.commitTime))
}

// recentCommitTime returns what commits have taken lately, also the one in progress.
func (s *Shard) recentCommitTime() time.Duration {
	if s.committing {
		return max(s.balancing.commitTime, s.now.Sub(s.lastCommit))
	}
	return s.balancing.commitTime
}

// mayBalance reports whether work may be given away. None is while the store is slow, since
// commits of ended tasks queue behind the moves.
func (s *Shard) mayBalance() bool {
	if !s.options.Divided || !s.isRecentlyConfirmed() || !s.workersListed {
		return false
	}
	s.pauseBalancing(s.recentCommitTime() >= balancer.SlowCommit)
	return !s.balancing.paused && s.balancing.budget.Available(s.now) > 0
}

// pauseBalancing pauses or resumes balancing, and logs a change.
func (s *Shard) pauseBalancing(paused bool) {
	if paused == s.balancing.paused {
		return
	}
	s.balancing.paused = paused
	message := "balancing resumed"
	if paused {
		message = "balancing paused"
	}
	s.emit(Log{Message: message, Reason: "duration of commits", Age: s.recentCommitTime()})
}

// requestBalance requests a decision if there is work that may leave.
func (s *Shard) requestBalance(l *recorder.Load) {
	if !s.balancing.requestedAt.IsZero() || !s.mayBalance() {
		return
	}
	waiting := s.balanceableWork()
	if len(waiting) == 0 {
		return
	}
	s.balancing.requestedAt = s.now
	s.emit(RequestBalance{Load: *l, Waiting: waiting, CommitTime: s.recentCommitTime()})
}

// balanceableWork returns the waiting work that may leave, by kind and priority.
func (s *Shard) balanceableWork() []balancer.Waiting {
	var out []balancer.Waiting
	add := func(st *step, work, cpu int64) {
		kind, priority := st.kind(), st.job.queue.Priority
		at := slices.IndexFunc(out, func(w balancer.Waiting) bool { return w.Kind == kind && w.Priority == priority })
		if at < 0 {
			at = len(out)
			out = append(out, balancer.Waiting{Kind: kind, Priority: priority})
		}
		w := &out[at]
		w.Work += work
		w.CPU += cpu
		w.Age = max(w.Age, s.now.Sub(st.oldestWaitingSince()))
	}
	seen := make(map[*job]bool)
	for _, st := range s.waitingSteps {
		switch {
		case s.isBalanceable(st.job):
			if !seen[st.job] {
				seen[st.job] = true
				add(st, s.readyWork(st.job), st.job.readyCPU())
			}
		default:
			if tasks := s.balanceableTasks(st, len(st.tasks)); len(tasks) > 0 {
				add(st, s.stepWork(st, len(tasks)), st.spec.Needs.CPU*int64(len(tasks)))
			}
		}
	}
	slices.SortFunc(out, func(a, b balancer.Waiting) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// kind returns the kind of the step's work.
func (st *step) kind() balancer.Kind {
	if st.spec.Filler {
		return balancer.Filler
	}
	return balancer.Reserved
}

// stepWork returns the expected work of n tasks of a step, in millicore-seconds.
func (s *Shard) stepWork(st *step, n int) int64 {
	return int64(float64(st.spec.Needs.CPU) * float64(n) * s.expectedRunTime(st).Seconds())
}

// readyWork returns the expected work of the job's waiting tasks that are ready, in
// millicore-seconds.
func (s *Shard) readyWork(j *job) int64 {
	total := int64(0)
	for _, st := range j.steps {
		if st.ready {
			total += s.stepWork(st, st.waiting)
		}
	}
	return total
}

// addReadyWork adds the waiting work of ready steps to the backlog of a load summary. Later
// steps of running jobs are in the backlog too, but nothing waits for them yet.
func (s *Shard) addReadyWork(l *recorder.Load) {
	for _, st := range s.waitingSteps {
		if st.spec.LongRunning || !st.ready || st.waiting == 0 || st.job.final != "" || s.jobs[st.job.spec.ID] != st.job {
			continue
		}
		at := slices.IndexFunc(l.Backlog, func(b recorder.Backlog) bool { return b.Priority == st.job.queue.Priority })
		if at < 0 {
			continue
		}
		if work := s.stepWork(st, st.waiting); st.spec.Filler {
			l.Backlog[at].ReadyFillerWork += work
		} else {
			l.Backlog[at].ReadyReservedWork += work
		}
	}
}

// readyCPU returns the CPU for all waiting tasks of the job that are ready, in millicores.
func (j *job) readyCPU() int64 {
	total := int64(0)
	for _, st := range j.steps {
		if st.ready {
			total += st.spec.Needs.CPU * int64(st.waiting)
		}
	}
	return total
}

// isBalanceable reports whether the job may be moved as a whole for balance. Jobs with
// long-running tasks are moved by their own limit.
func (s *Shard) isBalanceable(j *job) bool {
	isRecorded := !j.dirty && j.durable == j.version // no write of its state is due or in progress
	if !j.isMovable() || !isRecorded || s.isPart(j) || j.spec.Repeat > 0 || s.now.Sub(j.arrivedAt) < balanceMinWait {
		return false
	}
	if len(j.spec.FormerShards) >= balanceMaxMoves && s.hasAnyUsableWorker() {
		return false
	}
	return !slices.ContainsFunc(j.steps, func(st *step) bool { return st.spec.LongRunning })
}

// hasAnyUsableWorker reports whether the shard can start anything.
func (s *Shard) hasAnyUsableWorker() bool {
	return slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool { return w.isUsable(s.now) })
}

// balanceableTasks returns up to n waiting tasks of a begun job that may be transferred for
// balance. A task is transferred so only once, and only by its home. Tasks of a tightly coupled
// step stay together. A suspect task stays, since its losses are judged by what ran beside it.
func (s *Shard) balanceableTasks(st *step, n int) []*task {
	j := st.job
	staysTogether := st.spec.Gang || st.spec.TightlyCoupled
	if st.spec.LongRunning || staysTogether || st.findingShard || j.moving || j.final != "" || s.isPart(j) || j.isMovable() || j.spec.Repeat > 0 {
		return nil
	}
	if s.now.Sub(s.claimedAt) < transferDelay {
		return nil
	}
	var out []*task
	for _, t := range st.tasks {
		if len(out) >= n {
			break
		}
		hasWaited := s.now.Sub(t.waitingSince) >= balanceTaskWait
		if hasWaited && s.mayStart(t) && t.hop == 0 && len(t.losses) == 0 && !s.now.Before(t.transferAfter) {
			out = append(out, t)
		}
	}
	return out
}

// balancePlanned gives work away as planned. Work that has started meanwhile stays.
func (s *Shard) balancePlanned(e BalancePlanned) {
	isCurrent := s.now.Sub(s.balancing.requestedAt) <= balancePlanMaxAge
	s.balancing.requestedAt = time.Time{}
	if !isCurrent || !s.mayBalance() {
		return
	}
	for _, grant := range e.Grants {
		g := givenWork{shard: s, grant: grant, work: grant.Work, cpu: grant.CPU}
		g.moveJobs()
		if !e.WholeJobsOnly {
			g.transferTasks()
		}
		if g.jobs+g.tasks > 0 {
			s.emit(ReportBalance{Grant: grant, Jobs: g.jobs, Tasks: g.tasks})
		}
	}
}

// givenWork is the work that a grant gives away.
type givenWork struct {
	shard       *Shard
	grant       balancer.Grant
	work, cpu   int64 // what is left of the grant
	jobs, tasks int
}

// backwards calls do for the waiting steps that the grant is for, the lowest-ranked first:
// these wait longest here. Jobs that are worth nothing any more aren't worth a write.
func (g *givenWork) backwards(do func(*step)) {
	s := g.shard
	for _, st := range slices.Backward(slices.Clone(s.waitingSteps)) {
		if g.work <= 0 || g.cpu <= 0 || s.balancing.budget.Available(s.now) <= 0 {
			return
		}
		j := st.job
		if st.kind() == g.grant.Kind && j.queue.Priority == g.grant.Priority && s.now.Before(j.graceEnd) && g.accepts(st) {
			do(st)
		}
	}
}

// accepts reports whether the destination has workers for the step, and the work there is
// worth the loss of the step's preferred rack, which may double its run time.
func (g *givenWork) accepts(st *step) bool {
	largest := g.grant.MaxFree
	if st.spec.Filler {
		largest = g.grant.MaxCapacity
	}
	isWorthRack := st.spec.PreferredRack == "" || g.grant.Gain > st.path
	return g.hasLabel(st.spec.Label) && isWorthRack && st.spec.Needs.Fits(largest)
}

// hasLabel reports whether a worker of the destination has the label. Every worker has the
// empty label.
func (g *givenWork) hasLabel(label string) bool {
	return label == "" || slices.Contains(g.grant.Labels, label)
}

// moveJobs moves whole jobs that have never run. The first one may exceed the share of the
// destination's free CPU, but not all of it: some jobs are wider than the share.
func (g *givenWork) moveJobs() {
	s := g.shard
	moving := s.countMoves()
	g.backwards(func(st *step) {
		j := st.job
		work, cpu := s.readyWork(j), j.readyCPU()
		fits := cpu <= g.cpu || g.jobs == 0 && cpu <= g.grant.Free
		if !fits || moving >= maxConcurrentMoves || !s.isBalanceable(j) || !g.acceptsJob(j) {
			return
		}
		j.moving = true
		moving++
		g.take(1, work, cpu)
		g.jobs++
		s.emit(MoveJob{Job: j.spec, To: g.grant.Shard})
	})
}

// countMoves returns the number of jobs that are being moved.
func (s *Shard) countMoves() int {
	n := 0
	for _, j := range s.jobs {
		if j.moving {
			n++
		}
	}
	return n
}

// acceptsJob reports whether the destination could run all steps of the job, and hasn't
// had it before.
func (g *givenWork) acceptsJob(j *job) bool {
	if slices.Contains(j.spec.FormerShards, g.grant.Shard) || j.spec.Spread() > int(admitter.SpreadShare*float64(g.grant.Workers)) {
		return false
	}
	return !slices.ContainsFunc(j.spec.Steps, func(st specifier.Step) bool {
		return !g.hasLabel(st.Label) || !st.Needs.Fits(g.grant.MaxCapacity)
	})
}

// transferTasks transfers single tasks of begun jobs.
func (g *givenWork) transferTasks() {
	if g.grant.Gain < balancer.TaskGain {
		return
	}
	s := g.shard
	g.backwards(func(st *step) {
		j := st.job
		isNew := !slices.Contains(j.otherShards, g.grant.Shard)
		if isNew && len(j.otherShards) >= balanceMaxParts {
			return
		}
		n := min(maxJobTransfers-len(j.handovers), s.balancing.budget.Available(s.now), int(g.cpu/max(st.spec.Needs.CPU, 1)))
		for _, t := range s.balanceableTasks(st, n) {
			s.handOver(t, g.grant.Shard)
			g.take(1, s.stepWork(st, 1), st.spec.Needs.CPU)
			g.tasks++
		}
	})
}

// take subtracts work from the grant and writes from the budget.
func (g *givenWork) take(writes int, work, cpu int64) {
	g.work -= work
	g.cpu -= cpu
	g.shard.balancing.budget.Use(writes)
}

// Reason describes why the work is given away.
func (e ReportBalance) Reason() string {
	g := &e.Grant
	return fmt.Sprintf("%s work of priority %d waits %s here and %s there", g.Kind, g.Priority, g.Wait.Round(time.Millisecond), g.WaitThere.Round(time.Millisecond))
}
