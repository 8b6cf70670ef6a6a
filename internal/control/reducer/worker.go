package reducer

import (
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/escalator"
	"dotterelcart.dev/dotterelcart/internal/control/restorer"
)

// Bounds on workers.
const (
	silentAfter  = 3               // unanswered inventories in a row before leases are left to lapse
	refusalPause = 5 * time.Second // without placements after a refused start
)

// worker is the owner's view of one worker.
type worker struct {
	name    string
	account *accountant.Worker
	listed  bool // in the host list
	runs    []*task
	stops   int // stops without an answer

	calls    uint64        // inventories asked for
	calling  bool          // one is without an answer
	called   time.Time     // when it was asked for
	heard    bool          // an inventory under this epoch has come
	failures int           // unanswered in a row
	clock    time.Time     // of the worker, by its latest inventory
	clockAt  time.Time     // when that call began
	slack    time.Duration // how long that call took at most
	due      time.Time     // of the next inventory
	lapsing  bool          // a timer for the lapse of its leases is set
	extent   time.Time     // no lease given so far lasts longer, margin not counted
	acks     []describer.TaskID
	ackRuns  []describer.Token
	pause    time.Time // no placements before

	evidence   evidence
	probing    bool // one task may be placed in spite of being set aside
	restore    restorer.State
	held       string    // what holds its restore back
	batch      int64     // of the record that it is restored
	resized    time.Time // when grants were last adapted to use
	slower     float64   // published interference
	escalation escalator.State
	gone       time.Time // since when it is missing in the host list
}

func (s *State) arrangeWorkers() {
	for _, h := range s.order {
		if h.book != nil {
			h.arrangeWorkers()
		}
	}
}

// arrangeWorkers follows the host list and the shard's racks. A worker that
// vanished from the lagging list stays as long as it has grants.
func (h *shard) arrangeWorkers() {
	racks := make(map[string]bool, len(h.config.Racks))
	for _, rack := range h.config.Racks {
		racks[rack] = true
	}
	for _, w := range h.order {
		w.listed = false
	}
	for i := range h.state.hosts {
		host := &h.state.hosts[i]
		if host.Role == describer.Worker && host.Domain == h.config.Domain && racks[host.Rack] {
			h.list(host)
		}
	}
	for _, w := range slices.Clone(h.order) {
		h.review(w)
	}
}

// list takes in a line of the host list. The capacity that the worker itself
// has stated goes before the listed one.
func (h *shard) list(host *describer.Host) {
	w := h.worker(host.Name)
	capacity := w.account.Host.Capacity
	w.account.Host = *host
	if w.heard {
		w.account.Host.Capacity = capacity
	}
	w.listed = true
	w.gone = time.Time{}
}

func (h *shard) review(w *worker) {
	if !w.listed && w.gone.IsZero() {
		w.gone = h.state.now
	}
	if !w.listed && len(w.runs) == 0 && !w.calling {
		h.forget(w)
		return
	}
	h.refresh(w)
}

func (h *shard) forget(w *worker) {
	delete(h.workers, w.name)
	delete(h.fleet.Workers, w.name)
	h.state.timeline.Forget(w.name)
	h.order = slices.DeleteFunc(h.order, func(o *worker) bool { return o == w })
}

// formerExtent is when the leases that former owners granted have lapsed. One
// that was cut off may have gone on renewing for the outage limit; one that
// gave the shard up to this owner said how long its leases last.
func (h *shard) formerExtent() time.Time {
	if h.released.Token.Epoch == h.epoch-1 && h.released.Kind == describer.ShardReleased {
		return h.claimed.Add(h.released.LeaseWait)
	}
	return h.claimed.Add(h.state.options.OutageLimit + h.state.options.TaskLease)
}

// worker returns the worker of that name. One that is known from the ledger
// only is closed and has no capacity.
func (h *shard) worker(name string) *worker {
	if w := h.workers[name]; w != nil {
		return w
	}
	account := &accountant.Worker{
		Host:   describer.Host{Name: name},
		Grants: make(map[describer.TaskID]accountant.Grant),
		Closed: true,
	}
	w := &worker{name: name, account: account}
	w.extent = h.formerExtent()
	h.workers[name] = w
	h.fleet.Workers[name] = account
	at, _ := slices.BinarySearchFunc(h.order, name, func(o *worker, n string) int { return compareText(o.name, n) })
	h.order = slices.Insert(h.order, at, w)
	h.schedule(w)
	if h.book.asides[name] != "" {
		h.after(probeInterval, timer{kind: timerProbe, worker: w})
	}
	return w
}

// refresh recomputes whether tasks may be placed on the worker.
func (h *shard) refresh(w *worker) {
	if _, drained := h.state.drains[w.name]; !drained {
		h.limit(w, false, 0)
		w.held = ""
	}
	closed := h.closedBy(w) != ""
	if w.account.Closed && !closed {
		w.account.OpenedAt = h.state.now
		h.idle = false
	}
	if w.account.Closed != closed {
		h.state.published = false
	}
	w.account.Closed = closed
}

// closedBy says why no task is placed on the worker, or nothing.
func (h *shard) closedBy(w *worker) string {
	d, drained := h.state.drains[w.name]
	switch {
	case !w.listed:
		return "not in the host list"
	case w.account.Host.State == describer.Leaving:
		return "leaving"
	case drained && d.state == describer.Draining:
		return "draining for " + d.id
	case !w.heard:
		return "no inventory yet"
	case w.failures >= silentAfter:
		return "no answer"
	case h.book.asides[w.name] != "" && !w.probing:
		return h.book.asides[w.name]
	case h.state.now.Before(w.pause):
		return "refused a start"
	}
	return ""
}

// hold accounts a started task's grant. In replay it may exceed what the
// worker has; it is still there.
func (h *shard) hold(t *task) {
	w := h.worker(t.worker)
	g := accountant.Grant{
		Token:     t.token,
		Class:     t.job.Class,
		Team:      t.job.Team,
		Kind:      t.job.Kind,
		Priority:  t.job.Priority,
		Resources: t.granted,
		ReturnTo:  t.drainedOff,
		Since:     h.state.now,
	}
	if w.account.Allocate(t.id(), g) != nil {
		w.account.Adopt(t.id(), g)
	}
	t.slot = int32(len(w.runs))
	w.runs = append(w.runs, t)
	team := h.team(t.job.Team)
	team.used = team.used.Add(t.granted)
	h.noteShares(w)
}

// noteShares keeps what runs on the worker for late reports.
func (h *shard) noteShares(w *worker) {
	if len(w.account.Host.Services) > 0 {
		h.state.timeline.Record(w.name, h.state.now, w.account.BatchShares())
	}
}

func (h *shard) unhold(t *task) {
	w := h.worker(t.worker)
	w.account.Release(t.id(), t.token)
	last := len(w.runs) - 1
	w.runs[t.slot] = w.runs[last]
	w.runs[t.slot].slot = t.slot
	w.runs[last] = nil
	w.runs = w.runs[:last]
	if t.stop != nil && t.stop.asked {
		w.stops--
	}
	team := h.team(t.job.Team)
	team.used = team.used.Sub(t.granted)
	h.idle = false
	h.noteShares(w)
	if !w.listed && last == 0 {
		h.schedule(w)
	}
}
