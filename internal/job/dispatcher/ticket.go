package dispatcher

import "time"

const (
	maxTicketMargin   = 300 * time.Millisecond // a ticket isn't used any more this long before it expires
	ticketMarginShare = 0.5                    // limit of that time, as a share of the ticket's lifetime
)

// verdict is the advice about one worker. Whether the worker is allowed never
// changes; a ticket expires and is for one incarnation of the worker.
type verdict struct {
	allowed     bool
	ticket      string
	incarnation int64
	received    time.Time
	expires     time.Time
}

// ticketFor returns a ticket for the step that is valid on the worker at a time.
func (st *step) ticketFor(w *worker, at time.Time) (string, bool) {
	v := st.advice.verdicts[w.reg.ID]
	if !v.allowed || v.incarnation != w.reg.Incarnation || !at.Before(v.expires) {
		return "", false
	}
	return v.ticket, true
}

// hasTicket reports whether a start of the step on the worker has the ticket that it needs
// at a time.
func (st *step) hasTicket(w *worker, at time.Time) bool {
	if !st.job.queue.Advice.Needed {
		return true
	}
	_, ok := st.ticketFor(w, at)
	return ok
}

// isAllowed reports whether the adviser is known to allow the worker to run the step.
func (st *step) isAllowed(w *worker) bool { return st.advice.verdicts[w.reg.ID].allowed }

// isRefused reports whether the adviser has refused this incarnation of the worker.
func (st *step) isRefused(w *worker) bool {
	v, judged := st.advice.verdicts[w.reg.ID]
	return st.job.queue.Advice.Needed && judged && !v.allowed && v.incarnation == w.reg.Incarnation
}

// ticketMargin returns how long before its expiry a ticket isn't used any more.
func ticketMargin(validity time.Duration) time.Duration {
	return min(maxTicketMargin, time.Duration(ticketMarginShare*float64(validity)))
}

// rejectTicket drops the ticket that a worker has rejected at a start of the run.
func (st *step) rejectTicket(r *run, now time.Time) {
	v, judged := st.advice.verdicts[r.worker.reg.ID]
	if !judged || v.expires.IsZero() || v.received.After(r.orderedAt) {
		return // it was dropped before, or a newer one has come since
	}
	v.expires = time.Time{}
	st.advice.verdicts[r.worker.reg.ID] = v
	st.advice.noteUnused(now)
}
