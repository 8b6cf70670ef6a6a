package reducer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Bounds of the journal.
const (
	maxInFlight          = 2       // appends of a shard without an answer
	maxAppendBytes       = 256_000 // estimated size of one append
	maxUnsent            = 20_000  // records, above which new work is refused
	writeBudget          = 200     // appends a second of all shards together
	defaultSnapshotLeast = 2_000   // records between snapshots, at least
)

// journal groups a shard's records into appends. All records that are decided
// while the bound on appends is reached go into the next one.
type journal struct {
	shard         *shard
	unsent        []describer.Record
	waiting       []consequence // of unsent and of batches in flight, in order
	sent          int64         // last batch sent
	durable       int64         // last batch known to be durable
	flushed       time.Time
	sinceSnapshot int
}

// consequence is what follows once a batch is durable.
type consequence struct {
	batch   int64
	start   *task // ask the worker to start its run
	token   describer.Token
	request RequestID // answer it
	job     *job      // with the job's status
	key     *KeyClaim // or with the claim
	grown   *task     // tell the worker about the greater grant
	halt    bool      // stop the runs of the job, which is cancelled
	trust   string    // propose the restored drain of this worker
}

// next returns the batch that a record added now will be in.
func (j *journal) next() int64 { return j.sent + 1 }

// isSent reports whether every record has been handed to an Append.
func (j *journal) isSent() bool { return len(j.unsent) == 0 }

func (j *journal) isFull() bool { return len(j.unsent) >= maxUnsent }

func (j *journal) isDurable(batch int64) bool { return batch <= j.durable }

func (j *journal) add(r describer.Record) { j.unsent = append(j.unsent, r) }

// then carries a consequence out once the records added so far are durable.
func (j *journal) then(c consequence) {
	c.batch = j.next()
	if j.isSent() {
		c.batch = j.sent
	}
	if j.isDurable(c.batch) {
		j.shard.follow(c)
		return
	}
	j.waiting = append(j.waiting, c)
}

// gap is the time between appends of one shard that keeps the whole fleet
// within its write budget.
func (h *shard) gap() time.Duration {
	return time.Duration(len(h.state.config.Shards)) * time.Second / writeBudget
}

// mayFlush reports whether an append may go out now.
func (h *shard) mayFlush() bool {
	if h.journal.sent-h.journal.durable >= maxInFlight {
		return false
	}
	return h.phase == releasing || h.state.now.Sub(h.journal.flushed) >= h.gap()
}

// flush sends what was decided as one append.
func (h *shard) flush() {
	j := &h.journal
	if j.isSent() || !h.mayFlush() || h.handing {
		return
	}
	n := fitting(j.unsent)
	j.sent++
	batch := j.unsent[:n:n]
	j.split(n)
	j.flushed = h.state.now
	j.sinceSnapshot += n
	h.state.emit(AppendRecords{Shard: h.id, Epoch: h.epoch, Batch: j.sent, Records: batch})
}

// split leaves the records from n on for the next batch. Consequences stay
// with the batch of their last record, which for a split one is the next.
func (j *journal) split(n int) {
	rest := j.unsent[n:]
	if len(rest) == 0 {
		j.unsent = nil
		return
	}
	j.unsent = append([]describer.Record(nil), rest...)
	for i := range j.waiting {
		if j.waiting[i].batch == j.sent {
			j.waiting[i].batch = j.sent + 1
		}
	}
	for _, r := range j.unsent {
		j.postpone(r)
	}
}

func (j *journal) postpone(r describer.Record) {
	if t := j.shard.book.task(r.Task); t != nil {
		t.batch = j.next()
	}
	for _, id := range [...]string{r.JobID, r.Task.Job} {
		if one := j.shard.book.jobs[id]; one != nil {
			one.batch = max(one.batch, j.next())
		}
	}
	if w := j.shard.workers[r.Worker]; r.Kind == describer.DrainRestored && w != nil {
		w.batch = j.next()
	}
	if r.Job != nil {
		j.shard.book.jobs[r.Job.ID].batch = j.next()
	}
}

// fitting returns how many records one append takes, at least one.
func fitting(records []describer.Record) int {
	size := 0
	for i := range records {
		size += estimate(&records[i])
		if size > maxAppendBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// estimate returns about the encoded size of a record in bytes.
func estimate(r *describer.Record) int {
	size := 200 + len(r.Result) + len(r.Reason) + len(r.Checkpoint) + len(r.Key) + len(r.Owner)
	if r.Job != nil {
		size += 200 + len(r.Job.Payload)
	}
	return size
}

// appended carries out what waited for the batch.
func (h *shard) appended(batch int64) {
	j := &h.journal
	if batch <= j.durable || batch > j.sent {
		return
	}
	j.durable = batch
	n := 0
	for n < len(j.waiting) && j.waiting[n].batch <= batch {
		n++
	}
	ready := j.waiting[:n]
	j.waiting = j.waiting[n:]
	for _, c := range ready {
		h.follow(c)
	}
	h.maySnapshot()
}

func (h *shard) follow(c consequence) {
	switch {
	case c.start != nil:
		h.ask(c.start, c.token)
	case c.grown != nil:
		if c.grown.state == describer.Started && c.grown.token == c.token {
			h.throttle(c.grown, c.grown.granted.CPU)
		}
	case c.trust != "":
		h.propose(c.trust)
	case c.key != nil:
		h.state.reply(Reply{Request: c.request, Key: c.key})
	case c.job != nil:
		if c.halt {
			h.halt(c.job)
		}
		h.state.reply(Reply{Request: c.request, Job: h.jobStatus(c.job)})
	}
}

// abandon answers the callers that wait for a shard which is owned no longer.
func (j *journal) abandon(s *State) {
	for _, c := range j.waiting {
		if c.key == nil && c.job == nil {
			continue
		}
		verdict := classifier.MayHaveRun
		if c.batch > j.sent {
			verdict = classifier.NotRun
		}
		s.refuse(c.request, refusal{
			code: "owner-lost", verdict: verdict, retry: lostRetry,
			message: "the shard has a new owner; ask again",
		})
	}
}
