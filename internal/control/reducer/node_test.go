package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/placer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// node is a daemon: a State with the executors of its effects.
type node struct {
	world    *world
	name     string
	state    *State
	life     int // incremented with each boot
	alive    bool
	paused   bool
	inbox    []Event
	cutStore bool
	cut      map[string]bool // workers out of reach
	mute     map[string]bool // workers that hear it, and whose answers are lost
	blind    bool            // sees no peer
	owns     map[string]int64
	appends  map[string][]AppendRecords
	revision int64
}

func (n *node) boot() {
	o := testOptions()
	o.Daemon, o.TaskLease, o.LeaseMargin = n.name, 10*time.Second, 3*time.Second
	o.SyncInterval, o.OutageLimit = 2*time.Second, 40*time.Second
	n.state = New(o, Policies{Placement: placer.FirstFit{}})
	n.state.minSnapshotRecords = 15
	n.life++
	n.alive, n.paused, n.inbox = true, false, nil
	n.owns, n.appends = make(map[string]int64), make(map[string][]AppendRecords)
	n.revision = 0
	n.reduce(Tick{Now: n.world.now})
	n.reduce(HostsReceived{Hosts: n.world.hosts()})
	life := n.life
	n.every(life, 250*time.Millisecond, func() { n.reduce(Tick{Now: n.world.now}) })
	n.every(life, time.Second, n.watch)
	n.every(life, 2*time.Second, n.renew)
}

func (n *node) kill() { n.alive = false; n.life++ }

func (n *node) every(life int, wait time.Duration, do func()) {
	n.world.after(wait, func() {
		if n.life != life {
			return
		}
		if !n.paused {
			do()
		}
		n.every(life, wait, do)
	})
}

// resume delivers what came meanwhile before any tick, so with an old time.
func (n *node) resume() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		n.reduce(e)
	}
}

