package manager_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/manager"
	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// leasedFleet is a fleet whose workers keep leases, refuse old runs, can be cut off, and carry out
// some starts late. It records the tasks that have two runs at a time, whichever shards and daemons
// they are of. The fields below fleet are guarded by its mutex.
type leasedFleet struct {
	*fleet
	random      *rand.Rand
	lateRate    float64                               // fraction of starts that are carried out seconds later, unanswered
	longRunning map[string]bool                       // jobs whose runs don't end, by id
	cut         map[link]bool                         // links that are cut
	leaseEnd    map[string]time.Time                  // by worker
	lastRun     map[string]map[specifier.TaskID]int64 // runs up to this number are refused, by worker
	transferred int                                   // number of starts of tasks that have run in the other shard
	doubled     []string
}

// link is the connection between a daemon and a worker.
type link struct{ daemon, worker string }

// reachableFleet is the fleet as one daemon reaches it.
type reachableFleet struct {
	*leasedFleet
	daemon string
}

func newLeasedFleet(f *fleet, seed uint64) *leasedFleet {
	l := &leasedFleet{
		fleet: f, random: rand.New(rand.NewPCG(seed, 7)), cut: make(map[link]bool), longRunning: make(map[string]bool),
		leaseEnd: make(map[string]time.Time), lastRun: make(map[string]map[specifier.TaskID]int64),
	}
	for _, id := range f.ids {
		l.lastRun[id] = make(map[specifier.TaskID]int64)
	}
	return l
}

// isCut reports whether the daemon doesn't reach the worker, and whether a start is carried out late.
func (r *reachableFleet) isCut(id string) (isCut, isLate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[link{r.daemon, id}], r.random.Float64() < r.lateRate
}

func (r *reachableFleet) Start(ctx context.Context, token int64, o dispatcher.StartRun) dispatcher.Fault {
	isCut, isLate := r.isCut(o.Worker.ID)
	switch {
	case isCut:
		<-ctx.Done()
		return dispatcher.OutcomeUnknown
	case isLate:
		r.mu.Lock()
		delay := time.Duration(500+r.random.IntN(4000)) * time.Millisecond
		r.mu.Unlock()
		time.AfterFunc(delay, func() { r.carryOut(token, o) })
		<-ctx.Done()
		return dispatcher.OutcomeUnknown
	}
	return r.carryOut(token, o)
}

// carryOut carries out a start, and records another run that the task has.
func (l *leasedFleet) carryOut(token int64, o dispatcher.StartRun) dispatcher.Fault {
	id := o.Worker.ID
	l.mu.Lock()
	defer l.mu.Unlock()
	present, isPresent := l.active[id][o.Task]
	switch {
	case l.isFenced(id, token):
		return dispatcher.Fenced
	case o.LeaseEnd <= time.Since(l.start):
		return dispatcher.LeaseExpired
	case isPresent && present.Number == o.Run:
		return dispatcher.NoFault
	case isPresent, o.Run <= l.lastRun[id][o.Task]:
		return dispatcher.StaleRun
	}
	l.checkOthers(id, o)
	l.extend(id, o.LeaseEnd)
	l.lastRun[id][o.Task] = o.Run - 1
	l.active[id][o.Task] = specifier.Run{Task: o.Task, Number: o.Run}
	if !l.longRunning[o.Task.Job] {
		time.AfterFunc(l.runTime, func() { l.finish(id, o) })
	}
	return dispatcher.NoFault
}

// finish ends a run as done, if the worker still has it.
func (l *leasedFleet) finish(id string, o dispatcher.StartRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[id][o.Task].Number == o.Run {
		l.lastRun[id][o.Task] = o.Run
		l.endRun(id, o.Task, specifier.OutcomeDone)
	}
}

// checkOthers records the other runs of a task that starts on a worker.
func (l *leasedFleet) checkOthers(id string, o dispatcher.StartRun) {
	for _, other := range l.ids {
		if r, ok := l.active[other][o.Task]; ok {
			l.doubled = append(l.doubled, fmt.Sprintf("%s run %d starts on %s while run %d is on %s", o.Task, o.Run, id, r.Number, other))
		}
	}
	for _, other := range l.ids {
		if _, ran := l.lastRun[other][o.Task]; ran && l.domain[other] != l.domain[id] {
			l.transferred++
			break
		}
	}
}

// extend prolongs the lease of a worker, at whose end its runs are killed.
func (l *leasedFleet) extend(id string, leaseEnd time.Duration) {
	end := l.start.Add(leaseEnd)
	if leaseEnd == 0 || !end.After(l.leaseEnd[id]) {
		return
	}
	l.leaseEnd[id] = end
	time.AfterFunc(time.Until(end), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if time.Now().Before(l.leaseEnd[id]) {
			return
		}
		for task, r := range l.active[id] {
			l.lastRun[id][task] = max(l.lastRun[id][task], r.Number)
			l.endRun(id, task, specifier.OutcomeLeaseExpired)
		}
	})
}

func (r *reachableFleet) Stop(ctx context.Context, token int64, o dispatcher.StopRun) dispatcher.Fault {
	if isCut, _ := r.isCut(o.Worker.ID); isCut {
		<-ctx.Done()
		return dispatcher.OutcomeUnknown
	}
	fault := r.fleet.Stop(ctx, token, o)
	if fault == dispatcher.NoFault {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lastRun[o.Worker.ID][o.Task] = max(r.lastRun[o.Worker.ID][o.Task], o.Run)
	}
	return fault
}

