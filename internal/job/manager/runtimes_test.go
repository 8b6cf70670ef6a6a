package manager

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/estimator"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// TestNewOwnerStartsFromSummaries guards against a new owner that begins without what
// earlier owners and those of other shards have learned, or that loses a whole summary
// because its run times can't be read.
func TestNewOwnerStartsFromSummaries(t *testing.T) {
	g := NewWithT(t)
	key := estimator.Key{Queue: "menus", Image: "soup"}
	e := estimator.New()
	for range 40 {
		e.Observe(key, estimator.Sample{Estimate: time.Second, RunTime: 3 * time.Second, Weight: 1}, time.Unix(1, 0))
	}
	m := &Manager{view: newView(), log: zerolog.Nop()}
	g.Expect(m.learnedRunTimes()).To(BeEmpty())
	m.updateView(storer.Item{Key: recorder.LoadKey("desk"), Revision: 1, Value: recorder.Encode(recorder.Load{Workers: 2, RunTimes: e.Summary()})})
	m.updateView(storer.Item{Key: recorder.LoadKey("other"), Revision: 2, Value: []byte(`{"workers":3,"runtimes":[{"queue":7},"x"]}`)})
	g.Expect(m.View().Shards["other"].Load.Workers).To(Equal(3))
	// Most summaries don't contain the run times; the latest ones stand.
	m.updateView(storer.Item{Key: recorder.LoadKey("desk"), Revision: 3, Value: recorder.Encode(recorder.Load{Workers: 1})})
	g.Expect(m.View().Shards["desk"].Load.Workers).To(Equal(1))
	records := m.learnedRunTimes()
	g.Expect(records).To(HaveLen(1))
	next := estimator.New()
	next.Start(records[0])
	g.Expect(next.Predict(key, time.Second).RunTime).To(BeNumerically("~", 3*time.Second, 500*time.Millisecond))
}
