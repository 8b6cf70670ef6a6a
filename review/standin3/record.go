//go:build review3

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, by the time since its start.
type record struct {
	*sink

	prefix string // of each line
}

// sink is the file of a record and of its parts.
type sink struct {
	began time.Time

	mu     sync.Mutex // guards the fields below
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{sink: &sink{began: time.Now(), file: file, writer: bufio.NewWriter(file)}}, nil
}

// part returns a record in the same file whose lines have a prefix.
func (r *record) part(prefix string) *record { return &record{r.sink, prefix} }

// printf writes a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f %s", time.Since(r.began).Seconds(), r.prefix)
	fmt.Fprintf(r.writer, format, args...)
	_ = r.writer.WriteByte('\n')
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
