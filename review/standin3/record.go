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
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// printf writes a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.writer, format, args...)
	_ = r.writer.WriteByte('\n')
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
