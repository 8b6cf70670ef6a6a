package lender

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

var errNoReply = errors.New("no reply")

// cluster simulates entry hosts that share one worker with 8 slots, whose shard
// changes owners. Calls are delayed or lost, or answered after the caller has
// given up.
type cluster struct {
	t        *testing.T
	lock     sync.Mutex
	random   *rand.Rand
	lenders  map[string]*Lender
	owner    string
	epoch    int64
	stale    bool // every routing table names its own host as the owner
	isolated bool // no call arrives
	inFlight int
	peak     int // most requests in flight at once
	limit    int // requests allowed in flight
}

var worker = describer.Backend{Worker: "w1", Shard: "s", Domain: "d", Region: "r", Slots: 8, Connections: 64}

func (c *cluster) table(name string) func() *describer.RoutingTable {
	return func() *describer.RoutingTable {
		c.lock.Lock()
		defer c.lock.Unlock()
		t := &describer.RoutingTable{
			Services: map[string][]describer.Backend{"desk": {worker}},
			Owners:   map[string]string{"s": c.owner},
			Owned:    map[string]int64{},
		}
		if c.owner == name || c.stale {
			t.Owned["s"] = c.epoch
		}
		return t
	}
}

func (c *cluster) Call(ctx context.Context, address, _ string, params, result any) error {
	c.lock.Lock()
	requestDelay, replyDelay := c.delay(), c.delay()
	lost, isolated, target := c.random.IntN(10) == 0, c.isolated, c.lenders[address]
	c.lock.Unlock()
	if isolated || target == nil {
		return errNoReply
	}
	data, _ := json.Marshal(params)
	replies := make(chan any, 1)
	go func() {
		time.Sleep(requestDelay)
		out, err := target.Serve(context.Background(), data)
		time.Sleep(replyDelay)
		if err != nil || lost {
			out = nil
		}
		replies <- out
	}()
	select {
	case out := <-replies:
		if out == nil {
			return errNoReply
		}
		data, _ := json.Marshal(out)
		return json.Unmarshal(data, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *cluster) delay() time.Duration {
	if c.random.IntN(20) == 0 {
		return time.Duration(c.random.IntN(5000)) * time.Millisecond
	}
	return time.Duration(c.random.IntN(5)) * time.Millisecond
}

func (c *cluster) add(name string, share *ShareLease) *Lender {
	isOwner := func() bool {
		c.lock.Lock()
		defer c.lock.Unlock()
		return c.owner == name
	}
	l := New(Options{Name: name, Domain: "d"}, c.table(name), c, isOwner, share, zerolog.Nop())
	c.lock.Lock()
	c.lenders[name] = l
	c.lock.Unlock()
	return l
}

// own makes the host the owner of the shard, in a new epoch.
func (c *cluster) own(name string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.owner = name
	c.epoch++
}

// request takes a slot for the given time, at most until the deadline. It
// returns false if there is no slot.
func (c *cluster) request(l *Lender, deadline, duration time.Duration) bool {
	release, ok := l.Acquire(worker, time.Now().Add(deadline))
	if !ok {
		return false
	}
	c.addInFlight(1)
	go func() {
		time.Sleep(min(duration, deadline))
		c.addInFlight(-1)
		release()
	}()
	return true
}

func (c *cluster) addInFlight(n int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.inFlight += n
	c.peak = max(c.peak, c.inFlight)
	if c.inFlight > c.limit {
		c.t.Errorf("%d requests in flight on %d slots", c.inFlight, c.limit)
	}
}

// close ends all lenders and lets requests and late replies end.
func (c *cluster) close() {
	for _, l := range c.lenders {
		l.Close()
	}
	time.Sleep(time.Minute)
}

// TestSlotsNeverExceeded guards against more requests in flight than slots, while
// entry hosts restart, the shard changes owners, and calls are delayed or lost.
func TestSlotsNeverExceeded(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomLoad(t, seed) })
		})
	}
}

