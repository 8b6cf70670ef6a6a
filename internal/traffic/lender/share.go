package lender

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
)

// Store is the part of the key-value store that share leases use.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
}

const (
	// DefaultShares is the number of base shares in a failure domain. When all
	// are taken, further entry hosts use leased slots only.
	DefaultShares = 4

	shareTerm    = 24 * time.Hour   // lifetime of a share lease, which stays valid while the store is unavailable
	shareRenewal = time.Hour        // age at which a lease is renewed
	shareCheck   = 30 * time.Second // time between reads of the record
	releaseTries = 5                // attempts, since other hosts may change the record at the same time

	clockMargin = 10 * time.Minute // allowance for differences between hosts' wall clocks
)

// ShareLease is an entry host's long-lived lease on one base share: a fixed
// part of the base pool of every worker in its failure domain. The store keeps
// the leases of a failure domain in one record under seats/<domain>; there, a
// share is called a seat.
type ShareLease struct {
	Done chan struct{} // closed when renewals have ended

	store         Store
	domain        string
	name          string
	takeoverDelay time.Duration // wait until requests of the share's former holder have ended
	shares        int           // number of shares in a new record
	incarnation   int64         // start time in Unix nanoseconds
	log           zerolog.Logger
	stop          context.CancelFunc
	once          sync.Once

	lock  sync.Mutex
	index int       // which share is held
	count int       // number of shares in the failure domain, 0 while none is held
	from  time.Time // the share is not used earlier
	until time.Time // end of the lease by the local clock
}

// shareRecord is the value in the store.
type shareRecord struct {
	Shares []shareEntry `json:"seats"`
}

// shareEntry is the lease on one share. An empty name means that it is free.
type shareEntry struct {
	Name        string    `json:"name,omitempty"`
	Incarnation int64     `json:"born,omitempty"`
	Until       time.Time `json:"until,omitzero"`
}

// NewShareLease returns a lease that seeks a free share and renews the lease
// until Close. wait is the lifetime of slot leases: a share that had another
// holder is not used for so long, until that holder's requests have ended.
func NewShareLease(store Store, domain, name string, wait time.Duration, log zerolog.Logger) *ShareLease {
	ctx, stop := context.WithCancel(context.Background())
	s := &ShareLease{
		Done:          make(chan struct{}),
		store:         store,
		domain:        domain,
		name:          name,
		takeoverDelay: wait,
		shares:        DefaultShares,
		incarnation:   time.Now().UnixNano(),
		log:           log.With().Str("part", "lender").Logger(),
		stop:          stop,
	}
	go func() {
		defer close(s.Done)
		s.run(ctx)
	}()
	return s
}

// Held returns the index of the share held at the time, the number of shares
// in the failure domain and when the lease ends. The number is 0 if no share is
// held.
func (s *ShareLease) Held(now time.Time) (index, count int, until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.count == 0 || now.Before(s.from) || !now.Before(s.until) {
		return 0, 0, time.Time{}
	}
	return s.index, s.count, s.until
}

// Release ends renewals and frees the share for other entry hosts. If the
// record can't be changed, the share becomes free when the lease expires.
func (s *ShareLease) Release(ctx context.Context) {
	s.Close()
	s.clearHeld()
	err := s.update(ctx, s.clearOwn, func() {})
	for i := 1; i < releaseTries && errors.Is(err, storer.ErrConflict); i++ {
		err = s.update(ctx, s.clearOwn, func() {})
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("share lease release failed")
	}
}

// clearOwn frees this process's entry and reports whether there was one.
func (s *ShareLease) clearOwn(r *shareRecord) bool {
	for i := range r.Shares {
		if r.Shares[i].Name == s.name && r.Shares[i].Incarnation == s.incarnation {
			r.Shares[i] = shareEntry{}
			return true
		}
	}
	return false
}

// Close ends renewals. The lease stays in the record until it expires.
func (s *ShareLease) Close() {
	s.once.Do(s.stop)
	<-s.Done
}

