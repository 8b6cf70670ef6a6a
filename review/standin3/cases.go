//go:build review3

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// idleLimit is how long a job may have nothing running while a task's turn has come and there is
// room for it, by the rule LOST.
const idleLimit = 3 * time.Second

// finish is how long after the end of the traffic and of all disruptions jobs are asked for: finish_s.
const finish = 14 * time.Second

// lookInterval is the time between two looks at what runs.
const lookInterval = 50 * time.Millisecond

// isIdleFor waits until a job has had nothing running for a time, with room for all its tasks that aren't
// done twice over and under half of the service in use all the while. It returns false if all of its tasks are done or that
// doesn't happen before the deadline.
func (d *deployment) isIdleFor(j *job, period time.Duration, deadline time.Time) bool {
	idleSince := time.Time{}
	for time.Now().Before(deadline) {
		s := d.look(j)
		room := d.roomFor(j, j.size()-s.done)
		switch {
		case s.done >= j.size():
			return false
		case s.running > 0 || !room.isTwiceOver() || !room.isHalfFree():
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) >= period:
			d.record.printf("%s has had nothing running for %v: %d of its tasks aren't done, there was room for %d of them on the %d workers that are up and don't drain, which use %d of %d millicores",
				j.id, period, room.tasks, room.slots, room.workers, room.used, room.cpu)
			return true
		}
		time.Sleep(lookInterval)
	}
	return false
}

// room is what the workers that are up and don't drain have for a number of tasks.
type room struct {
	tasks, workers, slots int
	used, cpu             int64 // millicores
}

func (r *room) isTwiceOver() bool { return r.slots >= 2*r.tasks }

func (r *room) isHalfFree() bool { return 2*r.used < r.cpu }

// roomFor returns the room for tasks of a job, whose steps all ask for the same.
func (d *deployment) roomFor(j *job, tasks int) room {
	r := room{tasks: tasks}
	need := j.steps[0]
	for _, w := range d.workers {
		cpu, memory, isUp := w.free()
		if !isUp {
			continue
		}
		r.workers++
		r.slots += int(min(cpu/need.Cpu, memory/need.MemoryRequestMb))
		r.used += w.cpu - cpu
		r.cpu += w.cpu
	}
	return r
}

// awaitStarts waits until a job has had a number of starts.
func (d *deployment) awaitStarts(j *job, n int, deadline time.Time) bool {
	for time.Now().Before(deadline) {
		if d.look(j).starts >= n {
			return true
		}
		time.Sleep(lookInterval)
	}
	return false
}

// recordJob records what the workers have seen of a job.
func (d *deployment) recordJob(j *job) {
	s := d.look(j)
	d.record.printf("job %s: %d tasks, %d of them done; %d running, %d starts, %d starts refused, %d runs lost with a worker, %d lapsed, %d ends taken note of",
		j.id, j.size(), s.done, s.running, s.starts, s.refused, s.lost, s.lapsed, s.observed)
}

// twoOwners plays small deployments, a few at a time. In each, tasks that last fail now and then, and the host
// that owns their shard is partitioned from the store once.
func twoOwners(d *deployment, isDisrupted bool) (bool, error) {
	const (
		batches = 7
		width   = 3 // deployments at a time
	)
	for batch := range batches {
		var parts [width]outcome
		var playing sync.WaitGroup
		for n := range width {
			playing.Go(func() { parts[n] = d.playPart(batch*width+n+1, isDisrupted) })
		}
		playing.Wait()
		hasHeld := true
		for _, o := range parts {
			if o.err != nil {
				return false, o.err
			}
			hasHeld = hasHeld && o.hasHeld
		}
		if !hasHeld {
			return false, nil
		}
	}
	return true, nil
}

// playPart plays one of the deployments of twoOwners.
func (d *deployment) playPart(number int, isDisrupted bool) outcome {
	folder := filepath.Join(d.folder, strconv.Itoa(number))
	if err := os.Mkdir(folder, 0o700); err != nil {
		return outcome{err: err}
	}
	part := &deployment{record: d.record.part(fmt.Sprintf("deployment %d: ", number)), folder: folder, jobs: make(map[string]*job)}
	defer part.close()
	overlaps, err := part.cutOwner(isDisrupted)
	return outcome{overlaps == 0, err}
}

