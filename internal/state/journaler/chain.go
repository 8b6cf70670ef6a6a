package journaler

// chain is the writer's view of its ledger.
type chain struct {
	head      head
	revision  int64 // of the head
	sequence  int64 // of the next segment
	end       int   // slot of the next segment
	live      []link
	revisions map[int]int64 // by slot, as far as known
}

// link is a segment that a replay would read.
type link struct {
	sequence int64
	slot     int
	last     position // latest batch in it
}

// position orders batches across epochs.
type position struct{ epoch, batch int64 }

func newChain(h head, revision int64) chain {
	return chain{
		head:      h,
		revision:  revision,
		sequence:  h.Sequence,
		end:       h.Slot,
		revisions: map[int]int64{},
	}
}

// next prepares the segment after the last one, without payload.
func (c *chain) next(epoch int64, nonce string) segment {
	return segment{Sequence: c.sequence, Epoch: epoch, Nonce: nonce, Next: c.free()}
}

// free returns the lowest slot that neither holds a live segment nor will
// hold the next one.
func (c *chain) free() int {
	used := make([]bool, len(c.live)+2)
	mark := func(slot int) {
		if slot < len(used) {
			used[slot] = true
		}
	}
	mark(c.end)
	for _, l := range c.live {
		mark(l.slot)
	}
	for slot, u := range used {
		if !u {
			return slot
		}
	}
	return len(used)
}

// extend adds a segment that stands in the slot at the end. Batches of
// earlier epochs need no number, as any later snapshot covers them.
func (c *chain) extend(s segment, revision int64) {
	c.live = append(c.live, link{s.Sequence, c.end, position{epoch: s.Epoch}})
	c.revisions[c.end] = revision
	c.sequence++
	c.end = s.Next
}

// trim drops the segments that a snapshot covers and returns where the rest
// begins.
func (c *chain) trim(s snapshot) (live []link, sequence int64, slot int) {
	live = c.live
	for len(live) > 0 && s.covers(live[0].last.epoch, live[0].last.batch) {
		live = live[1:]
	}
	if len(live) == 0 {
		return nil, c.sequence, c.end
	}
	return live, live[0].sequence, live[0].slot
}
