package gossiper

import (
	"math"
	"slices"
	"sync"
	"time"
)

// run pings one member each interval.
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
			g.excuse(late)
			g.mu.Unlock()
		}
		last = now
	}
}

func (g *Gossiper) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ticks++
	g.expire(time.Now())
	if target := g.target(); target != nil && g.affordable() {
		m := target.member
		g.begin(func() { g.probe(m) })
	}
	if address := g.stranger(); address != "" && g.affordable() {
		g.begin(func() { _ = g.ping(g.ctx, address, "") })
	}
}

// affordable reports whether the budget allows a bare ping; g.mu is held.
func (g *Gossiper) affordable() bool {
	return g.limit.TokensAt(time.Now()) > 2*(envelope+overhead)
}

// begin runs f on a goroutine; g.mu is held.
func (g *Gossiper) begin(f func()) {
	if g.closed {
		return
	}
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		f()
	}()
}

// target returns the next member in the round; g.mu is held.
func (g *Gossiper) target() *entry {
	for range len(g.members) + 1 {
		if len(g.order) == 0 {
			g.order = slices.Clone(g.names())
			g.random.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
		}
		if len(g.order) == 0 {
			return nil
		}
		e := g.members[g.order[0]]
		g.order = g.order[1:]
		if e != nil && e.State != dead {
			return e
		}
	}
	return nil
}

// stranger returns an address to try that belongs to no live member: all the
// time while this host is alone, now and then later, which joins the halves
// of a partition again. g.mu is held.
func (g *Gossiper) stranger() string {
	members := map[string]bool{g.self.Address: true}
	var gone []string
	for _, name := range g.names() {
		e := g.members[name]
		if e.State == dead {
			gone = append(gone, e.Address)
			continue
		}
		members[e.Address] = true
	}
	if len(members) > 1 && g.ticks%probeEvery != 0 {
		return ""
	}
	candidates := slices.Concat(g.options.Seeds, g.hosts, gone)
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return members[a] })
	if len(candidates) == 0 {
		return ""
	}
	g.next++
	return candidates[g.next%len(candidates)]
}

// probe pings a member, then asks others to do it, then suspects it.
func (g *Gossiper) probe(m member) {
	reached := g.ping(g.ctx, m.Address, "") == nil || !m.Leaving && g.askOthers(m)
	if g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if reached {
		g.failing = max(0, g.failing-1)
		return
	}
	if m.Leaving {
		g.mark(m.Name, m.Incarnation, dead)
		return
	}
	g.failing = min(doubt, g.failing+1)
	g.mark(m.Name, m.Incarnation, suspect)
}

// askOthers reports whether some other host can reach the member.
func (g *Gossiper) askOthers(m member) bool {
	g.mu.Lock()
	names := slices.Clone(g.names())
	g.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var helpers []string
	for _, name := range names {
		if e := g.members[name]; name != m.Name && e.State == alive && len(helpers) < indirect && g.affordable() {
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

// doubt bounds the factor by which a host that reaches nobody extends its
// suspicions: then the fault is more likely its own.
const doubt = 8

// patience is how long a suspicion may stand; g.mu is held.
func (g *Gossiper) patience() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(g.members)+1)))
	scale *= float64(max(1, g.failing))
	return time.Duration(suspicion * scale * float64(g.options.Interval))
}

// nearest returns the live hosts of the own domain and a few others; g.mu is
// held.
func (g *Gossiper) nearest() []string {
	var out []string
	distant := indirect
	for _, name := range g.names() {
		e := g.members[name]
		switch {
		case e.State == dead:
		case e.Domain == g.self.Domain:
			out = append(out, e.Address)
		case distant > 0:
			distant--
			out = append(out, e.Address)
		}
	}
	return out
}