// cutOwner plays one deployment and returns the number of starts beside another run of the same task.
func (d *deployment) cutOwner(isDisrupted bool) (int, error) {
	const (
		jobs     = 40
		width    = 6
		cutTime  = 3500 * time.Millisecond
		shortest = 400 * time.Millisecond
		spread   = 1200 // ms by which runs are longer than the shortest
	)
	err := d.deploy(layout{
		zones: []string{"seq-bne"}, farZone: "fnq-cns", hosts: 4, workers: 16, farWorkers: 32, rack: 8, cpu: 16000, memory: 62500, hostCPU: 0.16, attempts: 2,
	})
	if err != nil {
		return 0, err
	}
	for n := range jobs {
		j := &job{
			id: fmt.Sprintf("1d0000000000%04x", n), isQuiet: true,
			steps: []step{{Count: width, Cpu: 1000, MemoryRequestMb: 500, EstimatedMs: 1000, Persistent: true, Image: "img-1"}},
			plan: func(string, int64) plan {
				return plan{length: shortest + time.Duration(rand.N(spread))*time.Millisecond, outcome: "failed", lasts: true}
			},
		}
		if err := d.submit(j); err != nil {
			d.record.printf("%v", err)
		}
	}
	time.Sleep(time.Second)
	owner := d.ownerOf(serviceName)
	if owner == nil {
		return 0, errors.New("the shard has no owner")
	}
	if isDisrupted {
		d.record.printf("%s is partitioned from the store for %v", owner.name, cutTime)
		owner.link.cut()
	}
	time.Sleep(cutTime)
	owner.link.heal()
	d.record.printf("%s reaches the store", owner.name)
	time.Sleep(time.Second) // for the ends of the last runs
	starts, lost, lapsed := 0, 0, 0
	for _, j := range d.jobs {
		s := d.look(j)
		starts, lost, lapsed = starts+s.starts, lost+s.lost, lapsed+s.lapsed
	}
	overlaps := d.countOverlaps()
	d.record.printf("%d starts, %d of them beside another run of the task; %d runs lost with a worker, %d lapsed", starts, overlaps, lost, lapsed)
	return overlaps, nil
}

// oversizedProgress plays a wide job, while a few workers at a time crash and come back, and a small
// job that comes later.
func oversizedProgress(d *deployment, isDisrupted bool) (bool, error) {
	const (
		tasks     = 10000
		runTime   = 30 * time.Second
		waves     = 6
		zoneSize  = 8 // workers in each of three zones
		perWave   = 3 // workers that crash at a time, one in each zone: 0.125
		waveEvery = 2500 * time.Millisecond
		downTime  = 500 * time.Millisecond
		playTime  = 100 * time.Second // from the acceptance of the wide job
	)
	err := d.deploy(layout{
		zones: []string{"seq-bne", "seq-gc", "seq-sc"}, hosts: 2, workers: zoneSize, rack: 8, cpu: 64000, memory: 250000, hostCPU: 0.4, attempts: 2,
	})
	if err != nil {
		return false, err
	}
	wide := &job{
		id: "1d00000000000011", isQuiet: true,
		steps: []step{{Count: tasks, Cpu: 80, MemoryRequestMb: 50, EstimatedMs: runTime.Milliseconds(), Checkpointing: true, Image: "img-1"}},
		plan:  func(string, int64) plan { return plan{length: runTime, outcome: "done", saves: true} },
	}
	if err := d.submit(wide); err != nil {
		return false, err
	}
	if !d.awaitStarts(wide, tasks, time.Now().Add(25*time.Second)) {
		return false, errors.New("the tasks haven't started in time")
	}
	d.recordJob(wide)
	if isDisrupted {
		for wave := range waves {
			for k := range perWave {
				d.crashAndRestart(d.workers[wave+k*zoneSize], downTime)
			}
			time.Sleep(waveEvery)
			d.recordJob(wide)
			d.recordProgress()
		}
	}
	d.record.printf("no more crashes")
	small := &job{
		id:    "1d00000000000012",
		steps: []step{{Count: 4, Cpu: 1000, MemoryRequestMb: 100, EstimatedMs: 1000, Image: "img-2"}},
		plan:  func(string, int64) plan { return plan{length: time.Second, outcome: "done"} },
	}
	if err := d.submit(small); err != nil {
		d.record.printf("%v", err)
	}
	time.Sleep(finish)
	deadline := wide.accepted.Add(playTime)
	hasIdled := d.isIdleFor(wide, idleLimit, deadline)
	d.recordJob(wide)
	d.recordJob(small)
	d.recordProgress()
	time.Sleep(2 * time.Second)
	d.record.printf("state of %s: %q, of %s: %q; the wide job idled for %v: %t",
		wide.id, d.state(wide), small.id, d.state(small), idleLimit, hasIdled)
	return !hasIdled, nil
}

// recordProgress records the sizes of the records of progress in the store.
func (d *deployment) recordProgress() {
	for _, key := range d.store.keys("progress/") {
		d.record.printf("%s has %d bytes", key, len(d.store.value(key)))
	}
}

