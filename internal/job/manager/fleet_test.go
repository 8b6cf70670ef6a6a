package manager_test

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// fleet simulates workers in virtual time.
type fleet struct {
	mu       sync.Mutex
	start    time.Time
	token    map[string]int64
	active   map[string]map[specifier.TaskID]specifier.Run
	ended    map[string][]specifier.End
	lastEnd  map[string]int64
	starts   map[specifier.TaskID]int
	runTime  time.Duration       // run time of a task
	maxToken map[string]int64    // calls with a higher token don't reach the worker, by worker
	renewed  map[int64]time.Time // when leases were last renewed, by fencing token
	ids      []string
	domain   map[string]string // by worker; "bne" by default
}

// newFleet returns workers of 4,000 millicores each without runs.
func newFleet(ids ...string) *fleet {
	f := &fleet{
		start: time.Now(), token: make(map[string]int64), active: make(map[string]map[specifier.TaskID]specifier.Run),
		ended: make(map[string][]specifier.End), lastEnd: make(map[string]int64), starts: make(map[specifier.TaskID]int),
		runTime: 500 * time.Millisecond, ids: ids, renewed: make(map[int64]time.Time),
	}
	for _, id := range ids {
		f.active[id] = make(map[specifier.TaskID]specifier.Run)
	}
	return f
}

const registrationPrefix = "registered/"

func (f *fleet) Prefix() string { return registrationPrefix }

func (f *fleet) Decode(item storer.Item) (specifier.Worker, error) {
	var w specifier.Worker
	err := json.Unmarshal(item.Value, &w)
	return w, err
}

// registration returns the registration of a worker.
func (f *fleet) registration(id string) specifier.Worker {
	return specifier.Worker{
		ID: id, Incarnation: 1, Service: "desk", Domain: cmp.Or(f.domain[id], "bne"), Address: id,
		Labels: []string{"r-" + id}, Capacity: describer.Resources{CPU: 4000, Memory: 1000},
	}
}

// register writes the registrations of the workers to the store.
func (f *fleet) register(ctx context.Context, store *faker.Client) {
	for _, id := range f.ids {
		putWorker(ctx, store, f.registration(id))
	}
}

// putWorker writes the registration of a worker to the store.
func putWorker(ctx context.Context, store *faker.Client, w specifier.Worker) {
	value, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	tx := storer.Transaction{Put: []storer.Write{{Key: registrationPrefix + w.ID, Value: value}}}
	if _, err := store.Commit(ctx, tx); err != nil {
		panic(err)
	}
}

// reaches reports whether a call reaches the worker. If not, it returns when ctx
// ends.
func (f *fleet) reaches(ctx context.Context, id string, token int64) bool {
	f.mu.Lock()
	maxToken, isCut := f.maxToken[id]
	f.mu.Unlock()
	if isCut && token > maxToken {
		<-ctx.Done()
		return false
	}
	return true
}

// cutOffSuccessors makes later owners reach no worker, and returns the fencing token of the current
// one.
func (f *fleet) cutOffSuccessors() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	token := f.token[f.ids[0]]
	f.maxToken = make(map[string]int64)
	for _, id := range f.ids {
		f.maxToken[id] = token
	}
	return token
}

// isFenced reports whether a token is lower than the highest so far, which it
// updates.
func (f *fleet) isFenced(id string, token int64) bool {
	if token < f.token[id] {
		return true
	}
	f.token[id] = token
	return false
}

func (f *fleet) Start(ctx context.Context, token int64, o dispatcher.StartRun) dispatcher.Fault {
	if !f.reaches(ctx, o.Worker.ID, token) {
		return dispatcher.OutcomeUnknown
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	id := o.Worker.ID
	if f.isFenced(id, token) {
		return dispatcher.Fenced
	}
	f.starts[o.Task]++
	f.active[id][o.Task] = specifier.Run{Task: o.Task, Number: o.Run}
	time.AfterFunc(f.runTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endRun(id, o.Task, specifier.OutcomeDone)
	})
	return dispatcher.NoFault
}

// activeOn returns a copy of the runs that are active on a worker.
func (f *fleet) activeOn(id string) map[specifier.TaskID]specifier.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.active[id])
}

// endRun ends a run and lists the end until it is acknowledged.
func (f *fleet) endRun(id string, task specifier.TaskID, outcome specifier.Outcome) {
	r, ok := f.active[id][task]
	if !ok {
		return
	}
	delete(f.active[id], task)
	f.lastEnd[id]++
	f.ended[id] = append(f.ended[id], specifier.End{Number: f.lastEnd[id], Task: task, Run: r.Number, Outcome: outcome})
}

func (f *fleet) Stop(_ context.Context, token int64, o dispatcher.StopRun) dispatcher.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isFenced(o.Worker.ID, token) {
		return dispatcher.Fenced
	}
	f.endRun(o.Worker.ID, o.Task, specifier.OutcomeStopped)
	return dispatcher.NoFault
}

func (f *fleet) Pace(context.Context, int64, dispatcher.PaceRun) dispatcher.Fault {
	return dispatcher.NoFault
}

func (f *fleet) Poll(ctx context.Context, token int64, o dispatcher.PollWorker) (specifier.Inventory, dispatcher.Fault) {
	if !f.reaches(ctx, o.Worker.ID, token) {
		return specifier.Inventory{}, dispatcher.OutcomeUnknown
	}
	time.Sleep(50 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	id := o.Worker.ID
	if f.isFenced(id, token) {
		return specifier.Inventory{}, dispatcher.Fenced
	}
	for len(f.ended[id]) > 0 && f.ended[id][0].Number <= o.Acknowledged {
		f.ended[id] = f.ended[id][1:]
	}
	if o.LeaseEnd > 0 {
		f.renewed[token] = time.Now()
	}
	out := specifier.Inventory{Incarnation: 1, Clock: time.Since(f.start), Ended: append([]specifier.End(nil), f.ended[id]...)}
	for _, r := range f.active[id] {
		r.ProgressPercent = int(time.Since(f.start) / time.Millisecond) // increases with time
		out.Active = append(out.Active, r)
	}
	return out, dispatcher.NoFault
}
