//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// step is a step of a job. The fields without a name on the wire say what its tasks do.
type step struct {
	Count           int
	Cpu             int64  `json:",omitempty"` //nolint:revive // spelled as on the wire
	MemoryRequestMb int64  `json:",omitempty"`
	EstimatedMs     int64  `json:",omitempty"`
	After           []int  `json:",omitempty"`
	Checkpointing   bool   `json:",omitempty"`
	Gang            bool   `json:",omitempty"`
	Requirements    string `json:",omitempty"`
	AntiAffinity    int    `json:",omitempty"`
	AllowDuplicates bool   `json:",omitempty"`
	Persistent      bool   `json:",omitempty"`

	length    time.Duration // work of a task
	failing   int           // tasks below this index fail at first
	failures  int           // how often
	failAfter time.Duration // work until then
}

// job is a job as a consumer hands it in.
type job struct {
	ID            string `json:"-"`
	Specification string
	Steps         []*step
	Repetitions   int   `json:",omitempty"`
	FirstRunMs    int64 `json:",omitempty"`
	IntervalMs    int64 `json:",omitempty"`

	queue     string
	sent      time.Time
	accepted  time.Time // zero if no host has accepted it
	answered  bool      // some attempt had another answer than a rejection, or none
	rejected  int
	succeeded time.Time // when it was first shown as succeeded
	state     string    // as last shown
}

// book is all jobs that consumers have sent.
type book struct {
	record  *record
	advised map[string]bool // queues whose starts need a ticket

	mu   sync.Mutex
	jobs map[string]*job
	list []*job
}

func newBook(r *record) *book {
	return &book{record: r, advised: map[string]bool{}, jobs: map[string]*job{}}
}

func (b *book) job(id string) *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[id]
}

func (b *book) all() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*job(nil), b.list...)
}

func (b *book) needsAdvice(id string) bool {
	j := b.job(id)
	return j != nil && b.advised[j.queue]
}

// check checks the rules at a start and returns the step, or nil if nobody has sent the job. The
// fleet's lock is held.
func (b *book) check(f *fleet, r *run, in *order) *step {
	line := fmt.Sprintf("worker %s starts %s#%d by token %d, checkpoint %q", r.worker.slot.id, in.Task, in.Run, in.FencingToken, in.Checkpoint)
	b.record.printf("%s", line)
	j := b.job(r.id.job)
	if j == nil || r.id.step >= len(j.Steps) || r.id.index >= j.Steps[r.id.step].Count || r.id.occurrence >= max(j.Repetitions, 1) || in.Specification != j.Specification {
		b.record.broken("UNASKED", "%s, which nobody has sent", line)
		return nil
	}
	st := j.Steps[r.id.step]
	r.step = st
	if in.Checkpoint != "" && !f.given[r.owner()+in.Checkpoint] {
		b.record.broken("UNASKED", "%s, which isn't the task's", line)
	}
	for _, earlier := range f.runs[in.Task] {
		if st.AllowDuplicates {
			continue
		}
		switch {
		case earlier.ended.IsZero():
			b.record.broken("TWICE", "%s, while run %d is at work on %s", line, earlier.number, earlier.worker.slot.id)
		case earlier.how == "done" && !earlier.noted.IsZero() && !earlier.lapsed:
			b.record.broken("TWICE", "%s, after run %d was done and taken note of", line, earlier.number)
		}
	}
	for _, a := range st.After {
		if !f.stepIsDone(j, r.id.occurrence, a) {
			b.record.broken("ORDER", "%s, before step %d is done", line, a)
		}
	}
	if j.Repetitions > 0 {
		due := time.UnixMilli(j.FirstRunMs + int64(r.id.occurrence)*j.IntervalMs)
		if early := time.Until(due); early > 250*time.Millisecond {
			b.record.broken("ORDER", "%s, %v before its time", line, early)
		}
	}
	if st.AntiAffinity > 0 {
		n := 1
		for _, other := range r.worker.active {
			if other.id.job == r.id.job && other.id.occurrence == r.id.occurrence && other.id.step == r.id.step {
				n++
			}
		}
		if n > st.AntiAffinity {
			b.record.broken("ROUTE", "%s, %d tasks of the step on one worker", line, n)
		}
	}
	if st.Requirements != "" && st.Requirements != "a" && st.Requirements != r.worker.slot.rack {
		b.record.broken("ROUTE", "%s, which lacks the label %s", line, st.Requirements)
	}
	var cpu int64 = st.Cpu
	for _, other := range r.worker.active {
		if other.step != nil && other != r {
			cpu += other.step.Cpu
		}
	}
	if cpu > workerCPU {
		b.record.broken("LIMIT", "%s, %d of %d", line, cpu, workerCPU)
	}
	return st
}

