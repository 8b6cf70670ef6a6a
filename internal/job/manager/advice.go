package manager

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/dispatcher"
)

// Limits of requests for placement advice. The adviser may go on with a request that was
// given up, and handles one request of a host at a time. So a request that is late isn't
// repeated: its answer is used when it comes.
const (
	adviceDelay   = callTimeout      // time beyond the expected one after which a request is delayed
	adviceTimeout = 30 * time.Second // time beyond twice the expected one after which it is given up
)

// requestAdvice calls the adviser and posts the answer. The requests of all shards take turns;
// a delayed one lets the next one begin.
func (o *ownedShard) requestAdvice(ctx context.Context, e dispatcher.RequestAdvice) {
	m := o.manager
	if m.options.Adviser == nil {
		o.postAdvice(&e, dispatcher.AdviceAnswered{Step: e.Step, Outcome: dispatcher.AdviceNoService}, 0, 0)
		return
	}
	emitted := time.Now()
	select {
	case m.adviceSlot <- struct{}{}:
	case <-ctx.Done():
		return
	}
	began := time.Now()
	answer := make(chan dispatcher.AdviceAnswered, 1)
	o.calls.Go(func() {
		limited, cancel := context.WithTimeout(ctx, 2*e.Expected+adviceTimeout)
		defer cancel()
		answer <- m.options.Adviser.Advise(limited, e)
	})
	delay := time.NewTimer(e.Expected + e.Expected/2 + adviceDelay)
	defer delay.Stop()
	select {
	case a := <-answer:
		<-m.adviceSlot
		o.postAdvice(&e, a, began.Sub(emitted), time.Since(began))
	case <-delay.C:
		<-m.adviceSlot
		o.post(dispatcher.AdviceDelayed{Number: e.Number})
		o.postAdvice(&e, <-answer, began.Sub(emitted), time.Since(began))
	}
}

// postAdvice logs, counts and posts the outcome of a request for placement advice. waited is
// the time until it was sent, took the time from then to its end.
func (o *ownedShard) postAdvice(e *dispatcher.RequestAdvice, answer dispatcher.AdviceAnswered, waited, took time.Duration) {
	answer.Number, answer.Received = e.Number, time.Now()
	o.manager.metrics.countAdvice(answer.Outcome, took)
	o.log.Info().Str("job", e.Step.Job).Str("task", e.Step.StepID()).Str("outcome", answer.Outcome.String()).
		Int("workers", len(e.Workers)).Int("tickets", len(answer.Tickets)).Dur("validity", answer.Validity).
		Dur("expected", e.Expected).Dur("waited", waited).Dur("took", took).Msg("advice request ended")
	o.post(answer)
}