// crashAndRestart crashes a worker, which is back after a while under its id.
func (d *deployment) crashAndRestart(w *worker, after time.Duration) {
	w.crash()
	time.AfterFunc(after, func() {
		if err := w.start(); err != nil {
			d.record.printf("worker %s not started: %v", w.id, err)
		}
	})
}

// gangRoom plays a gang that needs most workers of its shard, of which a few are emptied and taken
// away while it runs.
func gangRoom(d *deployment, isDisrupted bool) (bool, error) {
	const (
		width    = 29 // of the 32 workers of a zone; twice the width fits on the 60 that stay
		runTime  = 12 * time.Second
		playTime = 60 * time.Second
	)
	if err := d.deploy(twoZones()); err != nil {
		return false, err
	}
	j := &job{
		id:    "1d00000000000021",
		steps: []step{{Count: width, Cpu: 10000, MemoryRequestMb: 1000, EstimatedMs: runTime.Milliseconds(), Gang: true, Image: "img-1"}},
		plan:  func(string, int64) plan { return plan{length: runTime, outcome: "done"} },
	}
	if err := d.submit(j); err != nil {
		return false, err
	}
	if !d.awaitStarts(j, width, time.Now().Add(15*time.Second)) {
		return false, errors.New("the gang hasn't started in time")
	}
	if isDisrupted {
		zone := d.zoneOfRuns(j)
		d.takeAway(4, func(w *worker) bool { return w.zone == zone })
	}
	time.Sleep(drainTime + finish)
	hasIdled := d.isIdleFor(j, idleLimit, j.accepted.Add(playTime))
	d.recordJob(j)
	d.record.printf("state of %s: %q; it idled for %v: %t", j.id, d.state(j), idleLimit, hasIdled)
	return !hasIdled, nil
}

// twoZones is a deployment in which each zone is a shard.
func twoZones() layout {
	return layout{
		zones: []string{"seq-bne", "seq-gc"}, hosts: 3, workers: 32, rack: 8, cpu: 16000, memory: 62500, hostCPU: 0.16, attempts: 2,
	}
}

// zoneOfRuns returns the zone in which most runs of a job are.
func (d *deployment) zoneOfRuns(j *job) string {
	counts := make(map[string]int)
	best := ""
	for _, w := range d.workers {
		w.mu.Lock()
		if w.life != nil {
			counts[w.zone] += len(w.life.active)
		}
		w.mu.Unlock()
		if best == "" || counts[w.zone] > counts[best] {
			best = w.zone
		}
	}
	d.record.printf("runs of %s by zone: %v", j.id, counts)
	return best
}

// takeAway empties up to n workers that match and takes them away.
func (d *deployment) takeAway(n int, match func(*worker) bool) {
	for _, w := range d.workers {
		if n > 0 && match(w) {
			n--
			go w.leave()
		}
	}
}

// visible is by when Pending has to show an accepted job that hasn't begun: visible_ms and 2 s.
const visible = 5 * time.Second

// staleCount plays jobs that wait behind a full service, handed in while the host that owns their shard is
// frozen, and asks the other hosts how many wait.
func staleCount(d *deployment, isDisrupted bool) (bool, error) {
	const (
		zoneSize   = 8
		waiting    = 8 // jobs in the first round, three times as many in each further one
		fillTime   = 60 * time.Second
		freezeTime = 4 * time.Second
		askTime    = 14 * time.Second // from the freeze
		rounds     = 3
	)
	err := d.deploy(layout{
		zones: []string{"seq-bne", "seq-gc"}, hosts: 3, workers: zoneSize, rack: 8, cpu: 16000, memory: 62500, hostCPU: 0.16, attempts: 2,
		target: 120 * time.Second,
	})
	if err != nil {
		return false, err
	}
	whole := step{Cpu: 16000, MemoryRequestMb: 1000, EstimatedMs: fillTime.Milliseconds(), Image: "img-1"}
	whole.Count = 2 * zoneSize
	full := &job{
		id: "1d00000000000041", steps: []step{whole},
		plan: func(string, int64) plan { return plan{length: fillTime, outcome: "done"} },
	}
	if err := d.submit(full); err != nil {
		return false, err
	}
	if !d.awaitStarts(full, full.size(), time.Now().Add(10*time.Second)) {
		return false, errors.New("the tasks haven't started in time")
	}
	time.Sleep(3 * time.Second)
	hasHeld, count := true, waiting
	for round := 0; round < rounds && hasHeld; round++ {
		owner := d.ownerOf(serviceName)
		if owner == nil {
			return false, errors.New("the shard has no owner")
		}
		if isDisrupted {
			d.record.printf("%s is frozen for %v", owner.name, freezeTime)
			owner.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { owner.signal(syscall.SIGCONT) })
		}
		frozenAt := time.Now()
		var others []*host
		for _, h := range d.hosts {
			if h != owner {
				others = append(others, h)
			}
		}
		whole.Count, whole.EstimatedMs = 1, 1000
		for n := range count {
			j := &job{
				id: fmt.Sprintf("1d00000000005%d%02x", round, n), steps: []step{whole},
				plan: func(string, int64) plan { return plan{length: time.Second, outcome: "done"} },
			}
			d.submitAt(others, j)
		}
		for time.Since(frozenAt) < askTime {
			for _, h := range others {
				hasHeld = d.askPending(h) && hasHeld
			}
			time.Sleep(100 * time.Millisecond)
		}
		count *= 3
	}
	return hasHeld, nil
}

