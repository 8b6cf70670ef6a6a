package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// failingTask starts a task over and over, whose runs fail at once, under one owner after the other.
type failingTask struct {
	g        Gomega
	job      specifier.Job
	progress recorder.Progress // the durable one
	epoch    int64             // of the next owner
	lastRun  int64             // highest number of a run so far
	lastEnd  int64             // number of the last end
}

// run lets an owner start the task a number of times. Each run ends, and its end is acknowledged.
func (f *failingTask) run(starts int) {
	h := &harness{Shard: New(Options{Name: "desk", Epoch: f.epoch, Lease: simLease, OutageLimit: simOutageLimit}, epoch)}
	f.epoch++
	queue := specifier.Queue{Name: "menus", Slack: 2, Attempts: 2}
	h.feed(CatalogUpdated{Catalog: &specifier.Catalog{Version: 1, Queues: []specifier.Queue{queue}}},
		JobLoaded{Job: f.job, Progress: f.progress, Started: f.epoch > 1},
		WorkersListed{Workers: []specifier.Worker{{ID: "w1", Incarnation: 1, Capacity: describer.Resources{CPU: 4000, Memory: 1000}}}})
	inventory := specifier.Inventory{Incarnation: 1, Clock: time.Minute}
	for started := 0; started < starts; {
		inventory.Clock += 100 * time.Millisecond
		h.feed(PollAnswered{Worker: "w1", Sent: h.now, Inventory: inventory})
		inventory.Ended = nil
		h.advance(100 * time.Millisecond)
		f.noteCommits(takeEffects[Commit](h))
		orders := takeEffects[StartRun](h)
		h.effects = nil // the others
		for _, order := range orders {
			f.g.Expect(order.Run).To(BeNumerically(">", f.lastRun), "under owner %d", f.epoch-1)
			f.lastRun = order.Run
			started++
			f.lastEnd++
			h.feed(StartAnswered{Worker: "w1", Incarnation: 1, Task: order.Task, Run: order.Run})
			inventory.Ended = []specifier.End{{Number: f.lastEnd, Task: order.Task, Run: order.Run, Outcome: specifier.OutcomeFailed}}
		}
	}
}

// noteCommits notes the progress that became durable.
func (f *failingTask) noteCommits(commits []Commit) {
	for _, c := range commits {
		for _, change := range c.Changes {
			f.progress = change.Progress
		}
	}
}

// TestRunNumbersRiseOverOwners guards against a new owner whose run numbers are lower than those of an
// earlier one that has started a task more often than an ownership has numbers: workers refuse its starts.
func TestRunNumbersRiseOverOwners(t *testing.T) {
	for name, starts := range map[string][]int{
		"one more than an ownership has": {runsPerEpoch + 1, 3, 3},
		"many more":                      {8*runsPerEpoch + 7, 3, runsPerEpoch, 3},
		"at each owner":                  {2*runsPerEpoch + 1, 2*runsPerEpoch + 1, 2*runsPerEpoch + 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := &failingTask{g: NewWithT(t), job: oneStep(1, func(st *specifier.Step) { st.LongRunning = true })}
			for _, n := range starts {
				f.run(n)
			}
		})
	}
}
