package gossiper

import (
	"math"
	"slices"
	"sync"
	"time"
)

// run starts one probe each interval until Close. If two ticks are more than two
// intervals apart, as when the process was paused, it extends the suspicions by the
// excess.
func (g *Gossiper) run() {
	ticker := time.NewTicker(g.options.Interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		g.tick()
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if late := now.Sub(last) - 2*g.options.Interval; late > 0 {
			g.mu.Lock()
			g.extendSuspicions(late)
			g.mu.Unlock()
		}
		last = now
	}
}

// tick expires members, probes the next one, and at times pings an address that is
// not a member. It does not wait for the answers.
func (g *Gossiper) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ticks++
	g.expireMembers(time.Now())
	if target := g.nextMember(); target != nil && g.canAffordPing() {
		m := target.member
		g.startTask(func() { g.probe(m) })
	}
	if address := g.nextNonMember(); address != "" && g.canAffordPing() {
		g.startTask(func() { _ = g.ping(g.ctx, address, "") })
	}
}

// canAffordPing reports whether the budget allows a ping without updates, estimated
// as twice the bytes that surround a heartbeat. g.mu is held.
func (g *Gossiper) canAffordPing() bool {
	return g.limiter.TokensAt(time.Now()) > 2*(envelopeSize+transportOverhead)
}

// startTask runs f on a goroutine that Done waits for, unless the gossiper is
// closed. g.mu is held.
func (g *Gossiper) startTask(f func()) {
	if g.closed {
		return
	}
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		f()
	}()
}

// nextMember returns the next member to probe, or nil. Each round goes through all
// members that are not dead in a new random order. g.mu is held.
func (g *Gossiper) nextMember() *entry {
	for range len(g.members) + 1 {
		if len(g.pingOrder) == 0 {
			g.pingOrder = slices.Clone(g.names())
			g.random.Shuffle(len(g.pingOrder), func(i, j int) { g.pingOrder[i], g.pingOrder[j] = g.pingOrder[j], g.pingOrder[i] })
		}
		if len(g.pingOrder) == 0 {
			return nil
		}
		e := g.members[g.pingOrder[0]]
		g.pingOrder = g.pingOrder[1:]
		if e != nil && e.State != dead {
			return e
		}
	}
	return nil
}

// nextNonMember returns an address to ping that belongs to no live member, or "". It
// returns one in every interval while this host knows no other live member, and
// every rejoinIntervals otherwise, so that the sides of a healed partition find each
// other. g.mu is held.
func (g *Gossiper) nextNonMember() string {
	memberAddresses := map[string]bool{g.self.Address: true}
	var deadAddresses []string
	for _, name := range g.names() {
		e := g.members[name]
		if e.State == dead {
			deadAddresses = append(deadAddresses, e.Address)
			continue
		}
		memberAddresses[e.Address] = true
	}
	if len(memberAddresses) > 1 && g.ticks%rejoinIntervals != 0 {
		return ""
	}
	candidates := slices.Concat(g.options.Seeds, g.listedAddresses, deadAddresses)
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return memberAddresses[a] })
	if len(candidates) == 0 {
		return ""
	}
	g.nextCandidate++
	return candidates[g.nextCandidate%len(candidates)]
}

// probe pings a member, directly and then through other hosts, and marks it suspect
// if it did not answer. A leaving member that does not answer a direct ping is
// marked dead.
func (g *Gossiper) probe(m member) {
	reached := g.ping(g.ctx, m.Address, "") == nil || !m.Leaving && g.probeIndirectly(m)
	if g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if reached {
		g.failureScore = max(0, g.failureScore-1)
		return
	}
	if m.Leaving {
		g.setState(m.Name, m.Incarnation, dead)
		return
	}
	g.failureScore = min(maxFailureScore, g.failureScore+1)
	g.setState(m.Name, m.Incarnation, suspect)
}

// confirmDeath pings a suspect member for a last time and marks it dead if it does
// not answer. An isolation may have ended so late that its refutation, which comes
// with a ping, would not arrive in time.
func (g *Gossiper) confirmDeath(m member) {
	if g.ping(g.ctx, m.Address, "") == nil || g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setState(m.Name, m.Incarnation, dead)
}

// probeIndirectly asks up to indirectProbes other hosts to ping m, and reports
// whether one of them reached it.
func (g *Gossiper) probeIndirectly(m member) bool {
	g.mu.Lock()
	names := slices.Clone(g.names())
	g.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var helpers []string
	for _, name := range names {
		if e := g.members[name]; name != m.Name && e.State == alive && len(helpers) < indirectProbes && g.canAffordPing() {
			helpers = append(helpers, e.Address)
		}
	}
	g.mu.Unlock()
	reached := make([]bool, len(helpers))
	var asks sync.WaitGroup
	for i, address := range helpers {
		asks.Go(func() { reached[i] = g.ping(g.ctx, address, m.Address) == nil })
	}
	asks.Wait()
	return slices.Contains(reached, true)
}

// maxFailureScore bounds the factor by which a host whose probes fail extends its
// suspicions. If it reaches nobody, the fault is more likely its own.
const maxFailureScore = 8

// suspicionTimeout returns how long a member stays suspect before it is marked dead.
// It grows with the logarithm of the number of members, and with the failure score.
// g.mu is held.
func (g *Gossiper) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(g.members)+1)))
	scale *= float64(max(1, g.failureScore))
	return time.Duration(suspicionIntervals * scale * float64(g.options.Interval))
}

// leaveTargets returns the addresses that Leave pings: all live members of the same
// failure domain, and up to indirectProbes others. g.mu is held.
func (g *Gossiper) leaveTargets() []string {
	var out []string
	otherDomains := indirectProbes
	for _, name := range g.names() {
		e := g.members[name]
		switch {
		case e.State == dead:
		case e.Domain == g.self.Domain:
			out = append(out, e.Address)
		case otherDomains > 0:
			otherDomains--
			out = append(out, e.Address)
		}
	}
	return out
}
