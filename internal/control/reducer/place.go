package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Bounds of one placement pass.
const (
	maxRefusals   = 32              // refusals by the policy, after which a pass ends
	maxExamined   = 2048            // tasks looked at in one pass
	maxStarts     = 512             // starts in one pass
	passInterval  = 5 * time.Second // without a known cause; limits may end with time alone
	deadlineSlack = 2 * time.Minute
)

// candidate is a team's next task in a placement pass.
type candidate struct {
	team          *team
	config        *describer.Team
	task          *task
	urgency       int     // 0 urgent, 1 close to its deadline, 2 other
	weightedShare float64 // dominant use over weight
}

// place starts pending tasks in order of urgency, of pressing deadlines and
// of the teams' weighted shares, until nothing more fits. It runs only when
// an append may go out, so that decisions come in groups.
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

// advance moves to the team's next task that its quota allows.
func (sh *shard) advanceCandidate(c *candidate) {
	c.task = c.team.next(c.task)
	if c.task == nil {
		return
	}
	after := c.team.used.Add(sh.wantedGrant(c.task))
	if !isWithinQuota(after, sh.shardQuota(c.config)) && !c.team.used.IsZero() {
		c.task.pendingReason = "team quota exhausted"
		c.task = nil
		return
	}
	c.urgency = sh.urgencyOf(c.task)
	c.weightedShare = dominantShare(c.team.used) / float64(max(c.config.Weight, 1))
}

func (sh *shard) urgencyOf(t *task) int {
	switch {
	case t.job.Priority == describer.Urgent:
		return 0
	case !t.job.Deadline.IsZero() && t.job.Deadline.Sub(sh.state.now) < t.job.RunTime+deadlineSlack:
		return 1
	}
	return 2
}

// dominant weighs use as processor or as memory, whichever is more: 4 GiB
// count as one core.
func dominantShare(r describer.Resources) float64 {
	return max(float64(r.CPU)/1000, float64(r.Memory)/4096, float64(r.Accelerators)*8)
}

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

// placeKey stands for all tasks that a policy can't tell apart.
type placementKey struct {
	want       describer.Resources
	class      string
	drainedOff string
}

// startOne records the start of the task if the policy has a worker for it.
func (sh *shard) tryStart(t *task, refused map[placementKey]bool) bool {
	want := sh.wantedGrant(t)
	key := placementKey{want, t.job.Class, t.drainedOff}
	if len(t.failedOn) == 0 && refused[key] {
		return false
	}
	choice := sh.state.placer.Place(sh.fleet, sh.placementRequest(t), sh.state.now)
	w := sh.workers[choice.Worker]
	if w == nil || w.account.Closed || !want.Fits(roomFor(t, w.account)) {
		t.pendingReason = choice.Why
		if len(t.failedOn) == 0 {
			refused[key] = true
		}
		sh.failIfUnplaceable(t, want)
		sh.makeRoom(t)
		return false
	}
	sh.recordStart(t, w, want)
	return true
}

func (sh *shard) placementRequest(t *task) placer.Request {
	r := placer.Request{
		Task:     t.id(),
		Job:      t.job.Job,
		Want:     sh.wantedGrant(t),
		HomeTo:   t.drainedOff,
		Deadline: t.job.Deadline,
	}
	if sh.hasOtherWorkers(t.failedOn) {
		r.Avoid = make(map[string]bool, len(t.failedOn))
		for _, name := range t.failedOn {
			r.Avoid[name] = true
		}
	}
	return r
}

// hasOthers reports whether there is a sound worker beside those on which a
// task failed. Without one the task has to be tried again where it failed.
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

// start records that the task may run on the worker; the worker is asked once
// that is durable.
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
