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

// memoryStore is a Store with a single key.
type memoryStore struct {
	lock sync.Mutex
	item storer.Item
	down bool
}

func newStore() *memoryStore { return new(memoryStore) }

func (m *memoryStore) Get(context.Context, string) (storer.Item, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.down {
		return storer.Item{}, errNoReply
	}
	if m.item.Revision == 0 {
		return m.item, storer.ErrNotFound
	}
	return m.item, nil
}

func (m *memoryStore) Swap(_ context.Context, _ string, value []byte, expected, _ int64) (int64, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.down {
		return 0, errNoReply
	}
	if m.item.Revision != expected {
		return 0, storer.ErrConflict
	}
	m.item.Value = value
	m.item.Revision++
	return m.item.Revision, nil
}

func (m *memoryStore) setDown() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.down = true
}

func newTestShare(store Store, name string) *ShareLease {
	return NewShareLease(store, "d", name, DefaultTerm, zerolog.Nop())
}

// TestSeats checks that shares go to as many hosts as there are, that a released
// one is taken over, and that a restarted host gets its share back only after the
// requests of its former process have ended.
func TestSeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		var all []*ShareLease
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			all = append(all, newTestShare(store, name))
			synctest.Wait()
			time.Sleep(5 * time.Second)
		}
		taken := map[int]bool{}
		for _, s := range all[:4] {
			index, count, _ := s.Held(time.Now())
			if count != DefaultShares || taken[index] {
				t.Errorf("share %d of %d", index, count)
			}
			taken[index] = true
		}
		if _, count, _ := all[4].Held(time.Now()); count != 0 {
			t.Error("a fifth host must not get a share")
		}
		all[0].Release(context.Background())
		time.Sleep(time.Minute)
		if _, count, _ := all[4].Held(time.Now()); count == 0 {
			t.Error("a released share must be taken")
		}
		all[1].Close()
		again := newTestShare(store, "b")
		time.Sleep(time.Second)
		if _, count, _ := again.Held(time.Now()); count != 0 {
			t.Error("a successor must wait until the predecessor's requests have ended")
		}
		time.Sleep(DefaultTerm)
		if _, count, _ := again.Held(time.Now()); count == 0 {
			t.Error("a successor of the same name must get its share")
		}
		for _, s := range append(all, again) {
			s.Close()
		}
	})
}
