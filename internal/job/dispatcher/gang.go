package dispatcher

import (
	"slices"

	"dotterelcart.dev/dotterelcart/internal/control/fitter"
)

// placeGang starts all tasks of a step together, or none.
func (p *placement) placeGang(st *step) {
	if !p.mayGangStart(st) {
		return
	}
	st.sharesWorkers = p.shard.hasTooFewWorkers(st)
	chosen, candidates := p.chooseForGang(st, func(w *worker) bool { return st.hasTicket(w, p.shard.now) })
	if len(chosen) < len(st.tasks) {
		p.emptyWorkers(st, chosen)
		p.reserveGang(st)
		return
	}
	p.candidates = candidates
	var number int64
	for _, t := range st.tasks {
		number = max(number, t.nextRun(p.shard.options.Epoch))
	}
	st.shareCheckpoint()
	for k, t := range st.tasks {
		r := p.shard.startRun(t, p.workers[chosen[k]], number)
		p.noteStart(r, chosen[k])
	}
}

// shareCheckpoint gives all members of a gang the newest checkpoint. That of any member is valid
// for all, and they work together only from the same one.
func (st *step) shareCheckpoint() {
	var newest *task
	for _, t := range st.tasks {
		if t.checkpoint != "" && (newest == nil || t.checkpointAt.After(newest.checkpointAt)) {
			newest = t
		}
	}
	if newest == nil {
		return
	}
	for _, t := range st.tasks {
		t.checkpoint, t.checkpointAt = newest.checkpoint, newest.checkpointAt
	}
}

// mayGangStart reports whether all tasks of a gang wait for nothing but workers.
func (p *placement) mayGangStart(st *step) bool {
	unknown := func(t *task) bool {
		return p.shard.mayEarlierOwnerStart(t) || p.shard.hasOrphan(t) || t.hasOpenLoss() || t.isExhausted()
	}
	return st.waiting == len(st.tasks) && !slices.ContainsFunc(st.tasks, unknown)
}

// chooseForGang returns the indices of workers for the tasks of a gang among some workers, up
// to the first task without one, and the candidates without the room that they take.
func (p *placement) chooseForGang(st *step, among func(*worker) bool) (chosen []int, candidates []fitter.Candidate) {
	candidates = slices.Clone(p.candidates)
	for _, t := range st.tasks {
		p.openFor(t, candidates)
	}
	request := st.request()
	chosen = make([]int, 0, len(st.tasks))
	count := make(map[int]int)
	for _, t := range st.tasks {
		i := fitter.Choose(candidates, request, func(i int) bool {
			w := p.workers[i]
			free := st.spec.MaxPerWorker == 0 || w.perStep[st]+count[i] < st.spec.MaxPerWorker
			isAllowed := free && p.mayBackfill(st, i) && w.reg.HasLabel(st.spec.Label) && w.runs[t.id()] == nil && among(w)
			return isAllowed && (!t.isSuspect() || (count[i] == 0 || st.sharesWorkers) && p.maySuspectStart(t, w))
		})
		if i < 0 {
			break
		}
		if st.spec.TightlyCoupled && request.Rack == "" {
			request.Rack = p.workers[i].rack
		}
		candidates[i].Reserve(&request)
		candidates[i].Closed = t.needsIsolation() && !st.sharesWorkers
		count[i]++
		chosen = append(chosen, i)
	}
	return chosen, candidates
}

// hasTooFewWorkers reports whether the shard has fewer workers than a gang with suspect
// members needs to keep these apart. They share workers then, without other runs that may
// crash them. Their losses aren't isolated, so that only the limit of all losses applies.
func (s *Shard) hasTooFewWorkers(st *step) bool {
	suspects, isolated := 0, 0
	for _, t := range st.tasks {
		if t.isImplicated() {
			suspects++
		}
		if t.needsIsolation() {
			isolated++
		}
	}
	if suspects == 0 {
		return false
	}
	needed := suspects
	if isolated == suspects && suspects < len(st.tasks) {
		needed++ // for the others, which may start beside a member that isn't isolated
	}
	available := 0
	for _, w := range s.sortedWorkers {
		if w.stays() && !w.evacuated && !w.replaced && w.couldRun(st) {
			available++
		}
	}
	return available < needed
}

// emptyWorkers keeps the workers closed in this round that isolated members of a gang have
// found, and further ones for the other members, so that all become empty in time.
func (p *placement) emptyWorkers(st *step, chosen []int) {
	for k, t := range st.tasks {
		switch {
		case k >= len(chosen):
			p.emptyWorker(t)
		case t.needsIsolation() && p.shard.now.Sub(t.waitingSince) >= otherWorkerWait:
			p.candidates[chosen[k]].Closed = true
		}
	}
}
