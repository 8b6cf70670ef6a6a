package manager

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
)

// advise calls the adviser, one call at a time for all shards.
func (o *ownedShard) advise(ctx context.Context, e dispatcher.RequestAdvice) dispatcher.AdviceAnswered {
	m := o.manager
	failed := dispatcher.AdviceAnswered{Step: e.Step, Outcome: dispatcher.AdviceNoService}
	if m.options.Adviser == nil {
		o.logAdvice(&e, &failed, 0, 0)
		return failed
	}
	emitted := time.Now()
	select {
	case m.adviceSlot <- struct{}{}:
	case <-ctx.Done():
		failed.Outcome = dispatcher.AdviceTimedOut
		return failed
	}
	defer func() { <-m.adviceSlot }()
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	answer := m.options.Adviser.Advise(limited, e)
	o.logAdvice(&e, &answer, began.Sub(emitted), time.Since(began))
	return answer
}

// logAdvice logs and counts the outcome of a request for placement advice. waited is the time
// until it was sent, took the time from then to its end.
func (o *ownedShard) logAdvice(e *dispatcher.RequestAdvice, answer *dispatcher.AdviceAnswered, waited, took time.Duration) {
	o.manager.metrics.countAdvice(answer.Outcome, took)
	o.log.Info().Str("job", e.Step.Job).Str("task", e.Step.StepID()).Str("outcome", answer.Outcome.String()).
		Int("workers", len(e.Workers)).Int("tickets", len(answer.Tickets)).Dur("validity", answer.Validity).
		Dur("expected", e.Expected).Dur("limit", callTimeout).Dur("waited", waited).Dur("took", took).
		Msg("advice request ended")
}
