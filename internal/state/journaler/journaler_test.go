package journaler_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/state/journaler"
)

const shard = "bne/1"

var ctx = context.Background()

// virtual returns a function that runs f in virtual time.
func virtual(f func()) func() { return faker.WithVirtualTime(&current, f) }

// writer is an open ledger that collects what its callbacks report.
type writer struct {
	*journaler.Ledger
	content journaler.Content

	mu       sync.Mutex
	appended []int64 // batches reported as durable
	lost     bool
}

func open(c *faker.Client) *writer {
	GinkgoHelper()
	w := &writer{}
	var err error
	w.Ledger, w.content, err = journaler.Open(ctx, journaler.Options{
		Shard: shard,
		Owner: c.Name,
		Log:   zerolog.Nop(),
		Appended: func(batch int64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.appended = append(w.appended, batch)
		},
		Lost: func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lost = true
		},
	}, c)
	Expect(err).NotTo(HaveOccurred())
	return w
}

func (w *writer) stop() {
	w.Close()
	<-w.Done
}

// write appends batches of one record each. The name of a record is its epoch
// and batch number.
func (w *writer) write(batches ...int64) {
	for _, b := range batches {
		name := fmt.Sprintf("%d.%d", w.Epoch, b)
		Expect(w.Append(b, []describer.Record{{Kind: describer.JobCancelled, JobID: name}})).To(Succeed())
		synctest.Wait() // each batch becomes a segment of its own
	}
}

// state returns the reports so far, once all goroutines are idle.
func (w *writer) state() (appended []int64, lost bool) {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appended, w.lost
}

// records returns the names of the records that the ledger held when it was
// opened.
func (w *writer) records() string {
	var out []string
	for _, r := range w.content.Records {
		out = append(out, r.JobID)
	}
	return strings.Join(out, " ")
}

