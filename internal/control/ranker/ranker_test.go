package ranker

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var now = time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC)

// work returns work whose objective and grace period end at the given times from
// now.
func work(id string, priority int, objective, grace, remaining time.Duration) Work {
	return Work{ID: id, Priority: priority, Objective: now.Add(objective), GraceEnd: now.Add(grace), Remaining: remaining}
}

// order returns the IDs of the list in ranked order.
func order(list ...Work) []string {
	slices.SortFunc(list, func(a, b Work) int { return Compare(now, &a, &b) })
	var ids []string
	for _, w := range list {
		ids = append(ids, w.ID)
	}
	return ids
}

var _ = Describe("Compare", func() {
	It("puts the more urgent priority first, however late it is", func() {
		Expect(order(
			work("batch", 2, time.Second, time.Minute, 0),
			work("urgent", 0, -time.Hour, -time.Hour, 0),
		)).To(Equal([]string{"urgent", "batch"}))
	})

	It("puts work that can meet its objective before late work, and that before overdue work", func() {
		Expect(order(
			work("overdue", 0, -10*time.Second, -time.Second, time.Second),
			work("late", 0, time.Second, time.Minute, 2*time.Second),
			work("on time", 0, 3*time.Second, time.Minute, 2*time.Second),
		)).To(Equal([]string{"on time", "late", "overdue"}))
	})

	It("puts begun work that is late beside work on time, but not overdue work", func() {
		begun := work("begun", 0, time.Second, time.Minute, 2*time.Second)
		overdue := work("overdue", 0, -10*time.Second, -time.Second, time.Second)
		begun.Begun, overdue.Begun = true, true
		Expect(order(overdue, work("on time", 0, 3*time.Second, time.Minute, 2*time.Second), begun)).
			To(Equal([]string{"begun", "on time", "overdue"}))
	})

	It("puts the earlier objective first among equals", func() {
		Expect(order(
			work("later", 0, 9*time.Second, time.Minute, 0),
			work("earlier", 0, 3*time.Second, time.Minute, 0),
		)).To(Equal([]string{"earlier", "later"}))
	})
})

var _ = Describe("a burst", func() {
	// One server gets twice the work that it can do for ten seconds. Served first
	// come, first served, most of the work ends late.
	It("ends more work on time than first come, first served", func() {
		serve := func(sorted bool) (inTime int) {
			var waiting []Work
			clock := now
			for i := range 40 {
				arrived := now.Add(time.Duration(i) * 250 * time.Millisecond)
				waiting = append(waiting, Work{
					ID: string(rune('a' + i)), Accepted: arrived, Remaining: 500 * time.Millisecond,
					Objective: arrived.Add(2 * time.Second), GraceEnd: arrived.Add(6 * time.Second),
				})
			}
			for len(waiting) > 0 {
				next := 0
				for i := range waiting {
					isHere := !waiting[i].Accepted.After(clock)
					if sorted && isHere && Compare(clock, &waiting[i], &waiting[next]) < 0 {
						next = i
					}
				}
				if waiting[next].Accepted.After(clock) {
					clock = waiting[next].Accepted
				}
				clock = clock.Add(waiting[next].Remaining)
				if !clock.After(waiting[next].Objective) {
					inTime++
				}
				waiting = slices.Delete(waiting, next, next+1)
			}
			return inTime
		}
		Expect(serve(true)).To(BeNumerically(">", serve(false)))
	})
})
