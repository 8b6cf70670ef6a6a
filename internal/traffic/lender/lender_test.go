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

var errLost = errors.New("lost")

// world is a worker with 8 slots, entry hosts that share it, and owners that
// change. Calls are delayed, lost, and answered after the caller has gone.
type world struct {
	t       *testing.T
	lock    sync.Mutex
	random  *rand.Rand
	lenders map[string]*Lender
	owner   string
	epoch   int64
	stale   bool // tables lag behind
	cut     bool // no call arrives
	flight  int
	most    int
	bound   int // requests in flight that are allowed
}

var worker = describer.Backend{Worker: "w1", Shard: "s", Domain: "d", Region: "r", Slots: 8, Connections: 64}

func (w *world) table(name string) func() *describer.RoutingTable {
	return func() *describer.RoutingTable {
		w.lock.Lock()
		defer w.lock.Unlock()
		t := &describer.RoutingTable{
			Services: map[string][]describer.Backend{"desk": {worker}},
			Owners:   map[string]string{"s": w.owner},
			Owned:    map[string]int64{},
		}
		if w.owner == name || w.stale {
			t.Owned["s"] = w.epoch
		}
		return t
	}
}

func (w *world) Call(ctx context.Context, address, _ string, params, result any) error {
	w.lock.Lock()
	there, back := w.delay(), w.delay()
	lost, cut, target := w.random.IntN(10) == 0, w.cut, w.lenders[address]
	w.lock.Unlock()
	if cut || target == nil {
		return errLost
	}
	data, _ := json.Marshal(params)
	answers := make(chan any, 1)
	go func() {
		time.Sleep(there)
		out, err := target.Serve(context.Background(), data)
		time.Sleep(back)
		if err != nil || lost {
			out = nil
		}
		answers <- out
	}()
	select {
	case out := <-answers:
		if out == nil {
			return errLost
		}
		data, _ := json.Marshal(out)
		return json.Unmarshal(data, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *world) delay() time.Duration {
	if w.random.IntN(20) == 0 {
		return time.Duration(w.random.IntN(5000)) * time.Millisecond
	}
	return time.Duration(w.random.IntN(5)) * time.Millisecond
}

func (w *world) add(name string, seat *ShareLease) *Lender {
	valid := func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return w.owner == name
	}
	l := New(Options{Name: name, Domain: "d"}, w.table(name), w, valid, seat, zerolog.Nop())
	w.lock.Lock()
	w.lenders[name] = l
	w.lock.Unlock()
	return l
}

func (w *world) own(name string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.owner = name
	w.epoch++
}

// request occupies a slot until somewhat before its deadline.
func (w *world) request(l *Lender, deadline, takes time.Duration) bool {
	release, ok := l.Acquire(worker, time.Now().Add(deadline))
	if !ok {
		return false
	}
	w.count(1)
	go func() {
		time.Sleep(min(takes, deadline))
		w.count(-1)
		release()
	}()
	return true
}

func (w *world) count(n int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.flight += n
	w.most = max(w.most, w.flight)
	if w.flight > w.bound {
		w.t.Errorf("%d requests in flight on %d slots", w.flight, w.bound)
	}
}

func (w *world) close() {
	for _, l := range w.lenders {
		l.Close()
	}
	time.Sleep(time.Minute)
}

// TestSlotsNeverExceeded lets entry hosts come and go and owners change.
func TestSlotsNeverExceeded(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exercise(t, seed) })
		})
	}
}

func exercise(t *testing.T, seed uint64) {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), lenders: map[string]*Lender{}, bound: worker.Slots - pool(worker)}
	local := rand.New(rand.NewPCG(seed, 2))
	w.own("a")
	names := []string{"a", "b", "c"}
	for _, name := range names {
		w.add(name, nil)
	}
	for i := range 3000 {
		name := names[local.IntN(len(names))]
		if local.IntN(10) > 0 {
			name = names[i/250%len(names)] // demand wanders from host to host
		}
		switch n := local.IntN(1200); {
		case n < 2:
			w.own(name)
		case n < 8:
			w.lenders[name].Close()
			w.add(name, nil)
		}
		deadline := time.Duration(1+local.IntN(30000)) * time.Millisecond
		w.request(w.lenders[name], deadline, time.Duration(local.IntN(15000))*time.Millisecond)
		time.Sleep(time.Duration(local.IntN(100)) * time.Millisecond)
	}
	w.close()
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.most == 0 {
		t.Error("nothing was ever lent")
	}
}

// TestBaseShareServesWithoutOwner cuts the owner and the store off.
func TestBaseShareServesWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, random: rand.New(rand.NewPCG(1, 1)), lenders: map[string]*Lender{}, cut: true, bound: 2}
		store := newStore()
		seats := []*ShareLease{seat(store, "a"), seat(store, "b")}
		time.Sleep(5 * time.Second)
		store.setDown()
		a, b := w.add("a", seats[0]), w.add("b", seats[1])
		time.Sleep(time.Hour)
		if !w.request(a, time.Second, time.Second) || !w.request(b, time.Minute, time.Second) {
			t.Error("the base share must serve while owner and store are away")
		}
		if w.request(a, time.Second, time.Second) {
			t.Error("the base share must be bounded")
		}
		w.close()
		for _, s := range seats {
			s.Close()
		}
	})
}

