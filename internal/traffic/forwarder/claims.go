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
	claimTimeout   = 2 * time.Second // long enough for a change of the key's shard owner during the call
	maxSavedClaims = 1024            // idempotency keys that are remembered
	maxSavedBody   = 16 << 10        // bytes; a larger response is not saved
)

// claimState is how the request with a key has ended, as far as this entry host
// knows.
type claimState uint8

const (
	stateSending claimState = iota
	stateMayHaveRun
	stateNotRun
	stateAnswered
)

// claimTable holds the idempotency keys of requests that this entry host has
// sent or is sending. An evicted key stays safe: the Claimer still knows that
// it is claimed.
type claimTable struct {
	lock    sync.Mutex
	entries map[string]*claimEntry
	order   []string // oldest first
}

// claimEntry is the state of one key.
type claimEntry struct {
	state    claimState
	owner    string          // latest request with the key, see call.owner
	owners   map[string]bool // all requests with the key through this entry host
	response *savedResponse  // nil unless state is stateAnswered
}

// begin registers that the request named owner is about to be sent. It returns the
// existing entry and false if the key is in use and its request may have run.
func (t *claimTable) begin(key, owner string) (earlier *claimEntry, ok bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.entries == nil {
		t.entries = make(map[string]*claimEntry)
	}
	e := t.entries[key]
	if e == nil {
		t.evict()
		t.entries[key] = &claimEntry{owner: owner, owners: map[string]bool{owner: true}}
		t.order = append(t.order, key)
		return nil, true
	}
	if e.state != stateNotRun {
		earlier := *e
		return &earlier, false
	}
	e.state = stateSending
	e.owner = owner
	e.owners[owner] = true
	return nil, true
}

// evict makes room for one key, oldest first. Keys of requests in flight are
// kept.
func (t *claimTable) evict() {
	for i := 0; len(t.order) >= maxSavedClaims && i < len(t.order); i++ {
		key := t.order[0]
		t.order = t.order[1:]
		if t.entries[key].state == stateSending {
			t.order = append(t.order, key)
			continue
		}
		delete(t.entries, key)
	}
}

// isClaimedHere reports whether this entry host claimed the key under owner.
func (t *claimTable) isClaimedHere(key, owner string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	e := t.entries[key]
	return e != nil && e.owners[owner]
}

// recordFailure notes that the request failed. The key can be used again if the
// verdict says that the request has not run.
func (t *claimTable) recordFailure(key, owner string, failure *classifier.Error) {
	state := stateMayHaveRun
	if failure.Verdict == classifier.NotRun {
		state = stateNotRun
	}
	t.finish(key, owner, state, nil)
}

// recordResponse keeps the response for a repetition of the request.
func (t *claimTable) recordResponse(key, owner string, r *savedResponse) {
	if r.tooLarge {
		t.finish(key, owner, stateMayHaveRun, nil)
		return
	}
	t.finish(key, owner, stateAnswered, r)
}

// finish sets the state of the key, unless another request has taken it over.
func (t *claimTable) finish(key, owner string, state claimState, r *savedResponse) {
	t.lock.Lock()
	defer t.lock.Unlock()
	e := t.entries[key]
	if e == nil || e.owner != owner {
		return
	}
	e.state = state
	e.response = r
}

// savedResponse is a complete response, kept for a caller that repeats its request.
type savedResponse struct {
	status   int
	header   http.Header
	body     []byte
	tooLarge bool // body exceeded maxSavedBody
}

// newSavedResponse copies status and headers; add appends the body.
func newSavedResponse(r *backendResponse) *savedResponse {
	s := &savedResponse{status: r.StatusCode, header: make(http.Header)}
	copyEndToEndHeaders(s.header, r.Header)
	return s
}

// add appends a piece of the body. It accepts a nil receiver, for requests
// without a key.
func (s *savedResponse) add(b []byte) {
	if s == nil || s.tooLarge {
		return
	}
	if len(s.body)+len(b) > maxSavedBody {
		s.tooLarge = true
		s.body = nil
		return
	}
	s.body = append(s.body, b...)
}

// answerRepeat answers a request whose key was used before, with the saved
// response or a refusal, and returns true. For a new key it registers the request
// and returns false.
func (f *Forwarder) answerRepeat(w http.ResponseWriter, c *call) bool {
	c.key = c.tenant + "/" + c.service + "/" + c.key
	c.owner = fmt.Sprintf("%s/%d/%d", f.Options.Name, f.incarnation, f.claimSequence.Add(1))
	earlier, ok := f.claims.begin(c.key, c.owner)
	if ok {
		return false
	}
	if earlier.state != stateAnswered {
		classifier.WriteError(w, errRepeated(earlier.owner))
		return true
	}
	copyEndToEndHeaders(w.Header(), earlier.response.header)
	w.Header().Set(VerdictHeader, classifier.Ran.String())
	w.WriteHeader(earlier.response.status)
	_, _ = w.Write(earlier.response.body)
	return true
}

// claimKey records the key with the Claimer before the first byte is sent. A
// retry has claimed it already.
func (f *Forwarder) claimKey(ctx context.Context, c *call) error {
	if c.key == "" || c.claimed {
		return nil
	}
	if f.claimer == nil {
		return errNotClaimed(nil)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	fresh, first, err := f.claimer.Claim(ctx, c.key, c.owner)
	if err != nil {
		return errNotClaimed(err)
	}
	if !fresh && !f.claims.isClaimedHere(c.key, first) {
		return errRepeated(first)
	}
	c.claimed = true
	return nil
}

// errNotClaimed returns the error for a key that could not be claimed, so that the
// request was not sent.
func errNotClaimed(err error) error {
	return &classifier.Error{
		Verdict: classifier.NotRun, Status: http.StatusServiceUnavailable, Code: "unclaimed", Field: KeyHeader,
		Message: "the idempotency key could not be recorded", RetryAfter: time.Second, Err: err,
	}
}

// errRepeated returns the error for a key that was claimed before by the owner
// first, whose request may have run.
func errRepeated(first string) error {
	return &classifier.Error{
		Verdict: classifier.MayHaveRun, Status: http.StatusConflict, Code: "repeated", Field: KeyHeader,
		Message: "the key was used before, by " + first,
	}
}