func (r *reachableFleet) Poll(ctx context.Context, token int64, o dispatcher.PollWorker) (specifier.Inventory, dispatcher.Fault) {
	if isCut, _ := r.isCut(o.Worker.ID); isCut {
		<-ctx.Done()
		return specifier.Inventory{}, dispatcher.OutcomeUnknown
	}
	inventory, fault := r.fleet.Poll(ctx, token, o)
	if fault == dispatcher.NoFault {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.extend(o.Worker.ID, o.LeaseEnd)
	}
	return inventory, fault
}

// TestShardsLostAndReclaimedByOneProcess guards against two runs of a task when daemons lose shards
// and claim them again in the same process, with orders and runs of their earlier ownerships on
// their way: two daemons own two shards by turns, or one owns both, while the store is away for one
// of them or loses calls, workers are cut off, and tasks are transferred between the shards.
func TestShardsLostAndReclaimedByOneProcess(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playReclaims(t, seed) })
		})
	}
}

// playReclaims plays one schedule of losses and claims, and checks that each job succeeds.
func playReclaims(t *testing.T, seed uint64) {
	g := NewWithT(t)
	store, fleet, operator := newService(g, []string{"w1", "w2", "w3"}, []string{"w4", "w5"})
	fleet.runTime = 2500 * time.Millisecond
	fleet.register(t.Context(), operator)
	workers := newLeasedFleet(fleet, seed)
	random := rand.New(rand.NewPCG(seed, 8))
	clients := []*faker.Client{store.Client("a"), store.Client("b")}
	for i, client := range clients {
		m := manager.New(manager.Options{
			Daemon: client.Name, Domain: []string{"bne", "gc"}[i], TTL: 3 * time.Second, MaxLease: 10 * time.Second,
			Random: rand.New(rand.NewPCG(seed, uint64(i))), CancellationNotice: 4 * time.Second, Scope: tally.NoopScope, Log: zerolog.Nop(),
		}, client, &reachableFleet{workers, client.Name}, workers)
		defer m.Close()
		m.SetCatalog(catalog)
	}
	time.Sleep(8 * time.Second) // until the shards are claimed
	const rounds, longRunning = 25, 5
	fleet.mu.Lock()
	for n := range longRunning {
		workers.longRunning[job(rounds+n).ID] = true
	}
	fleet.mu.Unlock()
	for n := range longRunning {
		acceptJob(g, operator, "desk@gc", longRunningJob(rounds+n)) // more than the shard has room for without a worker
	}
	for n := range rounds {
		shard := []string{"desk@bne", "desk@gc"}[random.IntN(2)]
		work := job(n)
		work.Queue, work.Accepted = catalog.Queues[0].Name, time.Now()
		acceptJob(g, operator, shard, work)
		client, id := clients[random.IntN(2)], fleet.ids[random.IntN(len(fleet.ids))]
		length := time.Duration(500+random.IntN(9000*(1+2*random.IntN(2)))) * time.Millisecond
		fleet.mu.Lock()
		workers.lateRate = []float64{0, 0.2}[random.IntN(2)]
		fleet.mu.Unlock()
		what := random.IntN(4)
		if what < 2 {
			client.SetDown(true)
			time.AfterFunc(length, func() { client.SetDown(false) })
		}
		if what == 1 || what == 2 {
			cut := []link{{"a", id}, {"b", id}}
			if random.IntN(2) == 0 {
				other := map[string]string{"a": "b", "b": "a"}[client.Name] // which claims the shards of a daemon that is down
				cut = []link{{other, id}}
			}
			workers.setCut(true, cut...)
			time.AfterFunc(length, func() { workers.setCut(false, cut...) })
		}
		if what == 3 {
			outcomes := rand.New(rand.NewPCG(seed, uint64(100+n)))
			client.SetFault(func(faker.Call) faker.Outcome {
				return []faker.Outcome{faker.Succeed, faker.Drop, faker.LoseResponse}[outcomes.IntN(3)]
			})
			time.AfterFunc(length, func() { client.SetFault(nil) })
		}
		time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
	}
	time.Sleep(28 * time.Second) // until all faults have ended
	fleet.mu.Lock()
	workers.lateRate = 0
	fleet.mu.Unlock()
	time.Sleep(2 * time.Minute)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	g.Expect(workers.doubled).To(BeEmpty())
	for n := range rounds {
		var entry recorder.IndexEntry
		g.Expect(recorder.Decode(store.Items(recorder.IndexKey(job(n).ID))[0].Value, &entry)).To(Succeed())
		g.Expect(entry.State).To(Equal(specifier.Succeeded), job(n).ID)
	}
	active := 0
	for _, runs := range fleet.active {
		active += len(runs)
	}
	g.Expect(active).To(Equal(longRunning), "long-running tasks with a run")
	epochs := 0
	for _, shard := range []string{"desk@bne", "desk@gc"} {
		var claim recorder.Claim
		g.Expect(recorder.Decode(store.Items(recorder.ClaimKey(shard))[0].Value, &claim)).To(Succeed())
		epochs += int(claim.Epoch)
	}
	t.Logf("%d claims beyond the first ones, %d starts after transfers", epochs, workers.transferred)
}

// setCut cuts links or ends that.
func (l *leasedFleet) setCut(isCut bool, links ...link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range links {
		l.cut[at] = isCut
	}
}
