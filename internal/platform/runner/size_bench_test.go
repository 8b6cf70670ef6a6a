package runner

import (
	"encoding/json"
	"fmt"
	"testing"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// BenchmarkSync reports the bytes of one sync call, request and answer, by the number
// of runs on the worker.
func BenchmarkSync(b *testing.B) {
	for _, runs := range []int{0, 9, 18, 35, 70} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			request, answer := syncMessages(runs)
			var bytes int
			for b.Loop() {
				bytes = encodedSize(b, request) + encodedSize(b, answer)
			}
			b.ReportMetric(float64(bytes), "bytes/sync")
		})
	}
}

// syncMessages returns a request that renews the given number of runs, and its answer.
func syncMessages(runs int) (SyncRequest, SyncResult) {
	request := SyncRequest{Shard: "seq-bne-r12", Epoch: 7}
	answer := SyncResult{Capacity: describer.Resources{CPU: 64_000, Memory: 250 << 10}}
	granted := describer.Resources{CPU: 1500, Memory: 4096}
	for i := range runs {
		run := Run{Task: describer.TaskID{Job: "precinct-20300101-0042", Index: i}, Token: describer.Token{Epoch: 7, Sequence: 120_000}}
		request.Renew = append(request.Renew, run)
		answer.Running = append(answer.Running, ActiveRun{Run: run, Granted: granted, Used: granted, Progress: 0.375})
	}
	return request, answer
}

// encodedSize returns the size of v as JSON, in bytes.
func encodedSize(b *testing.B, v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
