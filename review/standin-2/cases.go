//go:build review2

package main

import "time"

func init() {
	cases["gang-checkpoint"] = gangCheckpoint
}

// gangCheckpoint hands in a gang with checkpoints, of which one task fails once by its own fault.
func gangCheckpoint(d *deployment, trouble bool) outcome {
	d.configure(3, plainRoute("batch"))
	if !d.start() {
		return failed
	}
	st := &step{Count: 4, Cpu: 1000, MemoryRequestMb: 100, EstimatedMs: 6000, Gang: true, Checkpointing: true, length: 6 * time.Second}
	if trouble {
		st.failing, st.failures, st.failAfter = 1, 1, 3600*time.Millisecond
	}
	j := &job{ID: newID(), Specification: "x", Steps: []*step{st}, queue: "batch"}
	if !d.submit(j, 0) {
		return failed
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && j.state != "succeeded"; time.Sleep(500 * time.Millisecond) {
		d.ask(j, 0, 3*time.Second)
	}
	if j.state != "succeeded" {
		d.record.broken("LOST", "job %s is shown as %s", j.ID, j.state)
	}
	if d.record.count("GANG") > 0 {
		return broke
	}
	return held
}