// stepIsDone reports whether all tasks of a step have ended done; of a gang, one.
func (f *fleet) stepIsDone(j *job, occurrence, number int) bool {
	n := 0
	for i := range j.Steps[number].Count {
		for _, r := range f.runs[fmt.Sprintf("%s.%d.%d.%d", j.ID, occurrence, number, i)] {
			if r.how == "done" {
				n++
				break
			}
		}
	}
	return n == j.Steps[number].Count || n > 0 && j.Steps[number].Gang
}

// alone notes the end of a run that waited too long for its gang.
func (b *book) alone(f *fleet, r *run) {
	if j := b.job(r.id.job); j != nil {
		b.record.broken("GANG", "the run %s#%d on %s ends alone", r.name, r.number, r.worker.slot.id)
	}
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// call sends a consumer's request to a host. The status is 0 without an answer.
func (h *host) call(method, queue, id string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+h.frontend+"/"+queue+"/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = hostname
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Remaining", "3000")
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// submit hands a job in, at the hosts in turn, with at most four retries.
func (d *deployment) submit(j *job, first int) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	d.book.mu.Lock()
	d.book.jobs[j.ID] = j
	d.book.list = append(d.book.list, j)
	j.sent = time.Now()
	d.book.mu.Unlock()
	for attempt := range 5 {
		h := d.hosts[(first+attempt)%len(d.hosts)]
		status, text := h.call(http.MethodPost, j.queue, j.ID, body)
		d.record.printf("consumer: job %s sent to %s, attempt %d: %d %.100s", j.ID, h.name, attempt+1, status, text)
		switch status {
		case http.StatusOK:
			d.book.mu.Lock()
			j.accepted, j.answered = time.Now(), true
			d.book.mu.Unlock()
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			d.book.mu.Lock()
			j.rejected++
			d.book.mu.Unlock()
			time.Sleep(800 * time.Millisecond)
		case http.StatusBadRequest, http.StatusNotFound:
			return false
		default:
			d.book.mu.Lock()
			j.answered = true
			d.book.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
	}
	return false
}

// ask asks for the state of a job at the hosts in turn, until one answers or d has passed.
func (d *deployment) ask(j *job, first int, within time.Duration) string {
	until := time.Now().Add(within)
	for attempt := 0; time.Now().Before(until); attempt++ {
		h := d.hosts[(first+attempt)%len(d.hosts)]
		status, text := h.call(http.MethodGet, j.queue, j.ID, nil)
		switch status {
		case http.StatusOK:
			var out struct{ State string }
			if json.Unmarshal([]byte(text), &out) != nil {
				d.record.broken("MIXED", "the state of job %s can't be read: %.100s", j.ID, text)
			}
			d.note(j, out.State)
			return out.State
		case http.StatusGone:
			return "410"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// note notes a state of a job that a host has shown.
func (d *deployment) note(j *job, state string) {
	d.fleet.mu.Lock()
	done := true
	for k := range max(j.Repetitions, 1) {
		for i := range j.Steps {
			done = done && d.fleet.stepIsDone(j, k, i)
		}
	}
	d.fleet.mu.Unlock()
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	if j.state != state {
		d.record.printf("consumer: job %s is shown as %s", j.ID, state)
	}
	j.state = state
	if state == "succeeded" && j.succeeded.IsZero() {
		j.succeeded = time.Now()
		if !done {
			d.record.broken("MIXED", "job %s is shown as succeeded before all tasks have ended done", j.ID)
		}
	}
}

// isActive reports whether a task runs.
func (d *deployment) isActive(task string) bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	for _, r := range d.fleet.runs[task] {
		if r.ended.IsZero() {
			return true
		}
	}
	return false
}