func runRandomLoad(t *testing.T, seed uint64) {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), lenders: map[string]*Lender{}, limit: worker.Slots - basePool(worker)}
	random := rand.New(rand.NewPCG(seed, 2))
	c.own("a")
	names := []string{"a", "b", "c"}
	for _, name := range names {
		c.add(name, nil)
	}
	for i := range 3000 {
		name := names[random.IntN(len(names))]
		if random.IntN(10) > 0 {
			name = names[i/250%len(names)] // most requests go to one host, in turn
		}
		switch n := random.IntN(1200); {
		case n < 2:
			c.own(name)
		case n < 8:
			c.lenders[name].Close()
			c.add(name, nil)
		}
		deadline := time.Duration(1+random.IntN(30000)) * time.Millisecond
		c.request(c.lenders[name], deadline, time.Duration(random.IntN(15000))*time.Millisecond)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	c.close()
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.peak == 0 {
		t.Error("no slot was ever leased")
	}
}

// TestBaseShareServesWithoutOwner checks that base shares serve requests while
// the shard's owner and the store are unavailable, and that they are bounded.
func TestBaseShareServesWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, random: rand.New(rand.NewPCG(1, 1)), lenders: map[string]*Lender{}, isolated: true, limit: 2}
		store := newStore()
		shares := []*ShareLease{newTestShare(store, "a"), newTestShare(store, "b")}
		time.Sleep(5 * time.Second)
		store.setDown()
		a, b := c.add("a", shares[0]), c.add("b", shares[1])
		time.Sleep(time.Hour)
		if !c.request(a, time.Second, time.Second) || !c.request(b, time.Minute, time.Second) {
			t.Error("the base share must serve while owner and store are unavailable")
		}
		if c.request(a, time.Second, time.Second) {
			t.Error("the base share must be bounded")
		}
		c.close()
		for _, s := range shares {
			s.Close()
		}
	})
}

// TestGrowth checks that a single host gets all lendable slots, and that two
// hosts get half of them each.
func TestGrowth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, random: rand.New(rand.NewPCG(9, 9)), lenders: map[string]*Lender{}, limit: worker.Slots - basePool(worker)}
		c.own("a")
		a, b := c.add("a", nil), c.add("b", nil)
		use := func(l *Lender) {
			for range 200 {
				c.request(l, 400*time.Millisecond, 300*time.Millisecond)
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		use(a)
		time.Sleep(DefaultTerm)
		use(a)
		if got := a.Limit(worker); got != 4 {
			t.Errorf("single host: limit %d, want 4", got)
		}
		for range 200 {
			c.request(a, 400*time.Millisecond, 300*time.Millisecond)
			c.request(b, 400*time.Millisecond, 300*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		if x, y := a.Limit(worker), b.Limit(worker); x != 2 || y != 2 {
			t.Errorf("two hosts: limits %d and %d, want 2 and 2", x, y)
		}
		c.close()
	})
}

// TestRefusals checks each rule that lending relies on: deadlines within the
// lease, requests in order, and grants by the current owner only.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, random: rand.New(rand.NewPCG(4, 4)), lenders: map[string]*Lender{}, limit: 4}
		c.own("a")
		a := c.add("a", nil)
		a.Acquire(worker, time.Now().Add(time.Second))
		for range 40 {
			c.request(a, time.Second, time.Second)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if _, ok := a.Acquire(worker, time.Now().Add(DefaultTerm)); ok {
			t.Error("a request that outlasts the lease must not take a leased slot")
		}
		if _, ok := a.Acquire(worker, time.Now().Add(time.Second)); !ok {
			t.Error("a request within the lease must take a leased slot")
		}
		demands := []demand{{Worker: worker.Worker, Want: 1}}
		if _, err := a.grant(&leaseRequest{Host: "b", Sequence: 2, Shard: "s", Demands: demands}); err != nil {
			t.Error(err)
		}
		if _, err := a.grant(&leaseRequest{Host: "b", Sequence: 1, Shard: "s"}); err == nil {
			t.Error("a request that arrives after a later one must have no effect")
		}
		c.add("b", nil)
		c.lock.Lock()
		c.owner, c.stale = "b", true // a's routing table is stale, but it no longer holds the shard's lease
		c.lock.Unlock()
		if _, err := a.grant(&leaseRequest{Host: "b", Sequence: 3, Shard: "s", Demands: demands}); err == nil {
			t.Error("a former owner must not grant slots")
		}
		c.close()
	})
}

