package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Bounds of the journal.
const (
	maxInFlight               = 2       // appends of a shard without an answer
	maxAppendBytes            = 256_000 // estimated size of one append
	maxUnsent                 = 20_000  // records, above which new work is refused
	maxAppendsPerSecond       = 200     // appends a second of all shards together
	defaultMinSnapshotRecords = 2_000   // records between snapshots, at least
)

// journal groups a shard's records into appends. All records that are decided
// while the bound on appends is reached go into the next one.
type journal struct {
	shard                *shard
	unsent               []describer.Record
	followUps            []followUp // of unsent and of batches in flight, in order
	lastSent             int64      // last batch sent
	lastDurable          int64      // last batch known to be durable
	flushedAt            time.Time
	recordsSinceSnapshot int
}

// consequence is what follows once a batch is durable.
type followUp struct {
	batch          int64
	start          *task // ask the worker to start its run
	token          describer.Token
	request        RequestID // answer it
	job            *job      // with the job's status
	key            *KeyClaim // or with the claim
	grown          *task     // tell the worker about the greater grant
	stopRuns       bool      // stop the runs of the job, which is cancelled
	restoredWorker string    // propose the restored drain of this worker
}

// next returns the batch that a record added now will be in.
func (j *journal) nextBatch() int64 { return j.lastSent + 1 }

// isSent reports whether every record has been handed to an Append.
func (j *journal) allSent() bool { return len(j.unsent) == 0 }

func (j *journal) isFull() bool { return len(j.unsent) >= maxUnsent }

func (j *journal) isDurable(batch int64) bool { return batch <= j.lastDurable }

func (j *journal) add(r describer.Record) { j.unsent = append(j.unsent, r) }

// then carries a consequence out once the records added so far are durable.
func (j *journal) whenDurable(c followUp) {
	c.batch = j.nextBatch()
	if j.allSent() {
		c.batch = j.lastSent
	}
	if j.isDurable(c.batch) {
		j.shard.runFollowUp(c)
		return
	}
	j.followUps = append(j.followUps, c)
}

// gap is the time between appends of one shard that keeps the whole fleet
// within its write budget.
func (sh *shard) minAppendInterval() time.Duration {
	return time.Duration(len(sh.state.config.Shards)) * time.Second / maxAppendsPerSecond
}

// mayFlush reports whether an append may go out now.
func (sh *shard) mayFlush() bool {
	if sh.journal.lastSent-sh.journal.lastDurable >= maxInFlight {
		return false
	}
	return sh.ownership == releasing || sh.state.now.Sub(sh.journal.flushedAt) >= sh.minAppendInterval()
}

// flush sends what was decided as one append.
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

// split leaves the records from n on for the next batch. Consequences stay
// with the batch of their last record, which for a split one is the next.
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

// fitting returns how many records one append takes, at least one.
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

// estimate returns about the encoded size of a record in bytes.
func estimateSize(r *describer.Record) int {
	size := 200 + len(r.Result) + len(r.Reason) + len(r.Checkpoint) + len(r.Key) + len(r.Owner)
	if r.Job != nil {
		size += 200 + len(r.Job.Payload)
	}
	return size
}

// appended carries out what waited for the batch.
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
	for _, c := range ready {
		sh.runFollowUp(c)
	}
	sh.maybeSnapshot()
}

func (sh *shard) runFollowUp(c followUp) {
	switch {
	case c.start != nil:
		sh.sendStart(c.start, c.token)
	case c.grown != nil:
		if c.grown.state == describer.Started && c.grown.token == c.token {
			sh.sendThrottle(c.grown, c.grown.granted.CPU)
		}
	case c.restoredWorker != "":
		sh.proposeRestored(c.restoredWorker)
	case c.key != nil:
		sh.state.reply(Reply{Request: c.request, Key: c.key})
	case c.job != nil:
		if c.stopRuns {
			sh.stopRuns(c.job)
		}
		sh.state.reply(Reply{Request: c.request, Job: sh.jobStatus(c.job)})
	}
}

// abandon answers the callers that wait for a shard which is owned no longer.
func (j *journal) refuseWaiting(s *State) {
	for _, c := range j.followUps {
		if c.key == nil && c.job == nil {
			continue
		}
		verdict := classifier.MayHaveRun
		if c.batch > j.lastSent {
			verdict = classifier.NotRun
		}
		s.refuse(c.request, refusal{
			code: "owner-lost", verdict: verdict, retry: ownerLostRetry,
			message: "the shard has a new owner; ask again",
		})
	}
}
