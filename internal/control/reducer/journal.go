package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

const (
	maxInFlight         = 2       // unanswered appends per shard
	maxAppendBytes      = 256_000 // bytes of one append, as estimateSize counts them
	maxUnsent           = 20_000  // number of unsent records at which new work is refused
	maxAppendsPerSecond = 200     // write budget of the store, shared by all shards

	// defaultMinSnapshotRecords is the minimum number of records between two snapshots
	// of a shard.
	defaultMinSnapshotRecords = 2_000
)

// journal buffers a shard's records and groups them into appends (group commit).
// Records that are decided while no further append is allowed go into the next one.
type journal struct {
	shard                *shard
	unsent               []describer.Record
	followUps            []followUp // actions waiting for unsent or unanswered batches, in order
	lastSent             int64      // number of the last batch sent
	lastDurable          int64      // number of the last batch known to be durable
	flushedAt            time.Time  // time of the last append
	recordsSinceSnapshot int
}

// followUp is an action to take once a batch is durable. One of start, grown,
// restoredWorker, key and job is set and selects the action.
type followUp struct {
	batch          int64
	start          *task           // task whose run is started on its worker
	token          describer.Token // token of the run of start or grown
	request        RequestID       // request to answer with key or status
	job            *job
	status         *JobStatus // of job when the follow-up was added: later records may not be durable yet
	key            *KeyClaim
	grown          *task  // task whose larger grant is sent to its worker
	stopRuns       bool   // whether to stop the runs of job, which was cancelled
	restoredWorker string // worker to propose as restored
}

// nextBatch returns the number of the batch that the next added record belongs to. A
// record that does not fit into it moves to a later batch.
func (j *journal) nextBatch() int64 { return j.lastSent + 1 }

// allSent reports whether every record is part of an AppendRecords effect.
func (j *journal) allSent() bool { return len(j.unsent) == 0 }

// isFull reports whether new work must be refused until the store catches up.
func (j *journal) isFull() bool { return len(j.unsent) >= maxUnsent }

func (j *journal) isDurable(batch int64) bool { return batch <= j.lastDurable }

func (j *journal) add(r describer.Record) { j.unsent = append(j.unsent, r) }

// whenDurable runs a follow-up once all records added so far are durable.
func (j *journal) whenDurable(f followUp) {
	f.batch = j.nextBatch()
	if j.allSent() {
		f.batch = j.lastSent
	}
	if f.job != nil {
		f.status = j.shard.jobStatus(f.job)
	}
	if j.isDurable(f.batch) {
		j.shard.runFollowUp(f)
		return
	}
	j.followUps = append(j.followUps, f)
}

// minAppendInterval returns the time between two appends of one shard that keeps all
// shards of the configuration together within maxAppendsPerSecond.
func (sh *shard) minAppendInterval() time.Duration {
	return time.Duration(len(sh.state.config.Shards)) * time.Second / maxAppendsPerSecond
}

// mayFlush reports whether an append may be sent now. A shard that is being released
// doesn't wait for the interval between appends.
func (sh *shard) mayFlush() bool {
	if sh.journal.lastSent-sh.journal.lastDurable >= maxInFlight {
		return false
	}
	return sh.ownership == releasing || sh.state.now.Sub(sh.journal.flushedAt) >= sh.minAppendInterval()
}

// flush sends unsent records as one append, if one may be sent now.
func (sh *shard) flush() {
	j := &sh.journal
	if j.allSent() || !sh.mayFlush() || sh.releaseSent {
		return
	}
	n := countFitting(j.unsent)
	j.lastSent++
	batch := j.unsent[:n:n]
	j.trimUnsent(n)
	j.flushedAt = sh.state.now
	j.recordsSinceSnapshot += n
	sh.state.emit(AppendRecords{Shard: sh.id, Epoch: sh.epoch, Batch: j.lastSent, Records: batch})
}

// trimUnsent removes the first n records, which were sent as batch lastSent. The
// remaining ones move to the next batch, and with them the follow-ups of the batch and
// the batch numbers noted in tasks, jobs and workers.
func (j *journal) trimUnsent(n int) {
	rest := j.unsent[n:]
	if len(rest) == 0 {
		j.unsent = nil
		return
	}
	j.unsent = append([]describer.Record(nil), rest...)
	for i := range j.followUps {
		if j.followUps[i].batch == j.lastSent {
			j.followUps[i].batch = j.lastSent + 1
		}
	}
	for _, r := range j.unsent {
		j.moveToNextBatch(r)
	}
}

// moveToNextBatch updates the batch numbers of what the record changed.
func (j *journal) moveToNextBatch(r describer.Record) {
	if t := j.shard.view.task(r.Task); t != nil {
		t.lastBatch = j.nextBatch()
	}
	for _, id := range [...]string{r.JobID, r.Task.Job} {
		if affected := j.shard.view.jobs[id]; affected != nil {
			affected.lastBatch = max(affected.lastBatch, j.nextBatch())
		}
	}
	if w := j.shard.workers[r.Worker]; r.Kind == describer.DrainRestored && w != nil {
		w.restoredBatch = j.nextBatch()
	}
	if r.Job != nil {
		j.shard.view.jobs[r.Job.ID].lastBatch = j.nextBatch()
	}
}

// countFitting returns how many of the records fit into one append; at least one.
func countFitting(records []describer.Record) int {
	size := 0
	for i := range records {
		size += estimateSize(&records[i])
		if size > maxAppendBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// estimateSize returns the approximate encoded size of a record in bytes.
func estimateSize(r *describer.Record) int {
	size := 200 + len(r.Result) + len(r.Reason) + len(r.Checkpoint) + len(r.Key) + len(r.Owner)
	if r.Job != nil {
		size += 200 + len(r.Job.Payload)
	}
	return size
}

// handleAppended runs the follow-ups of all batches up to this one, which are durable
// now.
func (sh *shard) handleAppended(batch int64) {
	j := &sh.journal
	if batch <= j.lastDurable || batch > j.lastSent {
		return
	}
	j.lastDurable = batch
	n := 0
	for n < len(j.followUps) && j.followUps[n].batch <= batch {
		n++
	}
	ready := j.followUps[:n]
	j.followUps = j.followUps[n:]
	for _, f := range ready {
		sh.runFollowUp(f)
	}
	sh.maybeSnapshot()
}

// runFollowUp takes the action of a follow-up whose batch is durable now.
func (sh *shard) runFollowUp(f followUp) {
	switch {
	case f.start != nil:
		sh.sendStart(f.start, f.token)
	case f.grown != nil:
		if f.grown.state == describer.Started && f.grown.token == f.token {
			sh.sendThrottle(f.grown, f.grown.granted.CPU)
		}
	case f.restoredWorker != "":
		sh.proposeRestored(f.restoredWorker)
	case f.key != nil:
		sh.state.reply(Reply{Request: f.request, Key: f.key})
	case f.job != nil:
		if f.stopRuns {
			sh.stopRuns(f.job)
		}
		sh.state.reply(Reply{Request: f.request, Job: f.status})
	}
}

// refuseWaiting refuses the requests that wait for records of a shard that this daemon
// no longer owns. Records that were sent may still be in the ledger.
func (j *journal) refuseWaiting(s *State) {
	for _, f := range j.followUps {
		if f.key == nil && f.job == nil {
			continue
		}
		verdict := classifier.MayHaveRun
		if f.batch > j.lastSent {
			verdict = classifier.NotRun
		}
		s.refuse(f.request, refusal{
			code: "owner-lost", verdict: verdict, retry: ownerLostRetry,
			message: "the shard has a new owner; ask again",
		})
	}
}
