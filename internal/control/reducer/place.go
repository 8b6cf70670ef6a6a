package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
)

// Bounds of one placement pass.
const (
	maxMisses    = 32              // refusals by the policy, after which a pass ends
	maxExamined  = 2048            // tasks looked at in one pass
	maxPlaced    = 512             // starts in one pass
	passInterval = 5 * time.Second // without a known cause; limits may end with time alone
	pressingTime = 2 * time.Minute
)

// candidate is a team's next task in a placement pass.
type candidate struct {
	team   *team
	config *describer.Team
	task   *task
	class  int     // 0 urgent, 1 close to its deadline, 2 other
	share  float64 // dominant use over weight
}

// place starts pending tasks in order of urgency, of pressing deadlines and
// of the teams' weighted shares, until nothing more fits. It runs only when
// an append may go out, so that decisions come in groups.
func (h *shard) place() {
	if h.idle && h.state.now.Sub(h.passed) < passInterval || !h.isDeciding() || !h.state.reached || !h.mayFlush() || h.journal.isFull() {
		return
	}
	missed := make(map[placeKey]bool)
	h.useRooms()
	line := h.candidates()
	examined, placed := 0, 0
	for len(line) > 0 && len(missed) < maxMisses && placed < maxPlaced && examined < maxExamined {
		best := slices.MinFunc(line, compareCandidates)
		if h.startOne(best.task, missed) {
			placed++
		}
		examined++
		h.advance(best)
		line = slices.DeleteFunc(line, func(c *candidate) bool { return c.task == nil })
	}
	h.idle = placed < maxPlaced
	h.passed = h.state.now
}

func (h *shard) candidates() []*candidate {
	var line []*candidate
	for i := range h.state.config.Teams {
		c := &h.state.config.Teams[i]
		t := h.teams[c.Name]
		if t == nil || t.pending.Len() == 0 {
			continue
		}
		one := &candidate{team: t, config: c}
		h.advance(one)
		if one.task != nil {
			line = append(line, one)
		}
	}
	return line
}

// advance moves to the team's next task that its quota allows.
func (h *shard) advance(c *candidate) {
	c.task = c.team.next(c.task)
	if c.task == nil {
		return
	}
	after := c.team.used.Add(h.want(c.task))
	if !isWithin(after, h.quota(c.config)) && !c.team.used.IsZero() {
		c.task.policy = "the team's quota is used up"
		c.task = nil
		return
	}
	c.class = h.classOf(c.task)
	c.share = dominant(c.team.used) / float64(max(c.config.Weight, 1))
}

func (h *shard) classOf(t *task) int {
	switch {
	case t.job.Priority == describer.Urgent:
		return 0
	case !t.job.Deadline.IsZero() && t.job.Deadline.Sub(h.state.now) < t.job.RunTime+pressingTime:
		return 1
	}
	return 2
}

// dominant weighs use as processor or as memory, whichever is more: 4 GiB
// count as one core.
func dominant(r describer.Resources) float64 {
	return max(float64(r.CPU)/1000, float64(r.Memory)/4096, float64(r.Accelerators)*8)
}

func compareCandidates(a, b *candidate) int {
	if a.class != b.class {
		return a.class - b.class
	}
	if a.class == 1 && !a.task.job.Deadline.Equal(b.task.job.Deadline) {
		return a.task.job.Deadline.Compare(b.task.job.Deadline)
	}
	if a.share != b.share {
		if a.share < b.share {
			return -1
		}
		return 1
	}
	return compareText(a.team.name, b.team.name)
}

// placeKey stands for all tasks that a policy can't tell apart.
type placeKey struct {
	want  describer.Resources
	class string
	home  string
}

// startOne records the start of the task if the policy has a worker for it.
func (h *shard) startOne(t *task, missed map[placeKey]bool) bool {
	want := h.want(t)
	key := placeKey{want, t.job.Class, t.drainedOff}
	if len(t.failedOn) == 0 && missed[key] {
		return false
	}
	choice := h.state.placer.Place(h.fleet, h.request(t), h.state.now)
	w := h.workers[choice.Worker]
	if w == nil || w.account.Closed || !want.Fits(room(t, w.account)) {
		t.policy = choice.Reason
		if len(t.failedOn) == 0 {
			missed[key] = true
		}
		h.maySetAside(t, want)
		h.makeRoom(t)
		return false
	}
	h.start(t, w, want)
	return true
}

func (h *shard) request(t *task) placer.Request {
	r := placer.Request{
		Task:     t.id(),
		Job:      t.job.Job,
		Want:     h.want(t),
		ReturnTo: t.drainedOff,
		Deadline: t.job.Deadline,
	}
	if h.hasOthers(t.failedOn) {
		r.Avoid = make(map[string]bool, len(t.failedOn))
		for _, name := range t.failedOn {
			r.Avoid[name] = true
		}
	}
	return r
}

// hasOthers reports whether there is a sound worker beside those on which a
// task failed. Without one the task has to be tried again where it failed.
func (h *shard) hasOthers(failedOn []string) bool {
	if len(failedOn) == 0 {
		return false
	}
	for _, w := range h.order {
		if w.listed && h.book.asides[w.name] == "" && !slices.Contains(failedOn, w.name) {
			return true
		}
	}
	return false
}

// start records that the task may run on the worker; the worker is asked once
// that is durable.
func (h *shard) start(t *task, w *worker, want describer.Resources) {
	h.sequence++
	token := describer.Token{Epoch: h.epoch, Sequence: h.sequence}
	h.append(describer.Record{
		Kind:    describer.TaskStarted,
		Task:    t.id(),
		Worker:  w.name,
		Token:   token,
		Granted: want,
	})
	t.phase = decided
	t.policy = ""
	h.journal.then(consequence{start: t, token: token})
	w.probing = false
	h.refresh(w)
}
