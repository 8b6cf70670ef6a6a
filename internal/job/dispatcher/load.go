package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// summarize reports the shard's load to other entry hosts.
func (s *Shard) summarize() recorder.Load {
	l := recorder.Load{Service: s.options.Service, Domain: s.options.Domain, MadeAt: s.now}
	for _, w := range s.roster {
		if !w.isUsable(s.now) {
			continue
		}
		room := w.room()
		l.Workers++
		l.Capacity = l.Capacity.Add(w.reg.Capacity)
		l.Free = l.Free.Add(room.Free)
		l.FiniteCPU += w.used.counted.CPU - w.used.lasting
		l.LastingCPU += w.used.lasting
		l.UnusedCPU += max(room.UnusedCPU, 0)
		l.FillerCPU += w.used.filler
		l.MaxCapacity.CPU = max(l.MaxCapacity.CPU, w.reg.Capacity.CPU)
		l.MaxCapacity.Memory = max(l.MaxCapacity.Memory, w.reg.Capacity.Memory)
		l.MaxCapacity.Accelerators = max(l.MaxCapacity.Accelerators, w.reg.Capacity.Accelerators)
		for _, label := range w.reg.Labels {
			if !slices.Contains(l.Labels, label) {
				l.Labels = append(l.Labels, label)
			}
		}
	}
	l.LastingLimit = s.lastingLimit(l.Capacity.CPU)
	s.countJobs(&l)
	return l
}

func (s *Shard) countJobs(l *recorder.Load) {
	queues := make(map[string]int)
	backlog := make(map[int]recorder.Backlog)
	for _, j := range s.jobs {
		if j.final != "" {
			continue
		}
		if !j.begun {
			queues[j.spec.Queue]++
		}
		b := backlog[j.queue.Priority]
		for _, st := range j.steps {
			counted, filler := st.waitingWork()
			b.FiniteWork += counted
			b.FillerWork += filler
			if st.spec.Lasting {
				l.LastingCPU += int64(st.waiting) * st.needs.counted.CPU
			}
		}
		backlog[j.queue.Priority] = b
	}
	for _, name := range sortedKeys(queues) {
		l.Queues = append(l.Queues, recorder.QueueLoad{Queue: name, Pending: queues[name]})
	}
	for priority, b := range backlog {
		b.Priority = priority
		l.Backlog = append(l.Backlog, b)
	}
	slices.SortFunc(l.Backlog, func(a, b recorder.Backlog) int { return cmp.Compare(a.Priority, b.Priority) })
}

// waitingWork is the estimated work of tasks that have no run, in millicore-seconds.
func (st *step) waitingWork() (counted, filler int64) {
	if st.spec.Lasting {
		return 0, 0
	}
	scale := func(cpu int64) int64 {
		return cpu * int64(st.waiting) * int64(st.spec.Estimate) / int64(time.Second)
	}
	return scale(st.needs.counted.CPU), scale(st.needs.filler)
}
