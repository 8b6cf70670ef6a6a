//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// record keeps what a case has seen, and the breaks of rules.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	breaks map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f, breaks: map[string]int{}}, err
}

// since returns the seconds since the case began.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// printf adds a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken. Further breaks of the same rule are counted.
func (r *record) broken(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks[rule]++
	line := fmt.Sprintf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), line)
	if r.breaks[rule] <= 5 {
		fmt.Printf("%9.3f %s\n", time.Since(r.began).Seconds(), line)
	}
}

// count returns how often a rule was broken.
func (r *record) count(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaks[rule]
}

func (r *record) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.breaks {
		n += c
	}
	return n
}

// listen listens on a loopback address.
func listen(address string) net.Listener {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			return l
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(err)
}