// TestGrowth shows that a host alone gets the lendable half, and that two get
// equal parts of it.
func TestGrowth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, random: rand.New(rand.NewPCG(9, 9)), lenders: map[string]*Lender{}, bound: worker.Slots - pool(worker)}
		w.own("a")
		a, b := w.add("a", nil), w.add("b", nil)
		use := func(l *Lender) {
			for range 200 {
				w.request(l, 400*time.Millisecond, 300*time.Millisecond)
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		use(a)
		time.Sleep(DefaultTerm)
		use(a)
		if got := a.Limit(worker); got != 4 {
			t.Errorf("alone: limit %d, want 4", got)
		}
		for range 200 {
			w.request(a, 400*time.Millisecond, 300*time.Millisecond)
			w.request(b, 400*time.Millisecond, 300*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		if x, y := a.Limit(worker), b.Limit(worker); x != 2 || y != 2 {
			t.Errorf("two: limits %d and %d, want 2 and 2", x, y)
		}
		w.close()
	})
}

// TestRefusals covers what lending rests on, one by one.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, random: rand.New(rand.NewPCG(4, 4)), lenders: map[string]*Lender{}, bound: 4}
		w.own("a")
		a := w.add("a", nil)
		a.Acquire(worker, time.Now().Add(time.Second))
		for range 40 {
			w.request(a, time.Second, time.Second)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if _, ok := a.Acquire(worker, time.Now().Add(DefaultTerm)); ok {
			t.Error("a request that outlasts the loan must not take a lent slot")
		}
		if _, ok := a.Acquire(worker, time.Now().Add(time.Second)); !ok {
			t.Error("a request within the loan must take a lent slot")
		}
		wants := []want{{Worker: worker.Worker, Want: 1}}
		if _, err := a.lend(&ask{Host: "b", Sequence: 2, Shard: "s", Wants: wants}); err != nil {
			t.Error(err)
		}
		if _, err := a.lend(&ask{Host: "b", Sequence: 1, Shard: "s"}); err == nil {
			t.Error("a call overtaken by a later one must have no effect")
		}
		w.add("b", nil)
		w.lock.Lock()
		w.owner, w.stale = "b", true // a's table lags behind, but its lease does not hold
		w.lock.Unlock()
		if _, err := a.lend(&ask{Host: "b", Sequence: 3, Shard: "s", Wants: wants}); err == nil {
			t.Error("a former owner must not lend")
		}
		w.close()
	})
}

// slow answers every call with a loan, after a while.
type slow struct{}

func (slow) Call(_ context.Context, _, _ string, _, result any) error {
	time.Sleep(1500 * time.Millisecond)
	*result.(*loans) = loans{Epoch: 1, Term: DefaultTerm, Loans: []grant{{Worker: worker.Worker, Slots: 4}}}
	return nil
}

// TestLoanCountsFromWhenSent delays the answer: the owner may have counted
// from the moment at which the call was sent.
func TestLoanCountsFromWhenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, owner: "elsewhere"}
		l := New(Options{Name: "a"}, w.table("a"), slow{}, func() bool { return false }, nil, zerolog.Nop())
		sent := time.Now()
		l.Acquire(worker, sent.Add(time.Second))
		time.Sleep(1600 * time.Millisecond)
		if got := l.Limit(worker); got != 4 {
			t.Errorf("limit %d", got)
		}
		if _, ok := l.Acquire(worker, sent.Add(DefaultTerm)); ok {
			t.Error("the loan must end a term after it was asked for")
		}
		l.Close()
	})
}

// counter counts calls and bytes, and lends nothing.
type counter struct {
	calls int
	bytes int
}

func (c *counter) Call(_ context.Context, _, _ string, params, _ any) error {
	data, _ := json.Marshal(params)
	c.calls++
	c.bytes += len(data)
	return errLost
}

// TestUnmetWantsDoNotFlood lets requests find no slot all the time.
func TestUnmetWantsDoNotFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, owner: "elsewhere"}
		c := new(counter)
		l := New(Options{Name: "a"}, w.table("a"), c, func() bool { return false }, nil, zerolog.Nop())
		for range 10000 {
			l.Acquire(worker, time.Now().Add(time.Second))
			time.Sleep(time.Millisecond)
		}
		l.Close()
		if c.calls > 7 {
			t.Errorf("%d calls in 10 s", c.calls)
		}
	})
}

// TestCallSize logs what a worker adds to a call and its answer.
func TestCallSize(t *testing.T) {
	size := func(workers int) (int, int) {
		a, out := &ask{Host: "seq-bne-entry-1", Born: 1 << 60, Sequence: 1 << 20, Shard: "seq-bne-1"}, &loans{Epoch: 100, Term: DefaultTerm}
		for i := range workers {
			a.Wants = append(a.Wants, want{Worker: fmt.Sprintf("seq-bne-w%05d", i), Want: 3, Held: 2})
			out.Loans = append(out.Loans, grant{Worker: fmt.Sprintf("seq-bne-w%05d", i), Slots: 3})
		}
		x, _ := json.Marshal(a)
		y, _ := json.Marshal(out)
		return len(x), len(y)
	}
	x0, y0 := size(0)
	x, y := size(100)
	t.Logf("call %d + %.1f bytes a worker, answer %d + %.1f", x0, float64(x-x0)/100, y0, float64(y-y0)/100)
	if (x-x0)/100 > 60 || (y-y0)/100 > 50 {
		t.Error("more bytes for each worker than docs/notes/slots.md says")
	}
}
