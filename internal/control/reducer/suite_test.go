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

var startTime = time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC)

// harness feeds events to one State and keeps the effects until a test takes them.
type harness struct {
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

// newHarness returns a harness whose State owns the shard bne-1 and has synced with all of
// its workers.
func newHarness(workers ...string) *harness {
	h := &harness{State: New(testOptions(), Policies{Placement: placer.FirstFit{}})}
	h.feed(Tick{Now: startTime})
	h.feed(HostsReceived{Hosts: testHosts(workers...)})
	h.feed(ConfigurationReceived{Configuration: testConfiguration()})
	Expect(takeEffects[ClaimShard](h)).To(HaveLen(1))
	h.feed(ShardClaimed{Shard: "bne-1", Epoch: 1})
	h.answerSyncs(runner.SyncResult{})
	return h
}

func (h *harness) feed(e Event) { h.effects = append(h.effects, h.Reduce(e)...) }

// advance moves the time on by t in ticks of 250 ms, with a reachable store.
func (h *harness) advance(t time.Duration) {
	for end := h.now.Add(t); h.now.Before(end); {
		h.feed(Tick{Now: h.now.Add(min(250*time.Millisecond, end.Sub(h.now)))})
		h.feed(StoreChecked{Reachable: true})
	}
}

// takeEffects removes and returns the effects of one type.
func takeEffects[E Effect](h *harness) []E {
	var out []E
	var rest []Effect
	for _, one := range h.effects {
		if e, ok := one.(E); ok {
			out = append(out, e)
		} else {
			rest = append(rest, one)
		}
	}
	h.effects = rest
	return out
}

// answerAppends answers all appends, also those that follow, and returns their records.
func (h *harness) answerAppends() []describer.Record {
	var out []describer.Record
	for {
		appends := takeEffects[AppendRecords](h)
		if len(appends) == 0 {
			return out
		}
		for _, a := range appends {
			out = append(out, a.Records...)
			h.feed(RecordsAppended{Shard: a.Shard, Epoch: a.Epoch, Batch: a.Batch})
		}
		h.advance(250 * time.Millisecond)
	}
}

// answerSyncs answers all pending syncs with the same inventory.
func (h *harness) answerSyncs(s runner.SyncResult) {
	for _, c := range takeEffects[SyncWorker](h) {
		h.feed(WorkerSynced{Shard: c.Sync.Shard, Epoch: c.Sync.Epoch, Worker: c.Worker, SentAt: h.now, Synced: s})
	}
}

// answerStarts answers all pending starts with success and returns them.
func (h *harness) answerStarts() []StartTask {
	out := takeEffects[StartTask](h)
	for _, s := range out {
		h.feed(StartAnswered{Shard: s.Shard, Epoch: s.Epoch, Worker: s.Worker, Task: s.Start.Task, Token: s.Start.Token})
	}
	return out
}

func recordKinds(records []describer.Record) []describer.RecordKind {
	var out []describer.RecordKind
	for _, r := range records {
		out = append(out, r.Kind)
	}
	return out
}

func startedRun(s StartTask) runner.Run { return runner.Run{Task: s.Start.Task, Token: s.Start.Token} }

// TestMain sets a fixed seed for property tests unless the command line has one.
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
