package dispatcher

import "time"

// A host without processor time or bandwidth receives answers late or not at
// all. It must not take that for the silence of its workers: they may have
// completed their runs and reported it.
const (
	promptAnswer     = 500 * time.Millisecond // longest duration of a call that counts as prompt
	congestionWindow = 2 * time.Second        // age up to which answers count
	congestedShare   = 0.5                    // share of late answers from which on the owner is congested
	lateTick         = 300 * time.Millisecond // gap between two ticks that counts as a late answer
)

// congestion tells from the durations of answered calls whether answers reach
// the owner in time. Calls without an answer don't count, since that may be the
// worker's fault. The zero value has seen no answers.
type congestion struct {
	window   [2]answerCount // of the current and of the last window
	began    time.Time      // begin of the current window
	lastTick time.Time
	lastAt   time.Time // when the owner was last congested
}

// answerCount counts answered calls.
type answerCount struct{ prompt, late int }

// answered records a call that took d, of which the worker may have waited for
// up to wait by order. hasWaited is set if it had no reason to answer before.
func (c *congestion) answered(now time.Time, d, wait time.Duration, hasWaited bool) {
	switch {
	case d <= promptAnswer, hasWaited && d <= wait+promptAnswer:
		c.count(now, answerCount{prompt: 1})
	case d > wait+promptAnswer:
		c.count(now, answerCount{late: 1})
	}
}

// ticked records a tick. A late one counts as much as all answers before it.
func (c *congestion) ticked(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > lateTick {
		sum := c.sum()
		c.count(now, answerCount{late: sum.prompt + sum.late + 1})
	}
	c.lastTick = now
	c.count(now, answerCount{})
}

// count adds answers to the current window.
func (c *congestion) count(now time.Time, n answerCount) {
	if now.Sub(c.began) > congestionWindow/2 {
		c.window[1], c.window[0] = c.window[0], answerCount{}
		if now.Sub(c.began) > congestionWindow {
			c.window[1] = answerCount{}
		}
		c.began = now
	}
	c.window[0].prompt += n.prompt
	c.window[0].late += n.late
	sum := c.sum()
	if total := sum.prompt + sum.late; total == 0 || float64(sum.late) > congestedShare*float64(total) {
		c.lastAt = now
	}
}

func (c *congestion) sum() answerCount {
	return answerCount{c.window[0].prompt + c.window[1].prompt, c.window[0].late + c.window[1].late}
}

// isSilent reports whether the worker, and not this owner, is the reason why its
// polls fail: one has failed that was sent after the owner was last congested,
// or the worker isn't registered any more.
func (s *Shard) isSilent(w *worker) bool {
	return !w.unregisteredAt.IsZero() || w.failedPolls > 0 && w.failedPollSent.After(s.congestion.lastAt)
}