// slowOwner grants 4 slots in reply to every call, after a delay.
type slowOwner struct{}

func (slowOwner) Call(_ context.Context, _, _ string, _, result any) error {
	time.Sleep(1500 * time.Millisecond)
	*result.(*leaseReply) = leaseReply{Epoch: 1, Term: DefaultTerm, Grants: []grant{{Worker: worker.Worker, Slots: 4}}}
	return nil
}

// TestLoanCountsFromWhenSent guards against a lease that the entry host uses
// after the owner takes it for expired: with a delayed reply, the owner may have
// counted the term from the moment at which the request was sent.
func TestLoanCountsFromWhenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, owner: "elsewhere"}
		l := New(Options{Name: "a"}, c.table("a"), slowOwner{}, func() bool { return false }, nil, zerolog.Nop())
		sent := time.Now()
		l.Acquire(worker, sent.Add(time.Second))
		time.Sleep(1600 * time.Millisecond)
		if got := l.Limit(worker); got != 4 {
			t.Errorf("limit %d, want 4", got)
		}
		if _, ok := l.Acquire(worker, sent.Add(DefaultTerm)); ok {
			t.Error("the lease must end one term after the request was sent")
		}
		l.Close()
	})
}

// callCounter counts calls and bytes, and grants nothing.
type callCounter struct {
	calls int
	bytes int
}

func (c *callCounter) Call(_ context.Context, _, _ string, params, _ any) error {
	data, _ := json.Marshal(params)
	c.calls++
	c.bytes += len(data)
	return errNoReply
}

// TestUnmetWantsDoNotFlood checks that requests which find no slot do not cause
// a call to the owner each.
func TestUnmetWantsDoNotFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, owner: "elsewhere"}
		counter := new(callCounter)
		l := New(Options{Name: "a"}, c.table("a"), counter, func() bool { return false }, nil, zerolog.Nop())
		for range 10000 {
			l.Acquire(worker, time.Now().Add(time.Second))
			time.Sleep(time.Millisecond)
		}
		l.Close()
		if counter.calls > 7 {
			t.Errorf("%d calls in 10 s", counter.calls)
		}
	})
}

// TestCallSize bounds the bytes that each worker adds to a lease request and its
// reply.
func TestCallSize(t *testing.T) {
	// size returns the bytes of a request and of its reply.
	size := func(workers int) (int, int) {
		request, reply := &leaseRequest{Host: "seq-bne-entry-1", Incarnation: 1 << 60, Sequence: 1 << 20, Shard: "seq-bne-1"}, &leaseReply{Epoch: 100, Term: DefaultTerm}
		for i := range workers {
			request.Demands = append(request.Demands, demand{Worker: fmt.Sprintf("seq-bne-w%05d", i), Want: 3, Held: 2})
			reply.Grants = append(reply.Grants, grant{Worker: fmt.Sprintf("seq-bne-w%05d", i), Slots: 3})
		}
		x, _ := json.Marshal(request)
		y, _ := json.Marshal(reply)
		return len(x), len(y)
	}
	x0, y0 := size(0)
	x, y := size(100)
	t.Logf("request %d + %.1f bytes per worker, reply %d + %.1f", x0, float64(x-x0)/100, y0, float64(y-y0)/100)
	if (x-x0)/100 > 60 || (y-y0)/100 > 50 {
		t.Error("more bytes per worker than docs/notes/slots.md states")
	}
}