var _ = Describe("Ledger", func() {
	var store *faker.Store

	BeforeEach(func() { store = faker.New() })

	It("replays the snapshot and the records after it", virtual(func() {
		a := open(store.Client("a"))
		a.write(1, 2, 3)
		a.Save(2, []byte("two"))
		a.write(4)
		a.Finish()
		<-a.Done
		b := open(store.Client("b"))
		defer b.stop()
		Expect(b.Epoch).To(BeEquivalentTo(2))
		Expect(string(b.content.Snapshot)).To(Equal("two"))
		Expect(b.records()).To(Equal("1.3 1.4"))
	}))

	It("fences a paused owner after a new owner has compacted the ledger", virtual(func() {
		a := open(store.Client("a"))
		defer a.stop()
		a.write(1, 2, 3)
		b := open(store.Client("b"))
		defer b.stop()
		for i := range int64(20) {
			b.write(i + 1)
			b.Save(i+1, []byte("state"))
		}
		a.write(4)
		time.Sleep(time.Second)
		appended, lost := a.state()
		Expect(appended).To(Equal([]int64{1, 2, 3}))
		Expect(lost).To(BeTrue())
		c := open(store.Client("c"))
		defer c.stop()
		Expect(c.records()).To(BeEmpty())
	}))

	It("keeps the new owner's snapshot when the previous owner deletes old ones late", virtual(func() {
		client := store.Client("a")
		a := open(client)
		defer a.stop()
		a.write(1)
		client.SetDelay(func(c faker.Call) time.Duration {
			if c.Operation == "list" {
				return time.Second // pauses a between its snapshot and the deletion of old ones
			}
			return 0
		})
		a.Save(1, []byte("former"))
		synctest.Wait()
		b := open(store.Client("b"))
		b.write(1)
		b.Save(1, []byte("successor"))
		synctest.Wait()
		b.stop()
		time.Sleep(10 * time.Second)
		c := open(store.Client("c"))
		defer c.stop()
		Expect(string(c.content.Snapshot)).To(Equal("successor"))
	}))

	It("replays an append that takes effect during the claim", virtual(func() {
		client := store.Client("a")
		a := open(client)
		defer a.stop()
		a.write(1)
		client.SetDelay(func(c faker.Call) time.Duration { return 100 * time.Millisecond })
		go func() { _ = a.Append(2, nil) }()
		slow := store.Client("b")
		slow.SetDelay(func(c faker.Call) time.Duration {
			if c.Operation == "swap" && strings.Contains(c.Key, "log/") {
				return time.Second // the barrier is written after the last segment was read
			}
			return 0
		})
		b := open(slow)
		defer b.stop()
		appended, _ := a.state()
		Expect(appended).To(Equal([]int64{1, 2}))
		a.write(3)
		time.Sleep(time.Second)
		appended, lost := a.state()
		Expect(appended).To(Equal([]int64{1, 2}))
		Expect(lost).To(BeTrue())
	}))

	DescribeTable("neither loses nor duplicates batches when responses are lost or outdated",
		func(share float64, outcomes ...faker.Outcome) {
			for seed := range uint64(20) {
				virtual(func() { appendUnderFaults(rand.New(rand.NewPCG(seed, seed)), share, outcomes) })()
			}
		},
		Entry("a fifth of the responses lost", 0.2, faker.LoseResponse),
		Entry("most responses lost", 0.7, faker.LoseResponse),
		Entry("most calls dropped", 0.7, faker.Drop),
		Entry("a fifth of the reads outdated", 0.2, faker.StaleRead),
		Entry("faults of every kind", 0.7, faker.LoseResponse, faker.Drop, faker.StaleRead),
		Entry("most reads outdated", 0.7, faker.StaleRead),
	)

	It("splits a snapshot and a batch that exceed the store's value limit", virtual(func() {
		a := open(store.Client("a"))
		data := bytes.Repeat([]byte("0123456789"), 300_000)
		a.write(1)
		a.Save(1, data)
		big := describer.Record{Kind: describer.TaskFinished, Reason: strings.Repeat("x", 2_500_000)}
		Expect(a.Append(2, []describer.Record{big})).To(Succeed())
		a.Finish()
		<-a.Done
		b := open(store.Client("b"))
		defer b.stop()
		Expect(bytes.Equal(b.content.Snapshot, data)).To(BeTrue())
		Expect(b.content.Records).To(HaveLen(1))
		Expect(b.content.Records[0].Reason).To(HaveLen(2_500_000))
	}))

	It("drops a large batch that was written only in part", virtual(func() {
		client := store.Client("a")
		a := open(client)
		segments := 0
		client.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "swap" {
				segments++
			}
			if segments > 2 {
				return faker.Drop
			}
			return faker.Succeed
		})
		a.write(1)
		big := describer.Record{Reason: strings.Repeat("x", 2_500_000)}
		Expect(a.Append(2, []describer.Record{big, big})).To(Succeed())
		time.Sleep(time.Second)
		a.stop()
		b := open(store.Client("b"))
		b.write(1)
		b.stop()
		c := open(store.Client("c"))
		defer c.stop()
		Expect(c.records()).To(Equal("1.1 2.1"))
	}))

	It("reads segments one by one when listing them fails", virtual(func() {
		a := open(store.Client("a"))
		a.write(1, 2, 3)
		a.stop()
		client := store.Client("b")
		client.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "list" {
				return faker.Drop
			}
			return faker.Succeed
		})
		b := open(client)
		defer b.stop()
		Expect(b.records()).To(Equal("1.1 1.2 1.3"))
	}))

	It("deletes the chunks of unfinished snapshots", virtual(func() {
		client := store.Client("a")
		a := open(client)
		client.SetFault(func(c faker.Call) faker.Outcome {
			if strings.HasSuffix(c.Key, "head") {
				return faker.Drop
			}
			return faker.Succeed
		})
		a.Save(1, []byte("unfinished"))
		time.Sleep(time.Second)
		a.stop()
		b := open(store.Client("b"))
		defer b.stop()
		for i := range int64(3) {
			b.Save(i, []byte("state"))
			synctest.Wait()
		}
		Expect(store.Items(journaler.ShardKey(shard, "snapshot/"))).To(HaveLen(1))
	}))
})

// appendUnderFaults appends and saves snapshots while the given share of calls
// fails with one of the outcomes, and checks the replay.
func appendUnderFaults(random *rand.Rand, share float64, outcomes []faker.Outcome) {
	GinkgoHelper()
	store := faker.New()
	previous := open(store.Client("z"))
	previous.write(1)
	previous.Save(1, []byte("former"))
	previous.Finish()
	<-previous.Done
	client := store.Client("a")
	client.SetFault(func(faker.Call) faker.Outcome {
		if random.Float64() < share {
			return outcomes[random.IntN(len(outcomes))]
		}
		return faker.Succeed
	})
	a := open(client)
	for i := range int64(30) {
		a.write(i + 1)
		if i%7 == 6 {
			a.Save(i, fmt.Appendf(nil, "state %d", i))
		}
	}
	a.Finish()
	<-a.Done
	appended, lost := a.state()
	Expect(lost).To(BeFalse())
	Expect(appended).To(HaveLen(30))
	b := open(store.Client("b"))
	defer b.stop()
	Expect(string(b.content.Snapshot)).To(Equal("state 27"))
	Expect(b.records()).To(Equal("2.28 2.29 2.30"))
}
