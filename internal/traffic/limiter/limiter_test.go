package limiter_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/limiter"
)

// testLimiter is a limiter of simulated slots, in virtual time.
type testLimiter struct {
	*limiter.Limiter[int]
	lock    sync.Mutex
	free    int           // slots
	hold    time.Duration // how long a request holds its slot
	tenants counts
}

// counts holds the counts of each tenant.
type counts map[string]*count

type count struct {
	done, refused  int
	longestWait    time.Duration // longest wait of a request that got a slot
	longestRefusal time.Duration // longest time from arrival to refusal
}

func newTestLimiter(slots int, hold time.Duration) *testLimiter {
	return &testLimiter{Limiter: limiter.New[int](limiter.Options{MaxQueue: 64}), free: slots, hold: hold, tenants: counts{}}
}

// request acquires a slot, holds it and counts the result.
func (l *testLimiter) request(tenant string, weight int, deadline time.Duration) {
	c := l.count(tenant)
	start := time.Now()
	_, err := l.Acquire(context.Background(), limiter.Request[int]{
		Service: "desk", Tenant: tenant, Class: "hold", Weight: weight, Deadline: start.Add(deadline),
		Take: func(bool) (int, error) {
			l.lock.Lock()
			defer l.lock.Unlock()
			if l.free == 0 {
				return 0, limiter.ErrBusy
			}
			l.free--
			return 1, nil
		},
	})
	waited := time.Since(start)
	if err == nil {
		time.Sleep(l.hold)
	}
	l.lock.Lock()
	if err != nil {
		c.refused++
		c.longestRefusal = max(c.longestRefusal, waited)
		l.lock.Unlock()
		return
	}
	c.longestWait = max(c.longestWait, waited)
	c.done++
	l.free++
	l.lock.Unlock()
	l.Release("desk", l.hold)
}

func (l *testLimiter) count(tenant string) *count {
	l.lock.Lock()
	defer l.lock.Unlock()
	c := l.tenants[tenant]
	if c == nil {
		c = new(count)
		l.tenants[tenant] = c
	}
	return c
}

// load starts n requests of the tenant, one per interval.
func (l *testLimiter) load(tenant string, weight int, interval, deadline time.Duration, n int) {
	for range n {
		go l.request(tenant, weight, deadline)
		time.Sleep(interval)
	}
}

// TestOverloadByOneTenant checks that a tenant which offers ten times its share
// does not delay one that uses a tenth of its share.
func TestOverloadByOneTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(8, 10*time.Millisecond) // 800/s, shares of 400/s
		go l.load("council", 1, 250*time.Microsecond, 200*time.Millisecond, 40000)
		l.load("minara", 1, 25*time.Millisecond, 200*time.Millisecond, 400)
		time.Sleep(time.Second)
		synctest.Wait()
		small, large := l.tenants["minara"], l.tenants["council"]
		t.Logf("minara %+v council %+v", *small, *large)
		if small.refused != 0 {
			t.Errorf("%d refusals of the small tenant", small.refused)
		}
		if small.longestWait > 20*time.Millisecond {
			t.Errorf("the small tenant waited for %s", small.longestWait)
		}
		if large.done < 7000 {
			t.Errorf("only %d requests of the large tenant: capacity was idle", large.done)
		}
	})
}

// TestWeights checks that competing tenants get slots in proportion to their
// weights.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(4, 10*time.Millisecond) // 400/s
		go l.load("one", 1, time.Millisecond, time.Second, 10000)
		l.load("three", 3, time.Millisecond, time.Second, 10000)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		ratio := float64(l.tenants["three"].done) / float64(l.tenants["one"].done)
		if ratio < 2.7 || ratio > 3.3 {
			t.Errorf("ratio %.2f, want 3", ratio)
		}
	})
}

// TestRefusalIsEarly checks that requests which would miss their deadline are
// refused on arrival.
func TestRefusalIsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(1, 100*time.Millisecond)
		l.request("minara", 1, time.Second)
		for range 50 {
			go l.request("minara", 1, 350*time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		c := l.tenants["minara"]
		if c.done < 3 || c.longestRefusal != 0 {
			t.Errorf("%d done, latest refusal after %s", c.done, c.longestRefusal)
		}
	})
}

// TestGivenUpWhileWaiting checks that a waiting request is refused before its
// deadline, once the remaining time is shorter than the mean hold time.
func TestGivenUpWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(1, 100*time.Millisecond)
		l.request("minara", 1, time.Second)
		l.hold = time.Hour
		go l.request("minara", 1, 2*time.Hour)
		synctest.Wait()
		start := time.Now()
		_, err := l.Acquire(context.Background(), limiter.Request[int]{
			Service: "desk", Tenant: "minara", Weight: 1, Deadline: start.Add(time.Second),
			Take: func(bool) (int, error) { return 0, limiter.ErrBusy },
		})
		var e *classifier.Error
		if !errors.As(err, &e) || e.Verdict != classifier.NotRun || e.RetryAfter <= 0 {
			t.Errorf("refusal %v", err)
		}
		if waited := time.Since(start); waited != 900*time.Millisecond {
			t.Errorf("refused after %s", waited)
		}
		time.Sleep(2 * time.Hour)
	})
}

func ExampleLimiter_Acquire() {
	free := 1
	l := limiter.New[int](limiter.Options{MaxQueue: 8})
	slot, err := l.Acquire(context.Background(), limiter.Request[int]{
		Service: "desk", Tenant: "minara", Deadline: time.Now().Add(time.Second),
		Take: func(bool) (int, error) {
			if free == 0 {
				return 0, limiter.ErrBusy
			}
			free--
			return 7, nil
		},
	})
	fmt.Println(slot, err)
	free++
	l.Release("desk", time.Millisecond)
	// Output: 7 <nil>
}
