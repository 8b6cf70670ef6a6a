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

// Store is the part of the store that seats use.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error)
}

const (
	// DefaultShares is the number of seats of a failure domain. Entry hosts
	// above it use lent slots only.
	DefaultShares = 4

	seatTerm     = 24 * time.Hour   // a seat lasts this long without the store
	seatRenew    = time.Hour        // between renewals
	seatCheck    = 30 * time.Second // between looks at the record
	releaseTries = 5                // when other hosts change the record meanwhile

	seatMargin = 10 * time.Minute // for wall clocks that differ
)

// ShareLease is an entry host's right to a base share of every worker of its failure
// domain. It is recorded in the store under seats/<domain>.
type ShareLease struct {
	Done chan struct{} // closed when renewals have ended

	store  Store
	domain string
	name   string
	wait   time.Duration // until a predecessor's requests have ended
	count  int
	born   int64
	log    zerolog.Logger
	stop   context.CancelFunc
	once   sync.Once

	lock   sync.Mutex
	number int
	seats  int       // 0 while no seat is held
	from   time.Time // start of use
	until  time.Time // end, on the local clock
}

// record is the store's value.
type record struct {
	Seats []entry `json:"seats"`
}

// entry is one seat; an empty name means that it is free.
type entry struct {
	Name  string    `json:"name,omitempty"`
	Born  int64     `json:"born,omitempty"`
	Until time.Time `json:"until,omitzero"`
}

// NewShareLease seeks a seat until Close and keeps it. Wait is the term of loans.
func NewShareLease(store Store, domain, name string, wait time.Duration, log zerolog.Logger) *ShareLease {
	ctx, stop := context.WithCancel(context.Background())
	s := &ShareLease{
		Done:   make(chan struct{}),
		store:  store,
		domain: domain,
		name:   name,
		wait:   wait,
		count:  DefaultShares,
		born:   time.Now().UnixNano(),
		log:    log.With().Str("part", "lender").Logger(),
		stop:   stop,
	}
	go func() {
		defer close(s.Done)
		s.run(ctx)
	}()
	return s
}

// Held returns the number of the seat and how many there are, 0 if none is
// held at the time, and until when it lasts.
func (s *ShareLease) Held(now time.Time) (number, count int, until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.seats == 0 || now.Before(s.from) || !now.Before(s.until) {
		return 0, 0, time.Time{}
	}
	return s.number, s.seats, s.until
}

// Release frees the seat for others.
func (s *ShareLease) Release(ctx context.Context) {
	s.Close()
	s.drop()
	err := s.change(ctx, s.vacate, func() {})
	for i := 1; i < releaseTries && errors.Is(err, storer.ErrConflict); i++ {
		err = s.change(ctx, s.vacate, func() {})
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("Seat not released.")
	}
}

func (s *ShareLease) vacate(r *record) bool {
	for i := range r.Seats {
		if r.Seats[i].Name == s.name && r.Seats[i].Born == s.born {
			r.Seats[i] = entry{}
			return true
		}
	}
	return false
}

// Close ends renewals and keeps the record.
func (s *ShareLease) Close() {
	s.once.Do(s.stop)
	<-s.Done
}

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
		pause = seatCheck
		if err := s.keep(ctx); err != nil {
			pause = time.Second
			s.log.Debug().Err(err).Msg("Seat not confirmed.")
		}
	}
}

// keep takes, confirms or renews the seat.
func (s *ShareLease) keep(ctx context.Context) error {
	sent := time.Now()
	number, seats, from := -1, 0, sent
	return s.change(ctx, func(r *record) bool {
		seats = len(r.Seats)
		if seats == 0 {
			r.Seats = make([]entry, s.count)
			seats = s.count
		}
		number = s.find(r, sent)
		if number < 0 {
			s.drop()
			return false
		}
		e := &r.Seats[number]
		own := e.Name == s.name && e.Born == s.born
		if !own {
			s.drop()
		}
		if e.Name != "" && !own {
			from = sent.Add(s.wait)
		}
		if own && e.Until.After(sent.Add(seatTerm-seatRenew)) {
			s.confirm(number, seats, sent, e.Until)
			return false
		}
		*e = entry{Name: s.name, Born: s.born, Until: sent.Add(seatTerm)}
		return true
	}, func() { s.hold(number, seats, from, sent.Add(seatTerm-seatMargin)) })
}

// find returns the own seat, that of a predecessor of the same name, a free
// one or one that has ended, and -1 if there is none.
func (s *ShareLease) find(r *record, now time.Time) int {
	best, rank := -1, 0
	for i, e := range r.Seats {
		got := 0
		switch {
		case e.Name == s.name && e.Born == s.born:
			got = 4
		case e.Name == s.name && e.Born < s.born:
			got = 3
		case e.Name == "":
			got = 2
		case now.After(e.Until.Add(seatMargin)):
			got = 1
		}
		if got > rank {
			best, rank = i, got
		}
	}
	return best
}

func (s *ShareLease) hold(number, seats int, from, until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.seats == 0 {
		s.from = from
	}
	s.number, s.seats, s.until = number, seats, until
}

// confirm notes that the record still names this process. It also adopts a
// write whose answer was lost, after the wait that may have applied to it.
func (s *ShareLease) confirm(number, seats int, now, until time.Time) {
	s.hold(number, seats, now.Add(s.wait), now.Add(until.Sub(now)-seatMargin))
}

func (s *ShareLease) drop() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.seats = 0
}

// change applies edit by compare-and-swap and calls done if it wrote.
func (s *ShareLease) change(ctx context.Context, edit func(*record) bool, done func()) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	key := "seats/" + s.domain
	item, err := s.store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	var r record
	if len(item.Value) > 0 {
		if err := json.Unmarshal(item.Value, &r); err != nil {
			return fmt.Errorf("lender: record of seats: %w", err)
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

func offset(worker string) int { return int(xxhash.Sum64String(worker) % 1024) }
