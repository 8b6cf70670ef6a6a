package reducer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
)

// Size of one failure domain if the target fleet of 27,000 workers and 950,000 running
// tasks is divided into 11 failure domains.
const (
	domainWorkers = 27_000 / 11
	domainTasks   = 950_000 / 11
	domainShards  = 12
	domainTeams   = 480
)

// newFullState returns a State that owns domainShards shards and has synced with all
// workers, with tasks running on each of them.
func newFullState(workers, tasks int, policy placer.Policy) *State {
	o := testOptions()
	s := New(o, Policies{Placement: policy})
	c := describer.Configuration{Revision: 1, Services: []describer.Service{{Name: "menu-desk", Target: time.Second}}}
	for i := range domainTeams {
		c.Teams = append(c.Teams, describer.Team{Name: fmt.Sprintf("team-%03d", i), Weight: 1})
	}
	for i := range domainShards {
		c.Shards = append(c.Shards, describer.Shard{ID: fmt.Sprintf("s%02d", i), Domain: o.Domain, Racks: []string{fmt.Sprint(i)}})
	}
	var hosts []describer.Host
	for i := range workers {
		host := testHosts(fmt.Sprintf("w%05d", i))[0]
		host.Rack = fmt.Sprint(i % domainShards)
		host.Capacity = describer.Resources{CPU: 64_000, Memory: 250_000}
		hosts = append(hosts, host)
	}
	s.Reduce(Tick{Now: startTime})
	s.Reduce(HostsReceived{Hosts: hosts})
	s.Reduce(ConfigurationReceived{Configuration: c})
	records := newFullLedgers(hosts, tasks)
	for _, one := range c.Shards {
		answerAllSyncs(s, s.Reduce(ShardClaimed{Shard: one.ID, Epoch: 1, Records: records[one.ID]}))
	}
	return s
}

// answerAllSyncs answers all syncs among the effects, and those that follow from them.
func answerAllSyncs(s *State, effects []Effect) {
	for _, e := range effects {
		if call, ok := e.(SyncWorker); ok {
			answerAllSyncs(s, s.Reduce(inventoryOf(s, call)))
		}
	}
}

// newFullLedgers returns the records of each shard for jobs of 10 tasks that are spread
// over the workers.
func newFullLedgers(hosts []describer.Host, tasks int) map[string][]describer.Record {
	out := make(map[string][]describer.Record)
	each := len(hosts) / domainShards
	for n := 0; n < tasks; n += 10 {
		number := n / 10
		shard := number % domainShards
		id := fmt.Sprintf("s%02d", shard)
		job := testJob(fmt.Sprintf("0b5f8a52-job-%06d", n), 10)
		job.Team = fmt.Sprintf("team-%03d", number%domainTeams)
		out[id] = append(out[id], describer.Record{Kind: describer.JobAccepted, Time: startTime, Job: &job})
		for i := range 10 {
			at := (number/domainShards*10+i)%each*domainShards + shard
			out[id] = append(out[id], describer.Record{
				Kind: describer.TaskStarted, Time: startTime, Task: describer.TaskID{Job: job.ID, Index: i},
				Worker: hosts[at].Name, Token: describer.Token{Epoch: 1, Sequence: int64(n + i)},
				Granted: describer.Resources{CPU: 1000, Memory: 4000},
			})
		}
	}
	return out
}

// inventoryOf answers a sync with the runs that the State has recorded for the worker.
func inventoryOf(s *State, call SyncWorker) WorkerSynced {
	out := WorkerSynced{Shard: call.Sync.Shard, Epoch: call.Sync.Epoch, Worker: call.Worker, SentAt: s.now}
	out.Synced.Clock = s.now
	for _, t := range s.shards[call.Sync.Shard].workers[call.Worker].runs {
		out.Synced.Running = append(out.Synced.Running, runner.ActiveRun{
			Run: runner.Run{Task: t.id(), Token: t.token}, Granted: t.granted, Used: t.granted.Sub(describer.Resources{CPU: 300}),
		})
	}
	return out
}

