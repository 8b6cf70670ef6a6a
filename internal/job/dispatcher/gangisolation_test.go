package dispatcher

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// gangOf returns a job whose only step is a gang.
func gangOf(count int) specifier.Job {
	return oneStep(count, func(st *specifier.Step) { st.Gang = true })
}

// TestGangInIsolationInSmallShard guards against a gang that waits for ever because each of
// its members needs a worker without another suspect, and the shard has fewer workers.
func TestGangInIsolationInSmallShard(t *testing.T) {
	one := twoLosses()[:1]
	for name, before := range map[string][][]recorder.Loss{
		"isolated members":                   {twoLosses(), twoLosses()},
		"suspect members":                    {one, one},
		"an isolated and a suspect member":   {twoLosses(), one},
		"an isolated and a faultless member": {twoLosses()},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(lossQueue, "w1")
			h.loadSuspect(gangOf(2), before...)
			h.advance(time.Second)
			starts := takeEffects[StartRun](h)
			g.Expect(starts).To(HaveLen(2))
			for _, start := range starts {
				h.confirm(start)
			}
			h.list(map[string]int64{"w1": 2})
			h.answer("w1", 2)
			// The next start of the gang has open losses.
			counted := slices.DeleteFunc(losses(h), func(l recorder.Loss) bool { return l.Open })
			g.Expect(counted).To(HaveLen(len(before[0]) + len(before[len(before)-1])*(len(before)-1) + 2))
			for _, l := range counted {
				g.Expect(l.Isolated).To(BeFalse(), "another member may have crashed the worker")
			}
		})
	}
}

// TestCrashingGangInSmallShard guards against a gang that is started without limit because its
// members share a worker, so that no loss of theirs is isolated.
func TestCrashingGangInSmallShard(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1")
	h.feed(JobArrived{Job: gangOf(2)})
	total := 0
	for incarnation := int64(2); incarnation < 12; incarnation++ {
		starts := takeEffects[StartRun](h)
		total += len(starts)
		for _, start := range starts {
			h.confirm(start)
		}
		h.list(map[string]int64{"w1": incarnation})
		h.answer("w1", incarnation)
		h.advance(time.Second)
	}
	g.Expect(total).To(Equal(2 * 5))
	g.Expect(h.jobs).To(BeEmpty(), "the job has failed")
}

// TestGangKeepsEmptyWorkers guards against a gang that waits for ever beside other work: an
// empty worker that one isolated member has found is filled again, or kept for another member
// instead of a further worker, as long as not all members find one.
func TestGangKeepsEmptyWorkers(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(lossQueue, "w1", "w2")
	running := h.occupyWorker()
	h.loadSuspect(gangOf(2), twoLosses(), twoLosses())
	for range 5 {
		h.advance(200 * time.Millisecond)
	}
	later := oneStep(8, nil)
	later.ID, later.Accepted = "ffffffffffffff02", h.now
	h.feed(JobArrived{Job: later})
	g.Expect(takeEffects[StartRun](h)).To(BeEmpty(), "both workers are kept for the gang")
	h.feed(PollAnswered{Worker: running.Worker.ID, Sent: h.now, Inventory: specifier.Inventory{
		Incarnation: 1, Clock: 2 * time.Minute, Ended: []specifier.End{{Number: 1, Task: running.Task, Run: running.Run, Outcome: specifier.OutcomeDone}},
	}})
	h.advance(100 * time.Millisecond)
	var tasks []string
	for _, start := range takeEffects[StartRun](h) {
		tasks = append(tasks, start.Task.Job)
	}
	g.Expect(tasks).To(Equal([]string{gangOf(2).ID, gangOf(2).ID}))
}
