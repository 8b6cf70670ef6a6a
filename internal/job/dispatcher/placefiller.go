package dispatcher

import (
	"slices"
	"time"
)

// setAffinity sets what makes each worker better or worse for the step: the
// interference for fillers, the share of the same image for serving tasks.
func (p *placement) setAffinity(st *step) {
	for i, w := range p.workers {
		p.candidates[i].SameImage, p.candidates[i].Interference = 0, 0
		switch {
		case st.spec.Filler:
			e := p.interference.on(p, i, st.spec.Image).scale(w.share(st.spec.Needs.CPU))
			p.candidates[i].Interference, p.growth[i] = e.mean, e.upper
			if e.upper > mildGrowth {
				p.growth[i] += p.interference.unseen[i]
			}
		case st.spec.LatencyTarget > 0:
			p.candidates[i].SameImage = w.shareOfServing(st.spec.Image)
		}
	}
}

// unplacedRequest is a request of a filler for which no worker was found in this
// placement. Room only shrinks during it.
type unplacedRequest struct {
	image, label string
	needs        need
}

// isUnplaceable reports whether a request of the same image and label that needs no
// more found no worker in this placement.
func (p *placement) isUnplaceable(st *step) bool {
	return slices.ContainsFunc(p.unplaced, func(r unplacedRequest) bool {
		return r.image == st.spec.Image && r.label == st.spec.Label &&
			r.needs.filler <= st.needs.filler && r.needs.reserved.Fits(st.needs.reserved)
	})
}

// markUnplaceable records that no worker was found for a task, unless the reason may
// lie in its step or in the task itself.
func (p *placement) markUnplaceable(st *step, t *task) {
	if st.spec.Filler && st.spec.MaxPerWorker == 0 && t.lastFailedOn == "" && !st.job.queue.Advice.Needed {
		p.unplaced = append(p.unplaced, unplacedRequest{st.spec.Image, st.spec.Label, st.needs})
	}
}

// imageInterference holds what a placement needs to know of interference, so that it
// is computed once for all steps of an image.
type imageInterference struct {
	byImage map[string][]estimate // for a filler on all CPU, of each of placement.workers
	unseen  []float64             // Shard.unseenGrowth of each of placement.workers, with the fillers that were placed
}

// on returns the interference of an image that uses all CPU of a worker.
func (m *imageInterference) on(p *placement, worker int, image string) estimate {
	if m.unseen == nil {
		m.unseen = make([]float64, len(p.workers))
		for i, w := range p.workers {
			m.unseen[i] = p.shard.unseenGrowth(w)
		}
	}
	list, ok := m.byImage[image]
	if !ok {
		list = make([]estimate, len(p.workers))
		for i, w := range p.workers {
			list[i] = p.shard.interferenceOn(w, image, w.reg.Capacity.CPU)
		}
		m.byImage[image] = list
	}
	return list[worker]
}

// mustProgress reports whether a filler starts although it brings a latency near
// its target: no task of its job has run for a while. It starts at a low pace, but
// an accepted job always goes on.
func (p *placement) mustProgress(st *step) bool {
	now := p.shard.now
	if !st.spec.Filler || now.Sub(st.job.lastEnd) < fillerPatience || st.job.hasRuns() {
		return false
	}
	t := st.oldestWaiting()
	return t != nil && now.Sub(t.waitingSince) >= fillerPatience
}

// hasRuns reports whether a task of the job has a run.
func (j *job) hasRuns() bool {
	return slices.ContainsFunc(j.steps, func(st *step) bool { return st.waiting+st.completed+st.elsewhere < len(st.tasks) })
}

const (
	// fillerPatience is how long a job waits for a worker whose serving tasks its
	// fillers don't disturb.
	fillerPatience = 2 * time.Second
	// slowStartPace is the pace, in percent, of a filler that starts after that.
	slowStartPace = 15
)