// forEachSize runs a benchmark at one eighth to all of a failure domain's size.
func forEachSize(b *testing.B, run func(b *testing.B, s *State)) {
	for _, part := range []int{8, 4, 2, 1} {
		workers, tasks := domainWorkers/part, domainTasks/part
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, tasks), func(b *testing.B) {
			s := newFullState(workers, tasks, placer.FirstFit{})
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s)
		})
	}
}

// BenchmarkSync measures one sync: emitting the call and processing the inventory. A
// daemon does this once per worker and sync interval.
func BenchmarkSync(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *State) {
		for n := 0; n < b.N; {
			effects := s.Reduce(Tick{Now: s.now.Add(10 * time.Millisecond)})
			s.Reduce(StoreChecked{Reachable: true})
			for _, e := range effects {
				call, ok := e.(SyncWorker)
				if !ok {
					continue
				}
				n++
				b.StopTimer()
				answer := inventoryOf(s, call)
				b.StartTimer()
				s.Reduce(answer)
			}
		}
	})
}

// BenchmarkTick measures a tick at which no timer is due.
func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *State) {
		s.timers = timers{}
		for range b.N {
			s.Reduce(Tick{Now: s.now})
		}
	})
}

// BenchmarkTask measures a job of one task from its submission to its durable end.
func BenchmarkTask(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *State) {
		for n := range b.N {
			runTaskToEnd(s, newJob(n))
		}
	})
}

func newJob(n int) describer.Job {
	job := testJob(fmt.Sprintf("new-%d", n), 1)
	job.Team = "team-007"
	return job
}

// runTaskToEnd submits the job and executes the effects until there are none left.
func runTaskToEnd(s *State, job describer.Job) {
	work := s.Reduce(SubmitRequested{Request: 1, Job: job})
	for len(work) > 0 {
		e := work[0]
		work = work[1:]
		switch e := e.(type) {
		case AppendRecords:
			s.now = s.now.Add(100 * time.Millisecond)
			work = append(work, s.Reduce(RecordsAppended{Shard: e.Shard, Epoch: e.Epoch, Batch: e.Batch})...)
		case StartTask:
			s.Reduce(StartAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Start.Task, Token: e.Start.Token})
			sh := s.shards[e.Shard]
			sh.recordFinished(sh.view.task(e.Start.Task), sh.workers[e.Worker], nil)
			work = append(work, s.Reduce(StoreChecked{Reachable: true})...)
		}
	}
}

// BenchmarkPlace measures the choice of a worker by the default placement policy.
func BenchmarkPlace(b *testing.B) {
	s := newFullState(domainWorkers, domainTasks, nil)
	sh := s.sortedShards[0]
	job := testJob("new", 1)
	job.Team = "team-007"
	r := placer.Request{Task: describer.TaskID{Job: "new"}, Job: &job, Want: job.Declared}
	b.ReportAllocs()
	for b.Loop() {
		s.placer.Place(sh.fleet, r, s.now)
	}
}

// BenchmarkPublish measures a routing table of all workers of one failure domain.
func BenchmarkPublish(b *testing.B) {
	s := newFullState(domainWorkers, 10, placer.FirstFit{})
	b.ReportAllocs()
	for b.Loop() {
		s.publish()
		s.effects = nil
	}
}

// BenchmarkSnapshot measures the snapshot of one shard.
func BenchmarkSnapshot(b *testing.B) {
	s := newFullState(domainWorkers, domainTasks, placer.FirstFit{})
	sh := s.sortedShards[0]
	b.ReportAllocs()
	for b.Loop() {
		sh.state.minSnapshotRecords = 0
		sh.journal.recordsSinceSnapshot = 1 << 20
		s.effects = nil
		sh.maybeSnapshot()
		b.ReportMetric(float64(len(s.effects[0].(SaveSnapshot).Data)), "B/snapshot")
	}
}

// BenchmarkMemory reports the live heap size of a full State.
func BenchmarkMemory(b *testing.B) {
	for _, part := range []int{8, 4, 2, 1} {
		workers, tasks := domainWorkers/part, domainTasks/part
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, tasks), func(b *testing.B) {
			for range b.N {
				before := liveHeap()
				s := newFullState(workers, tasks, placer.FirstFit{})
				b.ReportMetric(float64(liveHeap()-before)/(1<<20), "MiB")
				runtime.KeepAlive(s)
			}
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
