package journaler

// logState is what the writing goroutine knows of the stored ledger.
type logState struct {
	head          head
	headRevision  int64
	nextSequence  int64
	nextSlot      int
	segments      []segmentRef  // segments that a replay would read, oldest first
	slotRevisions map[int]int64 // store revision by slot, for the slots read or written so far
}

// segmentRef refers to a stored segment.
type segmentRef struct {
	sequence  int64
	slot      int
	lastBatch batchID // latest batch in the segment
}

// batchID identifies a batch across epochs.
type batchID struct{ epoch, batch int64 }

func newLogState(h head, revision int64) logState {
	return logState{
		head:          h,
		headRevision:  revision,
		nextSequence:  h.FirstSequence,
		nextSlot:      h.FirstSlot,
		slotRevisions: map[int]int64{},
	}
}

// newSegment returns the segment to append next, without payload.
func (s *logState) newSegment(epoch int64, nonce string) segment {
	return segment{Sequence: s.nextSequence, Epoch: epoch, Nonce: nonce, NextSlot: s.freeSlot()}
}

// freeSlot returns the lowest slot that neither holds a segment that a replay
// would read nor is reserved for the next segment.
func (s *logState) freeSlot() int {
	used := make([]bool, len(s.segments)+2)
	mark := func(slot int) {
		if slot < len(used) {
			used[slot] = true
		}
	}
	mark(s.nextSlot)
	for _, ref := range s.segments {
		mark(ref.slot)
	}
	for slot, u := range used {
		if !u {
			return slot
		}
	}
	return len(used)
}

// add records that seg is stored in the next slot. Its batch number is left 0,
// which is enough for segments of earlier epochs: any later snapshot covers
// them.
func (s *logState) add(seg segment, revision int64) {
	s.segments = append(s.segments, segmentRef{seg.Sequence, s.nextSlot, batchID{epoch: seg.Epoch}})
	s.slotRevisions[s.nextSlot] = revision
	s.nextSequence++
	s.nextSlot = seg.NextSlot
}

// after returns the segments that the snapshot does not cover, and the sequence
// and slot of the first segment to replay after it.
func (s *logState) after(snap snapshot) (segments []segmentRef, sequence int64, slot int) {
	segments = s.segments
	for len(segments) > 0 && snap.covers(segments[0].lastBatch.epoch, segments[0].lastBatch.batch) {
		segments = segments[1:]
	}
	if len(segments) == 0 {
		return nil, s.nextSequence, s.nextSlot
	}
	return segments, segments[0].sequence, segments[0].slot
}
