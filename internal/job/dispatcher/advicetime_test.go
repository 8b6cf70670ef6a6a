package dispatcher

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// drawAdvice draws the times of a queue's advice: whole calls of up to some seconds, and
// tickets that are valid for a fraction of a second or for longer than any call.
func drawAdvice(t *rapid.T, name string) specifier.Queue {
	ms := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	return advisedQueue(name, ms(0, 6000, "request"), ms(0, 1500, "each"), ms(100, 10000, "validity"))
}

// TestAdviceOfAnyDuration has queues with any times of advice and workers of which some are
// not allowed. It guards against steps that never start, or start late, because a request
// names more workers than can be judged in time, a ticket counts as expired when it arrives, or
// the requests of another queue come first. A step is late after three times the time that the
// adviser needs to judge, one by one, each worker that it doesn't allow and as many others as the
// step has tasks, for each step that was handed in: as long as nothing is known about the workers, a
// request may be up to 2.5 times as long as one about a single worker, see package batcher.
func TestAdviceOfAnyDuration(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var queues []specifier.Queue
		for i := range rapid.IntRange(1, 3).Draw(t, "queues") {
			queues = append(queues, drawAdvice(t, fmt.Sprintf("queue-%d", i)))
		}
		workers := rapid.IntRange(1, 40).Draw(t, "workers")
		a := newAdvisedShard(t, workers, queues...)
		a.largeWorkers()
		for i := range rapid.IntRange(0, min(workers-1, 3)).Draw(t, "refused") {
			a.refused[fmt.Sprintf("w%03d", i)] = true
		}
		bound := time.Second
		var jobs []specifier.Job
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			queue := queues[rapid.IntRange(0, len(queues)-1).Draw(t, "queue")]
			count := rapid.IntRange(1, 6).Draw(t, "tasks")
			jobs = append(jobs, a.submit(i, queue.Name, count, func(st *specifier.Step) { st.Gang = rapid.Bool().Draw(t, "gang") }))
			bound += 3 * time.Duration(len(a.refused)+count) * (queue.Advice.CallTime(1) + 50*time.Millisecond)
		}
		a.run(bound)
		for _, job := range jobs {
			for i := range job.Steps[0].Count {
				id := specifier.TaskID{Job: job.ID, Index: i}
				if _, ok := a.starts[id]; !ok {
					t.Fatalf("%s hasn't started after %s; %d starts were rejected", id, bound, a.rejected)
				}
			}
		}
		if a.rejected > 0 {
			t.Fatalf("%d starts without a valid ticket", a.rejected)
		}
	})
}

// TestSlowAdviceKeepsNoQueueWaiting has one queue whose advice takes long, with many jobs, and one
// with short calls. It guards against a slow queue that keeps the adviser from the others.
func TestSlowAdviceKeepsNoQueueWaiting(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	slow, fast := advisedQueue("slow", 4*time.Second, 100*time.Millisecond, 5*time.Second), advisedQueue("fast", 300*time.Millisecond, 15*time.Millisecond, 5*time.Second)
	a := newAdvisedShard(t, 30, slow, fast)
	a.largeWorkers()
	for i := range 20 {
		a.submit(i, "slow", 4, nil)
	}
	a.run(time.Second)
	for i := range 8 {
		a.submit(100+i, "fast", 4, nil)
	}
	// A call of the slow queue may be in progress, and another one may come before the last of these.
	a.run(2*slow.Advice.CallTime(4) + 8*fast.Advice.CallTime(4) + time.Second)
	for i := range 8 {
		g.Expect(a.starts).To(HaveKey(specifier.TaskID{Job: fmt.Sprintf("%016x", 100+i)}))
	}
}

// TestSlowerAdviserThanConfigured has an adviser that needs twenty times the configured time. It
// guards against requests that are given up and repeated unchanged.
func TestSlowerAdviserThanConfigured(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	a := newAdvisedShard(t, 30, advisedQueue("menus", 300*time.Millisecond, 15*time.Millisecond, time.Second))
	a.largeWorkers()
	a.slowdown = 20
	for i := range 3 {
		a.submit(i, "menus", 4, nil)
	}
	a.run(time.Minute)
	g.Expect(a.starts).To(HaveLen(12))
	g.Expect(a.rejected).To(BeZero())
}

// TestLostAdviceAnswer has an adviser that never answers two requests. It guards against a step
// that waits for an answer for ever.
func TestLostAdviceAnswer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	a := newAdvisedShard(t, 5, advisedQueue("menus", 300*time.Millisecond, 15*time.Millisecond, 5*time.Second))
	a.lost = maxAdviceRequests - 1
	a.submit(1, "menus", 4, nil)
	a.run(15 * time.Second)
	g.Expect(a.starts).To(HaveLen(4))
}

// TestGangOfManyWorkersWithShortTickets has a gang whose members need a worker each, and tickets
// that expire before a second request could be answered. It guards against a gang that gets its
// tickets one after the other and never has all of them.
func TestGangOfManyWorkersWithShortTickets(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	a := newAdvisedShard(t, 30, advisedQueue("menus", time.Second, 50*time.Millisecond, 400*time.Millisecond))
	for i := range 10 {
		a.refused[fmt.Sprintf("w%03d", 3*i)] = true
	}
	a.submit(1, "menus", 12, func(st *specifier.Step) { st.Gang, st.MaxPerWorker = true, 1 })
	a.run(30 * time.Second)
	g.Expect(a.starts).To(HaveLen(12))
	g.Expect(a.rejected).To(BeZero())
}
