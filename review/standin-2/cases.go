//go:build review2

package main

import "time"

func init() {
	cases["gang-checkpoint"] = gangCheckpoint
}

// The load of gang-checkpoint. The runs that fail are 3 of over 170: the site file lets 0.02 of the
// runs of tower-hold fail.
const (
	shortJobs = 40
	gangs     = 3
	gangGap   = 500 * time.Millisecond
)

// gangCheckpoint hands in short jobs, and gangs with checkpoints, of each of which one task fails
// once by its own fault, a little after its third checkpoint.
func gangCheckpoint(d *deployment, trouble bool) outcome {
	d.configure(3, plainRoute("batch"))
	if !d.start() {
		return failed
	}
	for i := range shortJobs {
		if !d.submit(shortJob(500), i) {
			return failed
		}
		time.Sleep(100 * time.Millisecond)
	}
	var jobs []*job
	for i := range gangs {
		st := &step{Count: 4, Cpu: 1000, MemoryRequestMb: 100, EstimatedMs: 6000, Gang: true, Checkpointing: true, length: 6 * time.Second}
		if trouble {
			st.failing, st.failures, st.failAfter = 1, 1, 3*saveInterval+200*time.Millisecond
		}
		j := &job{ID: newID(), Specification: "x", Steps: []*step{st}, queue: "batch"}
		if !d.submit(j, i) {
			return failed
		}
		jobs = append(jobs, j)
		time.Sleep(gangGap)
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if open, _ := d.unsucceeded(jobs); open == 0 {
			break
		}
	}
	open, _ := d.unsucceeded(jobs)
	d.fleet.mu.Lock()
	runs, ownFaults := 0, 0
	for _, list := range d.fleet.runs {
		for _, r := range list {
			runs++
			if r.how == "failed" {
				ownFaults++
			}
		}
	}
	d.fleet.mu.Unlock()
	d.record.printf("%d of %d runs failed by their own fault; %d of %d gangs haven't ended", ownFaults, runs, open, len(jobs))
	return d.verdict("GANG")
}
