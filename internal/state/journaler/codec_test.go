package journaler

import (
	"bytes"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

func FuzzDecodeSegment(f *testing.F) {
	line, _ := encodeBatch(1, []describer.Record{{Kind: describer.JobCancelled, JobID: "j"}})
	good, _ := segment{Sequence: 1, Epoch: 1, Nonce: "n", payload: line}.encode()
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte("{}\n"))
	f.Add([]byte(`{"sequence":-1,"epoch":1,"nonce":"n","next":-2}` + "\n"))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := decodeSegment(value)
		if err != nil {
			return
		}
		again, err := s.encode()
		if err != nil {
			t.Fatal(err)
		}
		twice, err := decodeSegment(again)
		if err != nil || twice.Sequence != s.Sequence || twice.NextSlot != s.NextSlot || !bytes.Equal(twice.payload, s.payload) {
			t.Fatalf("%q: encoded again as %q, which decodes differently: %v", value, again, err)
		}
		_, _ = decodeBatches(s.payload)
	})
}

func FuzzDecodeHead(f *testing.F) {
	good, _ := head{Epoch: 1, Nonce: "n", FirstSequence: 1}.encode()
	f.Add(good)
	f.Add([]byte(`{"epoch":1,"nonce":"n","sequence":1,"snapshot":{"name":"x","chunks":9223372036854775807,"size":9223372036854775807}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := decodeHead(value)
		if err != nil {
			return
		}
		if h.Snapshot.Size > int64(h.Snapshot.Chunks)*MaxPayload {
			t.Fatalf("%q: snapshot size exceeds its number of chunks", value)
		}
	})
}

// taskStarted is a record of typical size.
var taskStarted = describer.Record{
	Kind:    describer.TaskStarted,
	Time:    time.Unix(1_700_000_000, 0),
	Task:    describer.TaskID{Job: "precinct-wave-0123456789", Index: 42},
	Worker:  "worker-seq-bne-0042",
	Token:   describer.Token{Epoch: 7, Sequence: 123456},
	Granted: describer.Resources{CPU: 2000, Memory: 4096},
}

// maxAllocations is the limit for encoding one batch of one record.
const maxAllocations = 6

func TestEncodeBatchAllocations(t *testing.T) {
	records := []describer.Record{taskStarted}
	got := testing.AllocsPerRun(100, func() {
		if _, err := encodeBatch(1, records); err != nil {
			t.Fatal(err)
		}
	})
	if got > maxAllocations {
		t.Fatalf("%.0f allocations for a batch, want at most %d", got, maxAllocations)
	}
}

func BenchmarkEncodeBatch(b *testing.B) {
	records := []describer.Record{taskStarted}
	line, _ := encodeBatch(1, records)
	b.ReportMetric(float64(len(line)), "B/record")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := encodeBatch(1, records); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReplay(b *testing.B) {
	const count = 10_000
	var payload []byte
	for i := range int64(count) {
		line, _ := encodeBatch(i, []describer.Record{taskStarted})
		payload = append(payload, line...)
	}
	b.ReportAllocs()
	for b.Loop() {
		r := replayer{}
		if err := r.add(segment{Sequence: 1, Epoch: 1, payload: payload}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/count, "ns/record")
}
