package holder_test

import (
	"context"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/state/holder"
)

const shard = "bne-1"

// daemon is a holder that collects the events that it reports.
type daemon struct {
	*holder.Holder
	client *faker.Client

	mu        sync.Mutex
	events    []reducer.Event     // all but StoreChecked
	reachable []bool              // values of StoreChecked
	observe   func(reducer.Event) // called for all events, if set
}

func start(s *faker.Store, name string) *daemon {
	d := &daemon{client: s.Client(name)}
	d.Holder = holder.New(holder.Options{Daemon: name, Log: zerolog.Nop()}, d.client, func(e reducer.Event) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.observe != nil {
			d.observe(e)
		}
		if r, ok := e.(reducer.StoreChecked); ok {
			d.reachable = append(d.reachable, r.Reachable)
			return
		}
		d.events = append(d.events, e)
	})
	return d
}

func (d *daemon) stop() {
	_ = d.Close(context.Background())
	<-d.Done
}

// takeEvents returns the events since the last call, once all goroutines are
// idle, except those about the store.
func (d *daemon) takeEvents() []reducer.Event {
	synctest.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.events
	d.events = nil
	return out
}

// takeReachable returns the reports about the store since the last call, once
// all goroutines are idle.
func (d *daemon) takeReachable() []bool {
	synctest.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.reachable
	d.reachable = nil
	return out
}

// watch makes the daemon call f for each event; nil ends that.
func (d *daemon) watch(f func(reducer.Event)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe = f
}

// claim claims the shard and returns the first event after that, or nil if
// there is none within 10 s.
func (d *daemon) claim() reducer.Event {
	d.takeEvents()
	d.Do(reducer.ClaimShard{Shard: shard})
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if out := d.takeEvents(); len(out) > 0 {
			return out[0]
		}
	}
	return nil
}

// append appends a batch with one record for each job.
func (d *daemon) append(epoch, batch int64, jobs ...string) {
	var records []describer.Record
	for _, j := range jobs {
		records = append(records, describer.Record{Kind: describer.JobCancelled, JobID: j})
	}
	d.Do(reducer.AppendRecords{Shard: shard, Epoch: epoch, Batch: batch, Records: records})
}

// jobs returns the jobs in the records of a ShardClaimed event.
func jobs(e reducer.Event) []string {
	claimed, ok := e.(reducer.ShardClaimed)
	Expect(ok).To(BeTrue(), "%#v", e)
	out := []string{}
	for _, r := range claimed.Records {
		out = append(out, r.JobID)
	}
	return out
}

// virtual returns a function that runs f in virtual time.
func virtual(f func()) func() { return faker.WithVirtualTime(&current, f) }

var _ = Describe("Holder", func() {
	It("claims a shard, appends to its ledger and hands it over", virtual(func() {
		s := faker.New()
		a, b := start(s, "a"), start(s, "b")
		defer b.stop()
		defer a.stop()
		Expect(a.claim()).To(Equal(reducer.ShardClaimed{Shard: shard, Epoch: 1}))
		a.append(1, 1, "one")
		a.append(1, 2, "two", "three")
		time.Sleep(time.Second)
		Expect(a.takeEvents()).To(Equal([]reducer.Event{
			reducer.RecordsAppended{Shard: shard, Epoch: 1, Batch: 1},
			reducer.RecordsAppended{Shard: shard, Epoch: 1, Batch: 2},
		}))
		Expect(b.claim()).To(Equal(reducer.ClaimFailed{Shard: shard, Owner: "a"}))
		a.append(1, 3, "four")
		a.Do(reducer.ReleaseShard{Shard: shard, Epoch: 1})
		time.Sleep(time.Second)
		Expect(a.takeEvents()).To(Equal([]reducer.Event{
			reducer.RecordsAppended{Shard: shard, Epoch: 1, Batch: 3},
			reducer.ShardLost{Shard: shard, Epoch: 1},
		}))
		Expect(jobs(b.claim())).To(Equal([]string{"one", "two", "three", "four"}))
	}))
})
