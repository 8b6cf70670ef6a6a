package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

const (
	claimTimeout = 2 * time.Second // of one call to the claimer, with a change of owner
	maxClaims    = 1024            // keys remembered
	maxCopied    = 16 << 10        // bytes of an answer that is remembered
)

// claimState is what this entry host knows of a key.
type claimState uint8

const (
	sending claimState = iota
	mayHaveRun
	notRun
	answered
)

// claims remembers the keys of requests that this entry host has sent or is
// sending. Forgetting one is safe: the claimer still knows that it is taken.
type claims struct {
	lock  sync.Mutex
	known map[string]*claimed
	order []string // oldest first
}

type claimed struct {
	state claimState
	owner string
	owned map[string]bool // all names under which this entry host claimed the key
	copy  *copied
}

// enter notes that owner is about to send. It returns the earlier entry when
// the key is taken here.
func (x *claims) enter(key, owner string) (earlier *claimed, ok bool) {
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.known == nil {
		x.known = make(map[string]*claimed)
	}
	e := x.known[key]
	if e == nil {
		x.forget()
		x.known[key] = &claimed{owner: owner, owned: map[string]bool{owner: true}}
		x.order = append(x.order, key)
		return nil, true
	}
	if e.state != notRun {
		earlier := *e
		return &earlier, false
	}
	e.state = sending
	e.owner = owner
	e.owned[owner] = true
	return nil, true
}

// forget makes room for one key. Keys that are being sent are kept.
func (x *claims) forget() {
	for i := 0; len(x.order) >= maxClaims && i < len(x.order); i++ {
		key := x.order[0]
		x.order = x.order[1:]
		if x.known[key].state == sending {
			x.order = append(x.order, key)
			continue
		}
		delete(x.known, key)
	}
}

func (x *claims) isOwn(key, owner string) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	e := x.known[key]
	return e != nil && e.owned[owner]
}

func (x *claims) failed(key, owner string, failure *classifier.Error) {
	state := mayHaveRun
	if failure.Verdict == classifier.NotRun {
		state = notRun
	}
	x.end(key, owner, state, nil)
}

func (x *claims) answered(key, owner string, c *copied) {
	if c.cut {
		x.end(key, owner, mayHaveRun, nil)
		return
	}
	x.end(key, owner, answered, c)
}

func (x *claims) end(key, owner string, state claimState, c *copied) {
	x.lock.Lock()
	defer x.lock.Unlock()
	e := x.known[key]
	if e == nil || e.owner != owner {
		return
	}
	e.state = state
	e.copy = c
}

// copied is a whole answer kept for a caller that repeats its request.
type copied struct {
	status int
	header http.Header
	body   []byte
	cut    bool // too large to keep
}

func newCopied(a *answer) *copied {
	c := &copied{status: a.StatusCode, header: make(http.Header)}
	passHeaders(c.header, a.Header)
	return c
}

func (c *copied) add(b []byte) {
	if c == nil || c.cut {
		return
	}
	if len(c.body)+len(b) > maxCopied {
		c.cut = true
		c.body = nil
		return
	}
	c.body = append(c.body, b...)
}

// replay answers a repeated key from memory or refuses it. Otherwise it notes
// that the request is about to be sent, and returns false.
func (f *Forwarder) replay(w http.ResponseWriter, c *call) bool {
	c.key = c.tenant + "/" + c.service + "/" + c.key
	c.owner = fmt.Sprintf("%s/%d/%d", f.Options.Name, f.born, f.serial.Add(1))
	earlier, ok := f.claims.enter(c.key, c.owner)
	if ok {
		return false
	}
	if earlier.state != answered {
		classifier.WriteError(w, repeated(earlier.owner))
		return true
	}
	passHeaders(w.Header(), earlier.copy.header)
	w.Header().Set(VerdictHeader, classifier.Ran.String())
	w.WriteHeader(earlier.copy.status)
	_, _ = w.Write(earlier.copy.body)
	return true
}

// claim takes the key before the first byte is sent. A retry holds it already.
func (f *Forwarder) claim(ctx context.Context, c *call) error {
	if c.key == "" || c.claimed {
		return nil
	}
	if f.claimer == nil {
		return errUnclaimed(nil)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	fresh, first, err := f.claimer.Claim(ctx, c.key, c.owner)
	if err != nil {
		return errUnclaimed(err)
	}
	if !fresh && !f.claims.isOwn(c.key, first) {
		return repeated(first)
	}
	c.claimed = true
	return nil
}

func errUnclaimed(err error) error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, Code: "unclaimed", Field: KeyHeader,
		Message: "the idempotency key could not be recorded", RetryAfter: time.Second, Err: err,
	}
}

func repeated(first string) error {
	return &classifier.Error{
		Verdict: classifier.MayHaveRun, Status: http.StatusConflict, Code: "repeated", Field: KeyHeader,
		Message: "the key was used before, by " + first,
	}
}
