package journaler_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/state/journaler"
)

var seeds = flag.Int("seeds", 40, "number of random histories to check")

// listModel is the sequential specification of a ledger: a list with append and
// read. The input is the name to append, or empty for a read.
var listModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		list := state.(string)
		if name := input.(string); name != "" {
			return true, list + name + " "
		}
		return list == output.(string), list
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

// history records the operations of all writers. Its clock is a counter, since
// many operations happen at the same virtual time.
type history struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

// begin records the start of an append or, with an empty name, of a read. The
// returned function records its end; until it is called, the outcome is unknown.
func (h *history) begin(client int, name string) func(output string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: name, Call: h.clock.Add(1), Output: "", Return: math.MaxInt64,
	})
	return func(output string) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.operations[i].Output, h.operations[i].Return = output, h.clock.Add(1)
	}
}

// session opens the ledger, appends, saves snapshots and closes the ledger
// without waiting for the queue to be written.
func (h *history) session(client int, c *faker.Client, random *rand.Rand) {
	openCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var mu sync.Mutex
	ends := map[int64]func(string){}
	read := h.begin(client, "")
	ledger, content, err := journaler.Open(openCtx, journaler.Options{
		Shard: shard, Owner: c.Name, Timeout: time.Second, Log: zerolog.Nop(),
		Appended: func(batch int64) {
			mu.Lock()
			defer mu.Unlock()
			ends[batch]("")
		},
	}, c)
	if err != nil {
		read("failed")
		return
	}
	var names []string
	if content.Snapshot != nil {
		_ = json.Unmarshal(content.Snapshot, &names)
	}
	for _, r := range content.Records {
		names = append(names, r.JobID)
	}
	read(join(names))
	for b := range int64(1 + random.IntN(5)) {
		name := fmt.Sprintf("%d.%d.%d", client, ledger.Epoch, b)
		names = append(names, name)
		mu.Lock()
		ends[b] = h.begin(client, name)
		mu.Unlock()
		_ = ledger.Append(b, []describer.Record{{JobID: name}})
		if random.IntN(3) == 0 {
			data, _ := json.Marshal(names)
			ledger.Save(b, data)
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
	ledger.Close()
	<-ledger.Done
}

func join(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return strings.Join(names, " ") + " "
}

// runWriters runs several concurrent writers on one ledger under random faults.
func runWriters(seed uint64) []porcupine.Operation {
	store, h := faker.New(), &history{}
	var writers sync.WaitGroup
	for client := range 4 {
		writers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			c := store.Client(fmt.Sprint(client))
			c.SetFault(randomFaults(rand.New(rand.NewPCG(seed, uint64(client+100)))))
			c.SetDelay(randomDelays(rand.New(rand.NewPCG(seed, uint64(client+200)))))
			for range 4 {
				h.session(client, c, random)
			}
		})
	}
	writers.Wait()
	time.Sleep(time.Minute) // delayed calls have taken effect by then
	h.session(9, store.Client("last"), rand.New(rand.NewPCG(seed, 9)))
	return boundOpenAppends(h.operations)
}

// boundOpenAppends gives appends with unknown outcome an end, which keeps the
// search of the checker small. An append whose name a read returned took effect
// before the end of that read. An append that no read returned is left out, as
// it may have taken effect after all reads.
func boundOpenAppends(all []porcupine.Operation) []porcupine.Operation {
	all = slices.DeleteFunc(all, func(o porcupine.Operation) bool { return o.Output == "failed" })
	var out []porcupine.Operation
	for _, o := range all {
		if name := o.Input.(string); name != "" && o.Return == math.MaxInt64 {
			for _, read := range all {
				if strings.Contains(" "+read.Output.(string), " "+name+" ") {
					o.Return = min(o.Return, read.Return)
				}
			}
			if o.Return == math.MaxInt64 {
				continue
			}
		}
		out = append(out, o)
	}
	return out
}

// randomFaults makes a fifth of the calls fail or return outdated values.
func randomFaults(random *rand.Rand) func(faker.Call) faker.Outcome {
	outcomes := []faker.Outcome{faker.Drop, faker.LoseResponse, faker.LoseResponse, faker.StaleRead}
	return func(faker.Call) faker.Outcome {
		if random.Float64() < 0.2 {
			return outcomes[random.IntN(len(outcomes))]
		}
		return faker.Succeed
	}
}

// randomDelays delays calls, sometimes beyond their timeout, so that they take
// effect after the caller has stopped waiting.
func randomDelays(random *rand.Rand) func(faker.Call) time.Duration {
	return func(faker.Call) time.Duration {
		switch random.IntN(20) {
		case 0:
			return time.Duration(random.IntN(20)) * time.Second
		case 1:
			return time.Duration(random.IntN(500)) * time.Millisecond
		}
		return time.Millisecond
	}
}

var _ = Describe("Ledger under concurrent writers", func() {
	It("is linearizable as a list", func() {
		for seed := range uint64(*seeds) {
			var operations []porcupine.Operation
			virtual(func() { operations = runWriters(seed) })()
			result := porcupine.CheckOperationsTimeout(listModel, operations, 20*time.Second)
			Expect(result).To(Equal(porcupine.Ok), "seed %d", seed)
		}
	})
})