// submitAt hands a job in once at each of some hosts until it is accepted.
func (d *deployment) submitAt(hosts []*host, j *job) {
	d.mu.Lock()
	d.jobs[j.id] = j
	d.mu.Unlock()
	for _, h := range hosts {
		if status, _ := d.call(h, http.MethodPost, j.path(), j.body()); status == http.StatusOK {
			j.accepted = time.Now()
			return
		}
	}
}

// askPending asks a host for the jobs that wait, and reports whether the answer holds at least half of
// those that were accepted longer than visible before and haven't begun.
func (d *deployment) askPending(h *host) bool {
	waiting := 0
	for _, j := range d.jobs {
		if !j.accepted.IsZero() && time.Since(j.accepted) > visible && d.look(j).starts == 0 {
			waiting++
		}
	}
	status, answer := d.call(h, http.MethodGet, queuePrefix, nil)
	var body struct{ Pending int }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil || 2*body.Pending >= waiting {
		return true
	}
	d.record.printf("%s, whose process runs since %.3f and which neither is frozen nor is cut off, says that %d jobs wait; %d without times were accepted over %v before and haven't begun",
		h.name, h.startedAt().Sub(d.record.began).Seconds(), body.Pending, waiting, visible)
	return false
}

// runNumbers plays two tasks that last and fail over and over, as of a broken image, until the image is mended
// while they wait for room. Meanwhile the host that owns its shard is stopped and started again, as planned.
func runNumbers(d *deployment, isDisrupted bool) (bool, error) {
	const (
		workers      = 3
		failedStarts = 8000             // of two tasks
		failTime     = 45 * time.Second // for them
		fillTime     = 16 * time.Second
		graceTime    = 6 * time.Second // GracePeriodS
		watchTime    = 20 * time.Second
	)
	err := d.deploy(layout{
		zones: []string{"seq-bne"}, hosts: 3, workers: workers, rack: 8, cpu: 16000, memory: 62500, hostCPU: 0.16, attempts: 2, priority: 2, target: time.Minute,
	})
	if err != nil {
		return false, err
	}
	var isMended atomic.Bool
	half := step{Count: 1, Cpu: 8000, MemoryRequestMb: 1000, EstimatedMs: 1000, Persistent: true, Image: "img-1"}
	lasting := &job{
		id: "1d00000000000061", isQuiet: true, steps: []step{half, half},
		plan: func(string, int64) plan {
			if isMended.Load() {
				return plan{length: time.Hour, lasts: true}
			}
			return plan{length: time.Millisecond, outcome: "failed", lasts: true}
		},
	}
	if err := d.submit(lasting); err != nil {
		return false, err
	}
	d.awaitStarts(lasting, failedStarts, time.Now().Add(failTime))
	d.recordJob(lasting)
	full := &job{
		id: "1d00000000000062", isUrgent: true,
		steps: []step{{Count: workers, Cpu: 16000, MemoryRequestMb: 1000, EstimatedMs: fillTime.Milliseconds(), Image: "img-2"}},
		plan:  func(string, int64) plan { return plan{length: fillTime, outcome: "done"} },
	}
	if err := d.submit(full); err != nil {
		return false, err
	}
	if !d.awaitStarts(full, workers, time.Now().Add(8*time.Second)) {
		return false, errors.New("the service isn't full")
	}
	isMended.Store(true)
	d.recordJob(lasting)
	time.Sleep(1500 * time.Millisecond)
	if d.look(lasting).running > 0 {
		return false, errors.New("a task that lasts runs")
	}
	if isDisrupted {
		owner := d.ownerOf(serviceName)
		if owner == nil {
			return false, errors.New("the shard has no owner")
		}
		owner.signal(syscall.SIGTERM)
	}
	time.Sleep(fillTime + graceTime - 1500*time.Millisecond)
	d.recordJob(full)
	d.recordJob(lasting)
	hasIdled := d.isIdleFor(lasting, idleLimit, time.Now().Add(watchTime))
	d.recordJob(lasting)
	d.record.printf("state of %s: %q; it idled for %v: %t", lasting.id, d.state(lasting), idleLimit, hasIdled)
	return !hasIdled, nil
}
