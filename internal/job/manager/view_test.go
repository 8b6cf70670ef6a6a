package manager

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// newViewer returns a manager of which only the view is used.
func newViewer() *Manager { return &Manager{view: newView(), log: zerolog.Nop()} }

// apply applies records to the view.
func (m *Manager) apply(isWhole bool, items ...storer.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyItems(items, isWhole)
}

// loadItem returns the record of a load summary of the shard "desk".
func loadItem(revision, epoch int64, workers int) storer.Item {
	return storer.Item{
		Key: recorder.LoadKey("desk"), Revision: revision, Value: recorder.Encode(recorder.Load{Epoch: epoch, Workers: workers}),
	}
}

// hostItem returns the record of an entry host.
func hostItem(name string, format int) storer.Item {
	return storer.Item{Key: recorder.HostKey(name), Revision: 1, Value: recorder.Encode(recorder.Host{Domain: "bne", Format: format})}
}

// ownerItem returns the record of the owner of the shard "desk".
func ownerItem(revision int64, name string) storer.Item {
	return storer.Item{Key: recorder.OwnerKey("desk"), Revision: revision, Value: recorder.Encode(recorder.Owner{Daemon: name})}
}

// TestViewKeepsLatestLoad checks, for load summaries that reach a daemon in any order, as a record or as
// what it has written itself, that the view ends at the last one and never returns to an earlier owner's.
func TestViewKeepsLatestLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		epochs := rapid.SliceOfN(rapid.Int64Range(0, 1), 1, 12).Draw(t, "steps")
		order := rapid.Permutation(indices(len(epochs))).Draw(t, "order")
		for i := 1; i < len(epochs); i++ {
			epochs[i] += epochs[i-1]
		}
		m := newViewer()
		highest := int64(0)
		for _, i := range order {
			revision := int64(i + 1)
			if rapid.Bool().Draw(t, "own") {
				m.updateOwnLoad("desk", recorder.Load{Epoch: epochs[i], Workers: i}, revision)
			} else {
				m.apply(rapid.Bool().Draw(t, "whole"), loadItem(revision, epochs[i], i))
			}
			epoch := m.View().Shards["desk"].Load.Epoch
			g.Expect(epoch).To(BeNumerically(">=", highest))
			highest = epoch
		}
		g.Expect(m.View().Shards["desk"].Load.Workers).To(Equal(len(epochs) - 1))
	})
}

// indices returns the numbers from 0 to n-1.
func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestLoadOfEarlierVersion guards against the load summary of a replaced owner of an earlier version, which
// has no epoch and replaces any other, and against ignoring that of the present owner, for the same reason.
func TestLoadOfEarlierVersion(t *testing.T) {
	const present, former = 5, 3 // numbers of workers
	for name, c := range map[string]struct {
		owner   string
		workers int
	}{
		"owner of this version":     {"new", present},
		"owner of earlier version":  {"old", former},
		"owner without host record": {"unknown", present},
		"no owner":                  {"", present},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newViewer()
			records := []storer.Item{hostItem("new", recorder.LoadEpochs), hostItem("old", recorder.FiniteTransfers), loadItem(2, 7, present)}
			if c.owner != "" {
				records = append(records, ownerItem(3, c.owner))
			}
			m.apply(true, records...)
			m.apply(false, loadItem(4, 0, former))
			g.Expect(m.View().Shards["desk"].Load.Workers).To(Equal(c.workers))
			// A new list has the same record.
			records[2] = loadItem(4, 0, former)
			m.apply(true, records...)
			g.Expect(m.View().Shards["desk"].Load.Workers).To(Equal(c.workers))
			m.apply(false, loadItem(5, 8, 1))
			g.Expect(m.View().Shards["desk"].Load.Workers).To(Equal(1))
		})
	}
}

// TestFirstLoadMayBeOfFormerOwner guards against a daemon that uses no load summary, and so answers that no
// job is pending, because the present owner hasn't published one yet.
func TestFirstLoadMayBeOfFormerOwner(t *testing.T) {
	g := NewWithT(t)
	m := newViewer()
	m.apply(true, hostItem("new", recorder.LoadEpochs), loadItem(2, 0, 3), ownerItem(3, "new"))
	g.Expect(m.View().Shards["desk"].Load.Workers).To(Equal(3))
}

// TestListedLoadIsAsOldAsBefore guards against a load summary that counts as new each time all records are
// listed, though its owner may be gone.
func TestListedLoadIsAsOldAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newViewer()
		m.apply(true, loadItem(2, 0, 3), ownerItem(1, "a"))
		received := m.View().Shards["desk"].LoadReceived
		time.Sleep(time.Minute)
		m.apply(true, loadItem(2, 0, 3))
		shard := m.View().Shards["desk"]
		g.Expect(shard.Owner).To(BeEmpty())
		g.Expect(shard.LoadReceived).To(Equal(received))
	})
}
