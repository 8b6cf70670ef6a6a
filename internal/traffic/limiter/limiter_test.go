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

// bed is a limiter over a number of places, in virtual time.
type bed struct {
	*limiter.Limiter[int]
	lock  sync.Mutex
	free  int
	takes time.Duration
	all   counts
}

type counts map[string]*count

type count struct {
	done, refused int
	worst         time.Duration // wait of those that were done
	slowest       time.Duration // time until a refusal
}

func newBed(places int, takes time.Duration) *bed {
	return &bed{Limiter: limiter.New[int](limiter.Options{MaxQueue: 64}), free: places, takes: takes, all: counts{}}
}

func (b *bed) request(tenant string, weight int, deadline time.Duration) {
	c := b.count(tenant)
	start := time.Now()
	_, err := b.Acquire(context.Background(), limiter.Request[int]{
		Service: "desk", Tenant: tenant, Class: "hold", Weight: weight, Deadline: start.Add(deadline),
		Take: func(bool) (int, error) {
			b.lock.Lock()
			defer b.lock.Unlock()
			if b.free == 0 {
				return 0, limiter.ErrBusy
			}
			b.free--
			return 1, nil
		},
	})
	waited := time.Since(start)
	if err == nil {
		time.Sleep(b.takes)
	}
	b.lock.Lock()
	if err != nil {
		c.refused++
		c.slowest = max(c.slowest, waited)
		b.lock.Unlock()
		return
	}
	c.worst = max(c.worst, waited)
	c.done++
	b.free++
	b.lock.Unlock()
	b.Release("desk", b.takes)
}

func (b *bed) count(tenant string) *count {
	b.lock.Lock()
	defer b.lock.Unlock()
	c := b.all[tenant]
	if c == nil {
		c = new(count)
		b.all[tenant] = c
	}
	return c
}

// load sends a request of the tenant at every interval.
func (b *bed) load(tenant string, weight int, interval, deadline time.Duration, n int) {
	for range n {
		go b.request(tenant, weight, deadline)
		time.Sleep(interval)
	}
}

// TestOverloadByOneTenant offers ten times its share for one tenant beside a
// tenth of its share for another.
func TestOverloadByOneTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(8, 10*time.Millisecond) // 800/s, shares of 400/s
		go b.load("council", 1, 250*time.Microsecond, 200*time.Millisecond, 40000)
		b.load("minara", 1, 25*time.Millisecond, 200*time.Millisecond, 400)
		time.Sleep(time.Second)
		synctest.Wait()
		small, large := b.all["minara"], b.all["council"]
		t.Logf("minara %+v council %+v", *small, *large)
		if small.refused != 0 {
			t.Errorf("%d refusals of the small tenant", small.refused)
		}
		if small.worst > 20*time.Millisecond {
			t.Errorf("the small tenant waited %s", small.worst)
		}
		if large.done < 7000 {
			t.Errorf("only %d of the large tenant: capacity was idle", large.done)
		}
	})
}

// TestWeights shows that tenants under contention get what their weights say.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(4, 10*time.Millisecond) // 400/s
		go b.load("one", 1, time.Millisecond, time.Second, 10000)
		b.load("three", 3, time.Millisecond, time.Second, 10000)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		ratio := float64(b.all["three"].done) / float64(b.all["one"].done)
		if ratio < 2.7 || ratio > 3.3 {
			t.Errorf("ratio %.2f, want 3", ratio)
		}
	})
}

// TestRefusalIsEarly shows that hopeless requests are refused on arrival.
func TestRefusalIsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, 100*time.Millisecond)
		b.request("minara", 1, time.Second)
		for range 50 {
			go b.request("minara", 1, 350*time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		c := b.all["minara"]
		if c.done < 3 || c.slowest != 0 {
			t.Errorf("%d done, refusal after %s", c.done, c.slowest)
		}
	})
}

// TestGivenUpWhileWaiting shows that a request whose hope fades is refused
// before its deadline, with a time to come back.
func TestGivenUpWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(1, 100*time.Millisecond)
		b.request("minara", 1, time.Second)
		b.takes = time.Hour
		go b.request("minara", 1, 2*time.Hour)
		synctest.Wait()
		start := time.Now()
		_, err := b.Acquire(context.Background(), limiter.Request[int]{
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
	place, err := l.Acquire(context.Background(), limiter.Request[int]{
		Service: "desk", Tenant: "minara", Deadline: time.Now().Add(time.Second),
		Take: func(bool) (int, error) {
			if free == 0 {
				return 0, limiter.ErrBusy
			}
			free--
			return 7, nil
		},
	})
	fmt.Println(place, err)
	free++
	l.Release("desk", time.Millisecond)
	// Output: 7 <nil>
}