// run seeks a share and keeps its lease until ctx ends.
func (s *ShareLease) run(ctx context.Context) {
	pause := time.Duration(0)
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		pause = shareCheck
		if err := s.acquireOrRenew(ctx); err != nil {
			pause = time.Second
			s.log.Debug().Err(err).Msg("share lease renewal failed")
		}
	}
}

// acquireOrRenew takes a share, or confirms or renews the lease on the one held.
// A share whose entry named another process is not used before takeoverDelay has
// passed.
func (s *ShareLease) acquireOrRenew(ctx context.Context) error {
	sent := time.Now()
	index, count, from := -1, 0, sent
	return s.update(ctx, func(r *shareRecord) bool {
		count = len(r.Shares)
		if count == 0 {
			r.Shares = make([]shareEntry, s.shares)
			count = s.shares
		}
		index = s.findShare(r, sent)
		if index < 0 {
			s.clearHeld()
			return false
		}
		e := &r.Shares[index]
		own := e.Name == s.name && e.Incarnation == s.incarnation
		if !own {
			s.clearHeld()
		}
		if e.Name != "" && !own {
			from = sent.Add(s.takeoverDelay)
		}
		if own && e.Until.After(sent.Add(shareTerm-shareRenewal)) {
			s.confirmHeld(index, count, sent, e.Until)
			return false
		}
		*e = shareEntry{Name: s.name, Incarnation: s.incarnation, Until: sent.Add(shareTerm)}
		return true
	}, func() { s.setHeld(index, count, from, sent.Add(shareTerm-clockMargin)) })
}

// findShare returns the index of the best share to take or keep, -1 if there
// is none. In order of preference: the own one, that of an earlier process of the
// same name, a free one, one whose lease has expired.
func (s *ShareLease) findShare(r *shareRecord, now time.Time) int {
	best, bestRank := -1, 0
	for i, e := range r.Shares {
		rank := 0
		switch {
		case e.Name == s.name && e.Incarnation == s.incarnation:
			rank = 4
		case e.Name == s.name && e.Incarnation < s.incarnation:
			rank = 3
		case e.Name == "":
			rank = 2
		case now.After(e.Until.Add(clockMargin)):
			rank = 1
		}
		if rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// setHeld records the share as held. A renewal keeps the start of its use.
func (s *ShareLease) setHeld(index, count int, from, until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.count == 0 {
		s.from = from
	}
	s.index, s.count, s.until = index, count, until
}

// confirmHeld records that the store still names this process. If the write
// took effect but its response was lost, this is how the process learns of the
// lease; the share may have had another holder then, so takeoverDelay applies.
func (s *ShareLease) confirmHeld(index, count int, now, until time.Time) {
	s.setHeld(index, count, now.Add(s.takeoverDelay), now.Add(until.Sub(now)-clockMargin))
}

// clearHeld records that no share is held.
func (s *ShareLease) clearHeld() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.count = 0
}

// update applies edit to the record by compare-and-swap. If edit returns false,
// nothing is written; done is called after a write. The error is
// storer.ErrConflict when another host changed the record in between.
func (s *ShareLease) update(ctx context.Context, edit func(*shareRecord) bool, done func()) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	key := "seats/" + s.domain
	item, err := s.store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	var r shareRecord
	if len(item.Value) > 0 {
		if err := json.Unmarshal(item.Value, &r); err != nil {
			return fmt.Errorf("lender: invalid share record: %w", err)
		}
	}
	if !edit(&r) {
		return nil
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if _, err := s.store.Swap(ctx, key, data, item.Revision, 0); err != nil {
		return err
	}
	done()
	return nil
}

// workerOffset returns a number from 0 to 1023 that depends on the worker's name.
// baseShare uses it to spread the remainder.
func workerOffset(worker string) int { return int(xxhash.Sum64String(worker) % 1024) }