func (n *node) reduce(e Event) {
	if !n.alive {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, effect := range n.state.Reduce(e) {
		n.execute(effect)
	}
}

// later runs in this life of the node.
func (n *node) later(wait time.Duration, do func()) {
	life := n.life
	n.world.after(wait, func() {
		if n.life == life {
			do()
		}
	})
}

func (n *node) reaches() bool { return n.world.store.up && !n.cutStore }

// watch brings configuration and membership.
func (n *node) watch() {
	if n.reaches() {
		n.reduce(ConfigurationReceived{Configuration: n.world.store.config})
	}
	var peers []Peer
	for _, o := range n.world.nodes {
		if o == n || o.alive && !n.blind {
			peers = append(peers, Peer{
				Name: o.name, Domain: "seq-bne", Address: o.name, Shards: sortedKeys(o.owns), Leaving: o.state.stopping,
			})
		}
	}
	n.reduce(PeersChanged{Alive: peers})
	n.reduce(HostsReceived{Hosts: n.world.hosts()})
}

// renew keeps the shards' leases in the store.
func (n *node) renew() {
	if !n.reaches() {
		n.reduce(StoreChecked{Reachable: false})
		return
	}
	for _, shard := range sortedKeys(n.owns) {
		if !n.world.store.renew(n, shard) {
			n.lose(shard, n.owns[shard])
		}
	}
	n.reduce(StoreChecked{Reachable: true})
}

func (n *node) lose(shard string, epoch int64) {
	if n.owns[shard] == epoch {
		delete(n.owns, shard)
		delete(n.appends, shard)
	}
	n.reduce(ShardLost{Shard: shard, Epoch: epoch})
}

func (n *node) execute(effect Effect) {
	w := n.world
	switch e := effect.(type) {
	case ClaimShard:
		n.later(w.between(1e6, 5e7), func() { n.claim(e.Shard) })
	case ReleaseShard:
		n.later(w.between(1e6, 5e7), func() { n.release(e) })
	case AppendRecords:
		n.appends[e.Shard] = append(n.appends[e.Shard], e)
		if len(n.appends[e.Shard]) == 1 {
			n.later(w.between(1e6, 2e8), func() { n.append(e.Shard) })
		}
	case SaveSnapshot:
		n.later(w.between(1e6, 5e7), func() { w.store.save(n, e) })
	case StartTask:
		w.call(n, e.Worker, func(m *fakeWorker) Event {
			a := StartAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Start.Task, Token: e.Start.Token}
			if err := m.start(e.Start); err != "" {
				a.Err, a.Verdict = err, classifier.NotRun
			}
			return a
		}, StartAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Start.Task, Token: e.Start.Token, Err: "no answer"})
	case StopTask:
		w.call(n, e.Worker, func(m *fakeWorker) Event {
			a := StopAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Stop.Task, Token: e.Stop.Token}
			a.Stopped, a.Err = m.stop(e.Stop)
			return a
		}, StopAnswered{Shard: e.Shard, Epoch: e.Epoch, Worker: e.Worker, Task: e.Stop.Task, Token: e.Stop.Token, Err: "no answer"})
	case ThrottleTask:
		w.call(n, e.Worker, func(m *fakeWorker) Event { m.throttle(e.Throttle); return nil }, nil)
	case SyncWorker:
		sent := w.now
		w.call(n, e.Worker, func(m *fakeWorker) Event {
			s, err := m.sync(e.Sync)
			if err != "" {
				return WorkerSyncFailed{Shard: e.Sync.Shard, Epoch: e.Sync.Epoch, Worker: e.Worker, Fenced: true}
			}
			return WorkerSynced{Shard: e.Sync.Shard, Epoch: e.Sync.Epoch, Worker: e.Worker, SentAt: sent, Synced: s}
		}, WorkerSyncFailed{Shard: e.Sync.Shard, Epoch: e.Sync.Epoch, Worker: e.Worker})
	case Reply:
		if id := w.asked[e.Request]; id != "" && e.Err != nil && e.Err.Verdict == classifier.NotRun {
			w.refused[id] = true
		}
	case PublishRoutingTable:
		if e.Table.Revision < n.revision {
			w.t.Fatalf("%s: configuration reverts from %d to %d", n.name, n.revision, e.Table.Revision)
		}
		n.revision = e.Table.Revision
	case ProposeDrainUpdate:
		if !w.chance(0.3) {
			n.later(w.between(1e6, 5e7), func() { w.store.propose(n, e) })
		}
	}
}

func (n *node) claim(shard string) {
	epoch, ok := n.world.store.claim(n, shard)
	if !ok || n.world.chance(0.1) {
		n.later(worldTimeout, func() { n.reduce(ClaimFailed{Shard: shard}) })
		return
	}
	n.owns[shard] = epoch
	n.appends[shard] = nil
	l := n.world.store.shards[shard]
	n.reduce(ShardClaimed{Shard: shard, Epoch: epoch, Snapshot: l.snapshot, Records: l.tail()})
}

func (n *node) release(e ReleaseShard) {
	if n.owns[e.Shard] != e.Epoch {
		return
	}
	if !n.reaches() || len(n.appends[e.Shard]) > 0 {
		n.later(time.Second, func() { n.release(e) })
		return
	}
	n.world.store.free(n, e.Shard)
	n.lose(e.Shard, e.Epoch)
}

// append sends the oldest append until it has an answer.
func (n *node) append(shard string) {
	queue := n.appends[shard]
	if len(queue) == 0 || n.owns[shard] != queue[0].Epoch {
		return
	}
	again := func() { n.later(time.Second, func() { n.append(shard) }) }
	if n.paused || !n.reaches() {
		n.reduce(StoreChecked{Reachable: false})
		again()
		return
	}
	if !n.world.store.append(queue[0]) {
		n.lose(shard, queue[0].Epoch)
		return
	}
	if n.world.chance(0.1) {
		again() // the answer is lost
		return
	}
	n.appends[shard] = queue[1:]
	n.reduce(RecordsAppended{Shard: shard, Epoch: queue[0].Epoch, Batch: queue[0].Batch})
	if len(n.appends[shard]) > 0 {
		n.later(n.world.between(1e6, 2e8), func() { n.append(shard) })
	}
}
