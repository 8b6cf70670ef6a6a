// Package analyzer accounts for the CPU of shards from the logs of their owners.
//
// # Model
//
// An owner logs its load summary when it changes. [Read] holds each summary until
// the next one of the same shard and adds up core-seconds by what the CPU was for:
// reserved by long-running or finite tasks, or free, while work waited for it or
// not; and in parallel what fillers used of the CPU that nobody else did.
//
//	account, err := analyzer.Read(logs)
//	fmt.Print(account.Table())
//
// Timestamps of log lines have a resolution of a second, so short spans count with
// an error of up to that. The long-running CPU of a summary includes tasks that wait.
package analyzer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Account is what the CPU of the shards was for, in core-seconds.
type Account struct {
	Shards    []ShardAccount `json:"shards"`    // by name
	Summaries int            `json:"summaries"` // number of load summaries read
	Ignored   int            `json:"ignored"`   // lines that are no log line
}

// ShardAccount is the account of one shard, in core-seconds.
type ShardAccount struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"` // time that the summaries cover

	LongRunning float64 `json:"lasting"`  // reserved by long-running tasks
	Finite      float64 `json:"finite"`   // reserved by finite tasks
	FreeWaiting float64 `json:"awaited"`  // free, in pieces that don't fit the work that waits
	Free        float64 `json:"free"`     // free, and no work waits for it
	Fillers     float64 `json:"fillers"`  // used by fillers
	HeldBack    float64 `json:"heldback"` // unused while fillers wait
	Unused      float64 `json:"unused"`   // unused, and no fillers wait
}

// summary is a load summary in a log line. CPU is in millicores, backlogs in
// millicore-seconds.
type summary struct {
	Message     string    `json:"message"`
	Shard       string    `json:"shard"`
	Time        time.Time `json:"time"`
	Free        float64   `json:"free"`
	Finite      float64   `json:"turning"`
	LongRunning float64   `json:"lasting"`
	Unused      float64   `json:"unused"`
	Fillers     float64   `json:"fillers"`

	waiting        bool // work that reserves CPU waits
	fillersWaiting bool
}

// summaryMessage is the message of the log lines that are read.
const summaryMessage = "load summary changed"

// maxLine is the length of the longest log line that is read, in bytes.
const maxLine = 1 << 20

// Read accounts for the CPU in the logs. A line may have a prefix before its JSON
// object, as collected logs have. Other lines are counted and ignored.
func Read(logs io.Reader) (*Account, error) {
	account := &Account{}
	last := make(map[string]summary)
	shards := make(map[string]*ShardAccount)
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		s, ok := parse(lines.Bytes())
		if !ok {
			account.Ignored++
			continue
		}
		if s.Message != summaryMessage {
			continue
		}
		account.Summaries++
		if shards[s.Shard] == nil {
			shards[s.Shard] = &ShardAccount{Name: s.Shard}
		}
		if before, ok := last[s.Shard]; ok {
			shards[s.Shard].add(&before, s.Time.Sub(before.Time))
		}
		last[s.Shard] = s
	}
	if err := lines.Err(); err != nil {
		return nil, eris.Wrap(err, "analyzer: read logs")
	}
	for _, name := range slices.Sorted(maps.Keys(shards)) {
		account.Shards = append(account.Shards, *shards[name])
	}
	return account, nil
}

// parse decodes a log line. It returns false if the line has no JSON object.
func parse(line []byte) (summary, bool) {
	var s summary
	begin := bytes.IndexByte(line, '{')
	if begin < 0 || json.Unmarshal(line[begin:], &s) != nil {
		return summary{}, false
	}
	if s.Message != summaryMessage {
		return s, true
	}
	var fields map[string]any
	if err := json.Unmarshal(line[begin:], &fields); err != nil {
		return summary{}, false
	}
	// The backlogs have a field for each priority: backlog0, fillers0 and so on.
	for name, value := range fields {
		work, isNumber := value.(float64)
		if !isNumber || work <= 0 {
			continue
		}
		s.waiting = s.waiting || strings.HasPrefix(name, "backlog")
		s.fillersWaiting = s.fillersWaiting || strings.HasPrefix(name, "fillers") && name != "fillers"
	}
	return s, true
}

// add adds a span in which the summary held.
func (a *ShardAccount) add(s *summary, span time.Duration) {
	seconds := max(span, 0).Seconds()
	cores := func(millicores float64) float64 { return millicores / 1000 * seconds }
	a.Seconds += seconds
	a.LongRunning += cores(s.LongRunning)
	a.Finite += cores(s.Finite)
	a.Fillers += cores(s.Fillers)
	if s.waiting {
		a.FreeWaiting += cores(s.Free)
	} else {
		a.Free += cores(s.Free)
	}
	if s.fillersWaiting {
		a.HeldBack += cores(s.Unused)
	} else {
		a.Unused += cores(s.Unused)
	}
}
