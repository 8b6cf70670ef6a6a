package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// summarize returns the shard's load summary for admission on other hosts.
func (s *Shard) summarize() recorder.Load {
	l := recorder.Load{Service: s.options.Service, Domain: s.options.Domain, MadeAt: s.now, ReadRevision: s.readRevision}
	for _, w := range s.sortedWorkers {
		if !w.isUsable(s.now) {
			continue
		}
		candidate := w.candidate()
		if candidate.Free.CPU > l.MaxFree.CPU {
			l.MaxFree = candidate.Free
		}
		l.Workers++
		l.Capacity = l.Capacity.Add(w.reg.Capacity)
		l.Free = l.Free.Add(candidate.Free.Positive())
		l.FiniteCPU += w.allocated.reserved.CPU - w.allocated.longRunning
		l.LongRunningCPU += w.allocated.longRunning
		l.UnusedCPU += max(candidate.UnusedCPU, 0)
		l.FillerCPU += w.expectedFillerCPU()
		l.MaxCapacity = l.MaxCapacity.Max(w.reg.Capacity)
		for _, label := range w.reg.Labels {
			if !slices.Contains(l.Labels, label) {
				l.Labels = append(l.Labels, label)
			}
		}
	}
	s.addEvacuatedCapacity(&l)
	l.LongRunningLimit = s.longRunningLimit(l.Capacity.CPU)
	s.addJobs(&l)
	s.addReadyWork(&l)
	l.AdviceBacklog = s.adviceBacklog()
	l.Fillers = s.fillerLoads()
	l.RunTimes = s.runTimes.model.Summary()
	return l
}

// addJobs adds the pending jobs and the waiting work to a load summary.
func (s *Shard) addJobs(l *recorder.Load) {
	queues := make(map[string]int)
	backlog := make(map[int]recorder.Backlog)
	for _, j := range s.jobs {
		if j.final != "" {
			continue
		}
		if !j.started {
			queues[j.spec.Queue]++
		}
		b := backlog[j.queue.Priority]
		for _, st := range j.steps {
			reserved, filler := st.waitingWork()
			b.ReservedWork += reserved
			b.FillerWork += filler
			if st.spec.LongRunning {
				l.LongRunningCPU += int64(st.waiting) * st.needs.reserved.CPU
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

// waitingWork returns the expected work of the step's waiting tasks on reserved
// CPU and on CPU for fillers, in millicore-seconds. It is 0 for long-running tasks.
func (st *step) waitingWork() (reserved, filler int64) {
	if st.spec.LongRunning {
		return 0, 0
	}
	scale := func(cpu int64) int64 {
		return cpu * int64(st.waiting) * int64(st.times.planned) / int64(time.Second)
	}
	return scale(st.needs.reserved.CPU), scale(st.needs.filler)
}
