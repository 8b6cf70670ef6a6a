package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

const (
	maxRefusals = 32   // kinds of task refused by the placement policy before a pass ends
	maxExamined = 2048 // tasks examined in one pass
	maxStarts   = 512  // tasks started in one pass

	// passInterval is the time between passes if nothing has changed. Some limits of
	// the placement policy end with time alone.
	passInterval = 5 * time.Second

	// A task is close to its deadline if less than its run time and deadlineSlack
	// remain.
	deadlineSlack = 2 * time.Minute
)

// candidate is the next task of one team in a placement pass.
type candidate struct {
	team          *team
	config        *describer.Team
	task          *task
	urgency       int     // 0 for an urgent task, 1 for one close to its deadline, 2 otherwise
	weightedShare float64 // dominant share of the team divided by its weight
}

// placePending runs a placement pass: it starts pending tasks, ordered by urgency,
// close deadlines and the weighted shares of the teams, until nothing more fits. It
// runs only when an append may be sent, so that decisions are written in groups.
func (sh *shard) placePending() {
	if sh.placementIdle && sh.state.now.Sub(sh.lastPassAt) < passInterval || !sh.isWritable() || !sh.state.storeReachable || !sh.mayFlush() || sh.journal.isFull() {
		return
	}
	refused := make(map[placementKey]bool)
	sh.useReservations()
	candidates := sh.candidates()
	examined, placed := 0, 0
	for len(candidates) > 0 && len(refused) < maxRefusals && placed < maxStarts && examined < maxExamined {
		best := slices.MinFunc(candidates, compareCandidates)
		if sh.tryStart(best.task, refused) {
			placed++
		}
		examined++
		sh.advanceCandidate(best)
		candidates = slices.DeleteFunc(candidates, func(c *candidate) bool { return c.task == nil })
	}
	sh.placementIdle = placed < maxStarts
	sh.lastPassAt = sh.state.now
}

// candidates returns the first eligible task of each team that has pending tasks.
func (sh *shard) candidates() []*candidate {
	var candidates []*candidate
	for i := range sh.state.config.Teams {
		c := &sh.state.config.Teams[i]
		t := sh.teams[c.Name]
		if t == nil || t.pending.Len() == 0 {
			continue
		}
		cand := &candidate{team: t, config: c}
		sh.advanceCandidate(cand)
		if cand.task != nil {
			candidates = append(candidates, cand)
		}
	}
	return candidates
}

// advanceCandidate moves on to the team's next pending task, or to none if the quota
// doesn't allow it. A team without any use may start one task above its quota.
func (sh *shard) advanceCandidate(c *candidate) {
	c.task = c.team.next(c.task)
	if c.task == nil {
		return
	}
	after := c.team.used.Add(sh.wantedGrant(c.task))
	if !isWithinQuota(after, sh.shardQuota(c.config)) && !c.team.used.IsZero() {
		c.task.pendingReason = "the team's quota is used up"
		c.task = nil
		return
	}
	c.urgency = sh.urgencyOf(c.task)
	c.weightedShare = dominantShare(c.team.used) / float64(max(c.config.Weight, 1))
}

// urgencyOf returns the value of [candidate.urgency] for the task.
func (sh *shard) urgencyOf(t *task) int {
	switch {
	case t.job.Priority == describer.Urgent:
		return 0
	case !t.job.Deadline.IsZero() && t.job.Deadline.Sub(sh.state.now) < t.job.RunTime+deadlineSlack:
		return 1
	}
	return 2
}

// dominantShare returns the use of the resource that weighs most, in cores: 4 GiB of
// memory count as one core and an accelerator as eight.
func dominantShare(r describer.Resources) float64 {
	return max(float64(r.CPU)/1000, float64(r.Memory)/4096, float64(r.Accelerators)*8)
}

// compareCandidates orders candidates by urgency, close deadlines, weighted shares and
// names of teams.
func compareCandidates(a, b *candidate) int {
	if a.urgency != b.urgency {
		return a.urgency - b.urgency
	}
	if a.urgency == 1 && !a.task.job.Deadline.Equal(b.task.job.Deadline) {
		return a.task.job.Deadline.Compare(b.task.job.Deadline)
	}
	if a.weightedShare != b.weightedShare {
		if a.weightedShare < b.weightedShare {
			return -1
		}
		return 1
	}
	return compareStrings(a.team.name, b.team.name)
}

// placementKey identifies tasks that are the same to the placement policy. If it refused
// one of them in a pass, the others need not be tried.
type placementKey struct {
	want        describer.Resources
	class       string
	drainedFrom string
}

// tryStart records the start of the task if the placement policy finds a worker for it,
// and otherwise why not. It reports whether the task was started.
func (sh *shard) tryStart(t *task, refused map[placementKey]bool) bool {
	if sh.abandonIfExhausted(t) {
		return false
	}
	want := sh.wantedGrant(t)
	key := placementKey{want, t.job.Class, t.drainedFrom}
	isOrdinary := len(t.failedOn) == 0 && !t.needsIsolation()
	if isOrdinary && refused[key] {
		return false
	}
	if sh.isEvacuated() {
		t.pendingReason = sh.state.evacuationReason(sh.config.Domain)
		refused[key] = isOrdinary
		return false
	}
	choice := sh.state.placer.Place(sh.fleet, sh.placementRequest(t), sh.state.now)
	w := sh.workers[choice.Worker]
	if w == nil || w.account.Closed || !want.Fits(freeFor(t, w.account)) {
		t.pendingReason = choice.Reason
		if isOrdinary {
			refused[key] = true
		}
		sh.abandonIfUnplaceable(t, want)
		sh.preempt(t)
		return false
	}
	sh.recordStart(t, w, want)
	return true
}

// placementRequest describes the task to the placement policy.
func (sh *shard) placementRequest(t *task) placer.Request {
	r := placer.Request{
		Task:     t.id(),
		Job:      t.job.Job,
		Want:     sh.wantedGrant(t),
		ReturnTo: t.drainedFrom,
		Deadline: t.job.Deadline,
	}
	if t.needsIsolation() {
		r.Avoid = make(map[string]bool)
		for _, w := range sh.sortedWorkers {
			r.Avoid[w.name] = w.hasYoungRuns(sh.state.now)
		}
		return r
	}
	if sh.hasOtherWorkers(t.failedOn) {
		r.Avoid = make(map[string]bool, len(t.failedOn))
		for _, name := range t.failedOn {
			r.Avoid[name] = true
		}
	}
	return r
}

// hasOtherWorkers reports whether the shard has a worker that is neither quarantined nor
// in failedOn. Without one, a task must be tried again where it failed.
func (sh *shard) hasOtherWorkers(failedOn []string) bool {
	if len(failedOn) == 0 {
		return false
	}
	for _, w := range sh.sortedWorkers {
		if w.listed && sh.view.quarantined[w.name] == "" && !slices.Contains(failedOn, w.name) {
			return true
		}
	}
	return false
}

// recordStart records that the task is started on the worker. The worker is called once
// the record is durable.
func (sh *shard) recordStart(t *task, w *worker, want describer.Resources) {
	sh.lastSequence++
	token := describer.Token{Epoch: sh.epoch, Sequence: sh.lastSequence}
	sh.appendRecord(describer.Record{
		Kind:    describer.TaskStarted,
		Task:    t.id(),
		Worker:  w.name,
		Token:   token,
		Granted: want,
	})
	t.startPhase = startRecorded
	t.pendingReason = ""
	sh.journal.whenDurable(followUp{start: t, token: token})
	w.probeAllowed = false
	sh.updateClosed(w)
}
