package executor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
)

// Times of the test deployment, as in the scenarios of package rehearser.
const (
	testTick     = 100 * time.Millisecond
	testTimeout  = time.Second
	testLease    = 4 * time.Second
	testMargin   = 500 * time.Millisecond
	testInterval = 500 * time.Millisecond
)

// testEpoch is the epoch under which the shard is claimed.
const testEpoch = 2

// slowCall is the duration of a call that is answered just in time.
const slowCall = testTimeout - testTick

var (
	testShard = describer.Shard{ID: "s", Domain: "d", Racks: []string{"r"}}
	testTeam  = describer.Team{Name: "t", Weight: 1}

	testGrant = describer.Resources{CPU: 1000, Memory: 1024}

	errLost = errors.New("answer lost")
)

// rig is an Executor with two stand-in workers and a store that answers at once.
type rig struct {
	*Executor
	audit  *auditor.Auditor
	agents map[string]*hoster.Agent // workers by address

	// sync carries out calls of Sync.
	sync func(r *rig, address string, s runner.SyncRequest) (runner.SyncResult, error)
	// former is the ledger of the shard when it is claimed.
	former []describer.Record
	// claim is called by the control goroutine when it claims the shard, if set.
	claim func(r *rig)
	// stall is the duration in ns for which the control goroutine stands still at the
	// next append.
	stall atomic.Int64
}

// start starts the rig. It claims a shard with the workers w1 and w2.
func (r *rig) start() {
	r.audit, r.agents = auditor.New(), make(map[string]*hoster.Agent)
	var hosts []describer.Host
	for _, name := range []string{"w1", "w2"} {
		h := describer.Host{
			Name: name, Role: describer.Worker, Domain: testShard.Domain, Rack: testShard.Racks[0], State: describer.Live,
			Control: name, Capacity: describer.Resources{CPU: 4000, Memory: 4096},
		}
		r.agents[name] = hoster.NewAgent(hoster.Options{Host: h}, r.audit)
		hosts = append(hosts, h)
	}
	r.Executor = New(Options{
		State: reducer.New(reducer.Options{
			Daemon: "a", Domain: testShard.Domain, TaskLease: testLease, LeaseMargin: testMargin, SyncInterval: testInterval,
		}, reducer.Policies{Placement: placer.FirstFit{}}),
		Ledger: r, Worker: r, Publish: func(*describer.RoutingTable) {},
		Interval: testTick, Timeout: testTimeout, MaxCalls: 10,
		Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	r.Post(reducer.HostsReceived{Hosts: hosts})
	r.Post(reducer.ConfigurationReceived{Configuration: describer.Configuration{
		Revision: 1, Shards: []describer.Shard{testShard}, Teams: []describer.Team{testTeam},
	}})
	time.Sleep(testLease) // until the shard is claimed
}

// close ends the Executor and the workers.
func (r *rig) close() {
	r.Close()
	for _, a := range r.agents {
		a.Kill()
	}
}

// testJob returns a job of one task that runs for longer than any test.
func testJob(id string) describer.Job {
	return describer.Job{ID: id, Team: testTeam.Name, Tasks: 1, RunTime: time.Hour, Declared: testGrant}
}

// submit submits a job.
func (r *rig) submit(id string) { r.Post(reducer.SubmitRequested{Job: testJob(id)}) }

// Do implements Ledger.
func (r *rig) Do(effect reducer.Effect) bool {
	var answer reducer.Event
	switch e := effect.(type) {
	case reducer.ClaimShard:
		if r.claim != nil {
			r.claim(r)
		}
		answer = reducer.ShardClaimed{Shard: e.Shard, Epoch: testEpoch, Records: r.former}
	case reducer.AppendRecords:
		time.Sleep(time.Duration(r.stall.Swap(0)))
		answer = reducer.RecordsAppended{Shard: e.Shard, Epoch: e.Epoch, Batch: e.Batch}
	default:
		return false
	}
	go r.Post(answer)
	return true
}

// Start implements runner.Worker.
func (r *rig) Start(_ context.Context, address string, s runner.StartRequest) error {
	_, err := r.agents[address].Start(s)
	return err
}

// Stop implements runner.Worker.
func (r *rig) Stop(_ context.Context, address string, s runner.StopRequest) (runner.StopResult, error) {
	return r.agents[address].Stop(s)
}

// Throttle implements runner.Worker.
func (r *rig) Throttle(_ context.Context, address string, t runner.ThrottleRequest) error {
	return r.agents[address].Throttle(t)
}

// Sync implements runner.Worker.
func (r *rig) Sync(_ context.Context, address string, s runner.SyncRequest) (runner.SyncResult, error) {
	return r.sync(r, address, s)
}

// TestStalledOwnerWaitsForLeases guards against a task that runs twice because its owner
// stood still while a sync was answered. The ticks of that time come late, so the owner
// takes the call for shorter than it was. It then underestimates how far the worker's clock
// was ahead of the start of the call, and with it the end of the leases that it grants by
// that clock. The later syncs arrive just as slowly, and their answers are lost.
func TestStalledOwnerWaitsForLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		slow := "" // address of the worker with the first run
		r := &rig{sync: func(r *rig, address string, s runner.SyncRequest) (runner.SyncResult, error) {
			mu.Lock()
			first := slow == "" && len(s.Renew) > 0
			if first {
				slow = address
				r.stall.Store(int64(testTimeout))
				r.submit("other")
			}
			isSlow := slow == address
			mu.Unlock()
			if !isSlow {
				return r.agents[address].Sync(s)
			}
			time.Sleep(slowCall)
			out, err := r.agents[address].Sync(s)
			if !first {
				return runner.SyncResult{}, errLost
			}
			return out, err
		}}
		r.start()
		defer r.close()
		r.submit("job")
		time.Sleep(time.Minute)
		r.checkRestarted(t)
	})
}

// TestStalledClaimWaitsForLeases guards against a task that runs twice because its new
// owner stood still while the shard was claimed. By the last tick the claim is earlier than
// it was, and so is the end of the leases that the former owner recorded with its release.
func TestStalledClaimWaitsForLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		former := runner.StartRequest{
			Task: describer.TaskID{Job: "job"}, Token: describer.Token{Epoch: testEpoch - 1, Sequence: 1},
			Granted: testGrant, Lease: testLease, RunTime: time.Hour,
		}
		job := testJob("job")
		r := &rig{
			former: []describer.Record{
				{Kind: describer.JobAccepted, Job: &job},
				{Kind: describer.TaskStarted, Task: former.Task, Worker: "w1", Token: former.Token, Granted: testGrant},
				{Kind: describer.ShardReleased, Token: describer.Token{Epoch: testEpoch - 1}, LeaseWait: testLease},
			},
			claim: func(r *rig) {
				time.Sleep(testLease / 2)
				_, _ = r.agents["w1"].Start(former)
			},
			sync: func(r *rig, address string, s runner.SyncRequest) (runner.SyncResult, error) {
				if address == "w1" {
					return runner.SyncResult{}, errLost
				}
				return r.agents[address].Sync(s)
			},
		}
		r.start()
		defer r.close()
		time.Sleep(time.Minute)
		r.checkRestarted(t)
	})
}

// checkRestarted checks that a task was started again after its lease had expired, and not
// before.
func (r *rig) checkRestarted(t *testing.T) {
	t.Helper()
	report := r.audit.Report()
	if report.LeaseExpired == 0 || report.Runs <= report.Tasks {
		t.Fatalf("no task was started again: %+v", report)
	}
	if report.Duplicated != 0 {
		t.Fatalf("violations: %q", report.Violations)
	}
}
