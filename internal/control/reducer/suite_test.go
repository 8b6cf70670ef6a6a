package reducer

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

func TestReducer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reducer")
}

var start = time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC)

// desk drives one State by hand: it keeps the effects until a spec answers.
type desk struct {
	*State
	effects []Effect
}

func testOptions() Options {
	return Options{
		Daemon: "entry-1", Domain: "seq-bne", Region: "seq",
		TaskLease: 30 * time.Second, LeaseMargin: 5 * time.Second, SyncInterval: 5 * time.Second,
		OutageLimit: time.Minute,
	}
}

func testConfiguration() describer.Configuration {
	return describer.Configuration{
		Revision: 1,
		Services: []describer.Service{{Name: "menu-desk"}},
		Teams:    []describer.Team{{Name: "council", Weight: 1}, {Name: "tourism", Weight: 1}},
		Shards:   []describer.Shard{{ID: "bne-1", Domain: "seq-bne", Racks: []string{"r1"}}},
	}
}

func testHosts(names ...string) []describer.Host {
	var out []describer.Host
	for _, name := range names {
		out = append(out, describer.Host{
			Name: name, Role: describer.Worker, Domain: "seq-bne", Region: "seq", Rack: "r1",
			State: describer.Live, Control: name + ":1", Address: name + ":2", Slots: 8, Connections: 64,
			Capacity: describer.Resources{CPU: 4000, Memory: 8192}, Services: []string{"menu-desk"},
		})
	}
	return out
}

func testJob(id string, tasks int) describer.Job {
	return describer.Job{
		ID: id, Team: "council", Class: "translate", Tasks: tasks,
		Declared: describer.Resources{CPU: 1000, Memory: 1024}, RunTime: time.Minute,
	}
}

// newDesk returns a State that owns its shard, with inventories from all of
// its workers.
func newDesk(workers ...string) *desk {
	d := &desk{State: New(testOptions(), Policies{Placement: placer.FirstFit{}})}
	d.do(Tick{Now: start})
	d.do(HostsReceived{Hosts: testHosts(workers...)})
	d.do(ConfigurationReceived{Configuration: testConfiguration()})
	Expect(taken[ClaimShard](d)).To(HaveLen(1))
	d.do(ShardClaimed{Shard: "bne-1", Epoch: 1})
	d.inventory(runner.SyncResult{})
	return d
}

func (d *desk) do(e Event) { d.effects = append(d.effects, d.Reduce(e)...) }

func (d *desk) wait(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end); {
		d.do(Tick{Now: d.now.Add(min(250*time.Millisecond, end.Sub(d.now)))})
		d.do(StoreChecked{Reachable: true})
	}
}

// taken removes and returns the effects of one type.
func taken[E Effect](d *desk) []E {
	var out []E
	var rest []Effect
	for _, one := range d.effects {
		if e, ok := one.(E); ok {
			out = append(out, e)
		} else {
			rest = append(rest, one)
		}
	}
	d.effects = rest
	return out
}

// durable answers all appends and returns their records.
func (d *desk) durable() []describer.Record {
	var out []describer.Record
	for {
		appends := taken[AppendRecords](d)
		if len(appends) == 0 {
			return out
		}
		for _, a := range appends {
			out = append(out, a.Records...)
			d.do(RecordsAppended{Shard: a.Shard, Epoch: a.Epoch, Batch: a.Batch})
		}
		d.wait(250 * time.Millisecond)
	}
}

// inventory answers all outstanding calls for inventories alike.
func (d *desk) inventory(s runner.SyncResult) {
	for _, c := range taken[SyncWorker](d) {
		d.do(WorkerSynced{Shard: c.Sync.Shard, Epoch: c.Sync.Epoch, Worker: c.Worker, SentAt: d.now, Synced: s})
	}
}

// started answers all starts with success and returns them.
func (d *desk) started() []StartTask {
	out := taken[StartTask](d)
	for _, s := range out {
		d.do(StartAnswered{Shard: s.Shard, Epoch: s.Epoch, Worker: s.Worker, Task: s.Start.Task, Token: s.Start.Token})
	}
	return out
}

func kinds(records []describer.Record) []describer.RecordKind {
	var out []describer.RecordKind
	for _, r := range records {
		out = append(out, r.Kind)
	}
	return out
}

func runOf(s StartTask) runner.Run { return runner.Run{Task: s.Start.Task, Token: s.Start.Token} }

// TestMain fixes the seed of property tests unless the command line has one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	_ = flag.Set("rapid.nofailfile", "true")
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
