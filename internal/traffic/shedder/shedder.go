// Package shedder bounds what callers hold of a process, its memory and its file descriptors,
// so that callers that send much and stop can't end it or shut ordinary callers out.
//
// # Model
//
// A [Shedder] divides the process's limits: a share of the memory is the budget of bodies that
// are being received, and a share of the descriptors bounds the connections of callers. When
// a bound is reached, room is made at the cost of whoever has made no progress for longest:
// its connection is closed, or its body refused. A request that was received whole is never
// cut off, so every response stays true.
//
//	s := shedder.New(shedder.Options{Memory: 284 << 20, Descriptors: 4100, Scope: scope, Log: log})
//	server := &http.Server{Handler: s.Handler(handler), ConnContext: shedder.ConnContext}
//	err := server.Serve(s.Listener(listener, s.MaxConnections))
//
// Handlers read bodies with [Shedder.ReadBody].
package shedder

import (
	"math"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

const (
	defaultMemory      = 256 << 20 // bytes
	defaultDescriptors = 4096
)

const (
	reservedDescriptors = 200      // for files; the platform keeps as many apart
	connectionMemory    = 24 << 10 // bytes, of an open connection: stacks, buffers and header
	minConnections      = 16

	bodyShare       = 4 // part of the memory for bodies
	connectionShare = 4 // part of the memory for connections
	heapShare       = 5 // of heapDivisor parts of the memory, for all that the runtime manages
	heapDivisor     = 8
	socketShare     = 4 // part of the sockets for callers; each request may need one to the store and leave one that is being dialed, the rest is for workers
)

// Options configure a Shedder.
type Options struct {
	Memory      int64 // bytes that the process may use; 0: 256 MiB
	Descriptors int   // file descriptors that the process may open; 0: its resource limit
	Scope       tally.Scope
	Log         zerolog.Logger
}

// Shedder bounds callers' connections and bodies. It is safe for concurrent use.
type Shedder struct {
	MaxConnections int   // bound on the connections of callers
	BodyBudget     int64 // bytes, of all bodies being received, without smallBody of each

	budget  *semaphore.Weighted
	reasons [numReasons]reasonReport
	log     zerolog.Logger

	mu     sync.Mutex
	bodies map[*body]struct{} // bodies being received that hold a part of the budget
}

// New returns a Shedder for a process with these limits.
func New(o Options) *Shedder {
	if o.Memory <= 0 {
		o.Memory = defaultMemory
	}
	if o.Descriptors <= 0 {
		o.Descriptors = resourceLimit()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Shedder{
		MaxConnections: max(minConnections, min((o.Descriptors-reservedDescriptors)/socketShare, int(o.Memory/connectionShare/connectionMemory))),
		BodyBudget:     o.Memory / bodyShare,
		log:            o.Log.With().Str("part", "shedder").Logger(),
		bodies:         make(map[*body]struct{}),
	}
	s.budget = semaphore.NewWeighted(s.BodyBudget)
	for r := range numReasons {
		s.reasons[r].counter = o.Scope.Tagged(map[string]string{"reason": r.String()}).Counter("callers_shed")
		s.reasons[r].sometimes = rate.Sometimes{Interval: reportInterval}
	}
	return s
}

// resourceLimit returns how many descriptors the system lets the process open.
func resourceLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// LimitHeap sets the runtime's soft memory limit for a process that may use so many bytes, 0 if
// that isn't known. It is the last line: garbage is collected more often before the process
// exceeds its memory. The rest is for the program's text and for what the kernel holds.
func LimitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(memory / heapDivisor * heapShare)
	}
}

// reason is why a caller was refused or its connection closed.
type reason uint8

const (
	bodyTooLarge      reason = iota // the body exceeds its limit
	bodyTooSlow                     // the body made no progress, or took too long
	bodyDisplaced                   // the budget was used up, and the body had made no progress for longest
	budgetUsedUp                    // the budget was used up by bodies that made progress
	connectionEvicted               // the bound was reached, and the connection had made no progress for longest
	connectionRefused               // the bound was reached, and all connections had requests in progress
	numReasons
)

// String returns the word for the reason in metrics and logs.
func (r reason) String() string {
	return [...]string{"body-large", "body-slow", "body-displaced", "body-budget", "connection-evicted", "connection-refused"}[r]
}

// reportInterval is the shortest time between two log lines with one reason.
const reportInterval = 10 * time.Second

// reasonReport counts and logs what happened for one reason.
type reasonReport struct {
	counter   tally.Counter
	sometimes rate.Sometimes
}

// report counts a caller that was refused or closed, and logs some of them.
func (s *Shedder) report(r reason, address string) {
	s.reasons[r].counter.Inc(1)
	s.reasons[r].sometimes.Do(func() {
		s.log.Warn().Stringer("reason", r).Str("caller", address).Msg("caller shed")
	})
}
