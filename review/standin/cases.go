//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// newFleet starts n workers of a kind.
func (s *site) newFleet(n int, cpu int64) []*worker {
	var fleet []*worker
	for i := range n {
		fleet = append(fleet, newWorker(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), s.daemons[0].ip+":0",
			resources{Cpu: cpu, MemoryRequestMb: 256000}, []string{"a", fmt.Sprintf("r1-%d", i%2+1)}, s.daemons[0].zone, s.store, s.log))
	}
	return fleet
}

// manyEnds: the store is silent for 4.5 s while a council hands in many small jobs. On each
// worker more than 500 tasks end meanwhile.
func manyEnds(s *site, trouble bool) ([]string, bool) {
	s.configure(newRoute("batch", 2))
	s.newFleet(2, 64000)
	s.startDaemons()
	if !s.awaitReady("batch") {
		return nil, false
	}
	const jobs, width = 120, 20
	k := work{cpu: 500, length: 900 * time.Millisecond, how: "done"}
	began := time.Now()
	accepted := 0
	for range jobs {
		if _, ok := s.submit("batch", k, step{Count: width, Cpu: k.cpu, MemoryRequestMb: 256, EstimatedMs: 900}); ok {
			accepted++
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.log.printf("%d of %d jobs accepted", accepted, jobs)
	time.Sleep(time.Until(began.Add(4 * time.Second)))
	if trouble {
		s.store.setDown(true)
		s.log.printf("store down")
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		s.store.setDown(false)
		s.log.printf("store up")
	}
	time.Sleep(15 * time.Second)
	return s.log.twice(), accepted > jobs*3/4
}

// otherKind: two of 15 workers at a time crash and come back after 2 s, under their ids and
// addresses, as the other kind.
func otherKind(s *site, trouble bool) ([]string, bool) {
	const large, small = 96000, 64000
	s.configure(newRoute("batch", 2))
	fleet := s.newFleet(15, large)
	s.startDaemons()
	if !s.awaitReady("batch") {
		return nil, false
	}
	k := work{cpu: 7000, length: 2200 * time.Millisecond, how: "done"}
	first := step{Count: 8, Cpu: k.cpu, MemoryRequestMb: 512, EstimatedMs: 2200}
	second := first
	second.After = []int{0}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			s.call(s.daemons[s.random.IntN(3)], http.MethodPost, "batch", s.jobID(), map[string]any{
				"Specification": k.specification(), "Steps": []step{first, second},
			})
		}
	})
	time.Sleep(8 * time.Second)
	for i := 0; i+1 < len(fleet); i += 2 {
		if trouble {
			fleet[i].crash()
			fleet[i+1].crash()
		}
		time.Sleep(2 * time.Second)
		if trouble {
			for _, w := range fleet[i : i+2] {
				newWorker(w.id, w.address, resources{Cpu: small, MemoryRequestMb: 256000}, w.labels, w.zone, s.store, s.log)
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	load.Wait()
	return s.log.limit(), true
}

// removedRoute: the owner is killed while a job runs whose route a manifest has removed.
func removedRoute(s *site, trouble bool) ([]string, bool) {
	s.configure(newRoute("batch", 2), newRoute("quick", 0))
	s.newFleet(4, 64000)
	s.startDaemons()
	if !s.awaitReady("quick") {
		return nil, false
	}
	// A job that can never be done.
	k := work{cpu: 7000, length: 2200 * time.Millisecond, how: "failed"}
	_, ok := s.submit("batch", k, step{Count: 2, Cpu: k.cpu, MemoryRequestMb: 512, EstimatedMs: 2200})
	time.Sleep(500 * time.Millisecond)
	s.configure(newRoute("quick", 0))
	time.Sleep(time.Second)
	if trouble {
		s.kill(s.owner())
	}
	time.Sleep(30 * time.Second)
	return s.log.budget(2), ok
}

// lateAcceptance: for 4.5 s the store leaves at most 35 in 100 writes unanswered and carries them
// out 1 to 6 s later. Consumers without an answer cancel their jobs.
func lateAcceptance(s *site, trouble bool) ([]string, bool) {
	const share, window, longest = 0.35, 4500 * time.Millisecond, 6 * time.Second
	s.configure(newRoute("watch", 0))
	s.newFleet(4, 64000)
	s.startDaemons()
	if !s.awaitReady("watch") {
		return nil, false
	}
	var mu sync.Mutex
	began := time.Now()
	lastDone := began
	writes, lost := 0, 0
	if trouble {
		s.store.lose = func(tx *transaction) (bool, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if time.Since(began) > window {
				return false, 0
			}
			writes++
			if float64(lost+1) > share*float64(writes) || s.random.Float64() > share {
				return false, 0 // at no time are more than the share lost
			}
			lost++
			delay := time.Second + time.Duration(s.random.Float64()*float64(longest-time.Second))
			lastDone = later(lastDone, time.Now().Add(delay))
			s.log.printf("store: write of %s lost, done in %d ms", tx.Write[len(tx.Write)-1].Key, delay.Milliseconds())
			return true, delay
		}
		s.log.printf("store begins to lose answers")
	}
	// A task that lasts may fail at any time; it does here after 12 s.
	k := work{cpu: 100, length: 12 * time.Second, how: "failed", lasts: true}
	acknowledged := map[string]time.Time{}
	var consumers sync.WaitGroup
	for i := range 60 {
		mu.Lock()
		id := s.jobID()
		mu.Unlock()
		consumers.Go(func() {
			body := map[string]any{"Specification": k.specification(), "Steps": []step{{Count: 6, Cpu: k.cpu, MemoryRequestMb: 64, EstimatedMs: 500, Persistent: true}}}
			status, _ := s.call(s.daemons[i%3], http.MethodPost, "watch", id, body)
			if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
				return
			}
			// The consumer leaves, and cancels the job that it doesn't know to be accepted.
			status, _ = s.call(s.daemons[(i+1)%3], http.MethodDelete, "watch", id, nil)
			if status == http.StatusOK || status == http.StatusGone {
				mu.Lock()
				acknowledged[id] = time.Now()
				mu.Unlock()
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	consumers.Wait()
	mu.Lock()
	stable := later(lastDone, began.Add(window))
	s.log.printf("%d of %d writes of daemons lost so far", lost, writes)
	mu.Unlock()
	s.log.printf("%d jobs without an answer cancelled", len(acknowledged))
	time.Sleep(time.Until(stable) + 20*time.Second)
	return s.log.unasked(acknowledged, stable, time.Now()), true
}

// flappingWorkers: two of 20 workers at a time go down and up with a period of 1.4 s, for 6.5 s.
// All tasks are sound.
func flappingWorkers(s *site, trouble bool) ([]string, bool) {
	s.configure(newRoute("batch", 2))
	fleet := s.newFleet(20, 64000)
	s.startDaemons()
	if !s.awaitReady("batch") {
		return nil, false
	}
	k := work{cpu: 7000, length: 2200 * time.Millisecond, how: "done"}
	first := step{Count: 8, Cpu: k.cpu, MemoryRequestMb: 512, EstimatedMs: 2200}
	second := first
	second.After = []int{0}
	accepted := map[string]bool{}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(80 * time.Millisecond):
			}
			id := s.jobID()
			status, _ := s.call(s.daemons[s.random.IntN(3)], http.MethodPost, "batch", id, map[string]any{
				"Specification": k.specification(), "Steps": []step{first, second},
			})
			if status == http.StatusOK {
				accepted[id] = true
			}
		}
	})
	time.Sleep(8 * time.Second)
	for i := 0; i+1 < 8; i += 2 {
		for end := time.Now().Add(6500 * time.Millisecond); time.Now().Before(end); {
			for at := i; at < i+2 && trouble; at++ {
				fleet[at].crash()
			}
			time.Sleep(700 * time.Millisecond)
			for at := i; at < i+2 && trouble; at++ {
				w := fleet[at]
				fleet[at] = newWorker(w.id, w.address, w.capacity, w.labels, w.zone, s.store, s.log)
			}
			time.Sleep(700 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	load.Wait()
	time.Sleep(14 * time.Second)
	return s.failedWithoutCause("batch", accepted), true
}

// failedWithoutCause returns the breaks of LOST by jobs of sound tasks that are shown as failed.
func (s *site) failedWithoutCause(queue string, accepted map[string]bool) (broken []string) {
	runs := s.log.byTask()
	for id := range accepted {
		_, text := s.call(s.daemons[0], http.MethodGet, queue, id, nil)
		if !strings.Contains(text, "failed") {
			continue
		}
		failed := 0
		for task, list := range runs {
			for _, r := range list {
				if strings.HasPrefix(task, id) && r.how == "failed" {
					failed++
				}
			}
		}
		if failed == 0 {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed, and no run of its tasks has ended failed", id))
		}
	}
	return broken
}
