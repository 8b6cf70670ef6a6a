package lender

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

type memory struct {
	lock sync.Mutex
	item storer.Item
	down bool
}

func newStore() *memory { return new(memory) }

func (m *memory) Get(context.Context, string) (storer.Item, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.down {
		return storer.Item{}, errLost
	}
	if m.item.Revision == 0 {
		return m.item, storer.ErrNotFound
	}
	return m.item, nil
}

func (m *memory) Swap(_ context.Context, _ string, value []byte, expected, _ int64) (int64, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.down {
		return 0, errLost
	}
	if m.item.Revision != expected {
		return 0, storer.ErrConflict
	}
	m.item.Value = value
	m.item.Revision++
	return m.item.Revision, nil
}

func (m *memory) setDown() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.down = true
}

func seat(store Store, name string) *ShareLease {
	return NewShareLease(store, "d", name, DefaultTerm, zerolog.Nop())
}

func TestSeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		var all []*ShareLease
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			all = append(all, seat(store, name))
			synctest.Wait()
			time.Sleep(5 * time.Second)
		}
		taken := map[int]bool{}
		for _, s := range all[:4] {
			number, count, _ := s.Held(time.Now())
			if count != DefaultShares || taken[number] {
				t.Errorf("seat %d of %d", number, count)
			}
			taken[number] = true
		}
		if _, count, _ := all[4].Held(time.Now()); count != 0 {
			t.Error("a fifth host must not get a seat")
		}
		all[0].Release(context.Background())
		time.Sleep(time.Minute)
		if _, count, _ := all[4].Held(time.Now()); count == 0 {
			t.Error("a released seat must be taken")
		}
		all[1].Close()
		again := seat(store, "b")
		time.Sleep(time.Second)
		if _, count, _ := again.Held(time.Now()); count != 0 {
			t.Error("a successor must wait until the predecessor's requests have ended")
		}
		time.Sleep(DefaultTerm)
		if _, count, _ := again.Held(time.Now()); count == 0 {
			t.Error("a successor of the same name must get its seat")
		}
		for _, s := range append(all, again) {
			s.Close()
		}
	})
}
