package receiver

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// acceptAttempts is the number of writes that a host makes for a submission without an answer.
const acceptAttempts = 2

// submitWithoutAnswer hands in the job at a host whose writes for it get no answer, and checks that the
// caller is told so.
func (h *host) submitWithoutAnswer(t *testing.T, g Gomega) {
	e := asError(g, h.Submit(t.Context(), queue, testJob()))
	g.Expect(e.Verdict).To(Equal(classifier.MayHaveRun))
	g.Expect(e.Status).To(Equal(http.StatusGatewayTimeout))
}

// newSettledJob returns two hosts, of which the first has handed in the job without an answer and
// settled it. The store carries out its writes for it later.
func newSettledJob(t *testing.T, g Gomega) (store *faker.Store, a, b *host) {
	store = faker.New()
	a, b = newHost(t, store, "a", acceptAttempts), newHost(t, store, "b", 0)
	a.submitWithoutAnswer(t, g)
	synctest.Wait()
	return store, a, b
}

// TestOpenAcceptanceIsSettled guards against a job that runs although its caller was told at
// another host, after a submission without an answer, that it was refused and never runs.
func TestOpenAcceptanceIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, _, b := newSettledJob(t, g)
		b.shards.load = fullLoad()
		e := asError(g, b.Submit(t.Context(), queue, testJob()))
		g.Expect(e.Status).To(Equal(http.StatusTooManyRequests))
		g.Expect(e.RetryAfter).To(BeNumerically(">", 0))

		time.Sleep(2 * lateDelay)
		g.Expect(isStored(store)).To(BeFalse())
		_, err := b.State(t.Context(), testJob().ID)
		g.Expect(asError(g, err).Status).To(Equal(http.StatusGone))
	})
}

// TestSettledJobIsAcceptedAgain guards against a job that nobody can hand in any more after a
// submission of it had no answer.
func TestSettledJobIsAcceptedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, a, b := newSettledJob(t, g)
		g.Expect(b.Submit(t.Context(), queue, testJob())).To(Succeed())
		time.Sleep(2 * lateDelay)
		g.Expect(isStored(store)).To(BeTrue())
		g.Expect(b.State(t.Context(), testJob().ID)).To(Equal(specifier.Queued))
		g.Expect(a.Cancel(t.Context(), testJob().ID)).To(Succeed())
	})
}

// TestSettlementLeavesAnAcceptedJob guards against a settlement that takes back an acceptance which
// has taken effect, at its own host or at another one.
func TestSettlementLeavesAnAcceptedJob(t *testing.T) {
	for name, resubmit := range map[string]bool{"at its own host": false, "at another host": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := faker.New()
				a, b := newHost(t, store, "a", 0), newHost(t, store, "b", 0)
				commits := 0
				a.store.SetFault(func(c faker.Call) faker.Outcome {
					if c.Operation != "commit" {
						return faker.Succeed
					}
					commits++
					switch {
					case commits > 40:
						return faker.Succeed
					case resubmit:
						return faker.Drop
					}
					return faker.LoseResponse
				})
				a.submitWithoutAnswer(t, g)
				if resubmit {
					g.Expect(b.Submit(t.Context(), queue, testJob())).To(Succeed())
				}
				time.Sleep(settleTimeout)
				g.Expect(isStored(store)).To(BeTrue())
				g.Expect(b.State(t.Context(), testJob().ID)).To(Equal(specifier.Queued))
			})
		})
	}
}

// TestCancellationAfterASettlement guards against a job that is accepted after its cancellation,
// since an earlier submission of it was settled.
func TestCancellationAfterASettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store, a, b := newSettledJob(t, g)
		g.Expect(asError(g, b.Cancel(t.Context(), testJob().ID)).Status).To(Equal(http.StatusGone))
		time.Sleep(time.Second) // the store answers the first host again
		g.Expect(asError(g, a.Submit(t.Context(), queue, testJob())).Status).To(Equal(http.StatusGone))
		g.Expect(isStored(store)).To(BeFalse())
	})
}

// TestSettlementEnds guards against settlements that go on for as long as the store is away.
func TestSettlementEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := faker.New()
		a := newHost(t, store, "a", allWrites)
		a.submitWithoutAnswer(t, g)
		time.Sleep(settleTimeout)
		synctest.Wait()
		left := a.store.late.Load()
		g.Expect(a.settling.Load()).To(BeZero())
		time.Sleep(time.Minute)
		g.Expect(a.store.late.Load()).To(Equal(left))
		g.Expect(len(store.Items(recorder.IndexKey(testJob().ID)))).To(Equal(1))
	})
}
