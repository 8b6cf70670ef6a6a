package dispatcher

import (
	"cmp"
	"math"
	"slices"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// fillerKey groups the fillers of a load summary.
type fillerKey struct {
	image    string
	priority int
}

// fillerLoads returns how much work of fillers each image has, and what CPU its
// fillers can get beside the serving tasks.
func (s *Shard) fillerLoads() []recorder.FillerLoad {
	work := make(map[fillerKey]int64)
	for _, j := range s.jobs {
		if j.final != "" {
			continue
		}
		for _, st := range j.steps {
			if left := st.unfinishedFillerWork(); left > 0 {
				work[fillerKey{st.spec.Image, j.queue.Priority}] += left
			}
		}
	}
	rooms := s.fillerRooms()
	loads := make([]recorder.FillerLoad, 0, len(work))
	for key, left := range work {
		loads = append(loads, recorder.FillerLoad{Image: key.image, Priority: key.priority, Work: left, CPU: s.cpuForFillers(key.image, rooms)})
	}
	slices.SortFunc(loads, func(a, b recorder.FillerLoad) int {
		return cmp.Or(cmp.Compare(a.Image, b.Image), cmp.Compare(a.Priority, b.Priority))
	})
	return loads
}

// unfinishedFillerWork returns the expected work of the step's fillers that
// haven't completed, in millicore-seconds, without what running ones have done.
func (st *step) unfinishedFillerWork() int64 {
	if !st.spec.Filler || st.completed == len(st.tasks) {
		return 0
	}
	left := float64(len(st.tasks) - st.completed)
	for _, t := range st.tasks {
		if t.worker == nil || t.done {
			continue
		}
		if r := t.worker.runs[t.id()]; r != nil && r.phase == active {
			left -= float64(r.progress) / full
		}
	}
	return int64(left * float64(st.needs.filler) * st.times.planned.Seconds())
}

// fillerRoom is what fillers can use on one worker.
type fillerRoom struct {
	worker   *worker
	unused   float64 // millicores that other tasks leave unused
	bearable float64 // growth of the log tail latency that the serving tasks bear
}

// fillerRooms returns the room for fillers on all usable workers.
func (s *Shard) fillerRooms() []fillerRoom {
	rooms := make([]fillerRoom, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if !w.isUsable(s.now) {
			continue
		}
		rooms = append(rooms, fillerRoom{
			worker: w, unused: float64(max(w.candidate().UnusedCPU+w.expectedFillerCPU(), 0)),
			bearable: max(math.Log(maxExpectedRatio/s.calmRatio(w)), 0),
		})
	}
	return rooms
}

// cpuForFillers returns the millicores that fillers of an image could use on all
// workers if they were the only ones: no more than other tasks leave unused, and no
// more than the serving tasks bear by the upper bound of the interference.
func (s *Shard) cpuForFillers(image string, rooms []fillerRoom) int64 {
	total := 0.0
	for _, room := range rooms {
		cpu, capacity := room.unused, room.worker.reg.Capacity.CPU
		if growth := s.interferenceOn(room.worker, image, capacity).upper; growth > mildGrowth {
			cpu = min(cpu, room.bearable/growth*float64(capacity))
		}
		total += cpu
	}
	return int64(total)
}

// calmRatio returns the worker's latency ratio as it would be without fillers.
func (s *Shard) calmRatio(w *worker) float64 {
	growth := 0.0
	for _, r := range w.runs {
		if r.isFiller() && r.phase == active {
			growth += s.interferenceOfRun(r).mean * float64(max(r.pace, 0)) / full
		}
	}
	return max(w.latencyRatio*math.Exp(-growth), minCalmRatio)
}

// minCalmRatio is the lowest latency ratio that is assumed without fillers.
const minCalmRatio = 0.2
