package dispatcher

import "time"

// An order names its worker by the id alone, and a worker that restarts may keep its id. So an
// order that is on its way during a restart is carried out by the next incarnation, which knows
// neither the fencing tokens nor the clock of the one before:
//
//   - A start may give the next incarnation its run. Such a run isn't lost with the earlier
//     incarnation. It is unsettled until the next one lists it, or doesn't list it although
//     the start was answered. If the start gets no answer, the run is stopped, as any other,
//     by a stop that the next incarnation has carried out.
//   - The end of a lease in a start or poll is by the earlier clock. By the next one it is far
//     off, so that the lease lasts as long as workers accept.
//   - An acknowledgement is by the earlier numbers of ends. It isn't repeated once the worker
//     has it.
//
// An order that is carried out seconds later is beyond what the owner remembers. So an order for
// which [StartRun.IsForIncarnation] or [PollWorker.IsForIncarnation] is true must not be held up
// until there is a later incarnation; package platform sends it accordingly.

// mayBeOfNext reports whether the next incarnation of the worker may have the run, or get it.
func (r *run) mayBeOfNext() bool { return !r.listed && r.phase != preparing }

// keep makes the run unsettled after a restart of its worker. c are the circumstances of its loss,
// if it turns out that it was lost with the earlier incarnation. Only that incarnation knows of a
// stop, which has to be repeated.
func (r *run) keep(c lossCircumstances) {
	if r.unsettled == nil {
		r.unsettled = &c
	}
	if r.phase == stopping {
		r.answeredAt = time.Time{}
	}
}

// settle records that the present incarnation of the worker has listed the run.
func (s *Shard) settle(r *run) {
	r.listed, r.unsettled = true, nil
	r.incarnation = r.worker.reg.Incarnation
	if r.task == nil {
		return
	}
	if l := r.task.loss(r.number); l != nil && l.Open && l.Incarnation != r.incarnation {
		l.Incarnation = r.incarnation
		s.markDirty(r.task.step.job)
	}
}

// loseUnsettled removes a run that the present incarnation of its worker neither has nor gets.
func (s *Shard) loseUnsettled(r *run) {
	s.loseEach(r.worker, LossRestart, []*run{r}, *r.unsettled)
}

// earlierOrderExpiry returns when every lease has expired that orders for an earlier incarnation
// of a worker may have given to the one that runs now. They may be on their way for StartLease.
func (s *Shard) earlierOrderExpiry() time.Time {
	longest := max(s.options.Lease, s.options.MaxLease)
	return s.now.Add(StartLease + withDrift(longest) + expiryMargin)
}
