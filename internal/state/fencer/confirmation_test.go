package fencer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// TestConfirmationCountsFromItsRequest guards against an owner that takes an answer for younger than
// it is, and against one that a long write leaves unconfirmed although the store has answered since.
func TestConfirmationCountsFromItsRequest(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a := store.Client("a")
		f := New("menus", "a", a)
		g.Expect(f.ConfirmedAt()).To(BeZero())
		g.Expect(f.Claim(ctx, ownerWrite(ctx, g, a, "a"))).To(Succeed())
		a.SetDelay(func(faker.Call) time.Duration { return time.Second })
		sent := time.Now()
		g.Expect(f.Write(ctx, recorder.WorkerList{}, put("1"), nil)).To(Succeed())
		g.Expect(f.ConfirmedAt()).To(Equal(sent))

		a.SetDelay(nil)
		began := time.Now()
		a.SetFault(func(c faker.Call) faker.Outcome {
			switch {
			case c.Operation == "commit" && time.Since(began) == 0:
				return faker.LoseResponse
			case time.Since(began) < 20*time.Second:
				return faker.Drop
			}
			return faker.Succeed
		})
		g.Expect(f.Write(ctx, recorder.WorkerList{}, put("2"), nil)).To(Succeed())
		g.Expect(f.ConfirmedAt().Sub(began)).To(BeNumerically(">=", 20*time.Second), "the read that found the write")
	})
}
