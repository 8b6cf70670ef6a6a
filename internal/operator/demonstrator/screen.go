package demonstrator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/caller"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

const (
	drawInterval = 250 * time.Millisecond
	lineWidth    = 100
)

// screen draws progress: one line that is redrawn on a terminal, otherwise a
// line for each event.
type screen struct {
	out      io.Writer
	terminal bool
	calls    *caller.Generator
	jobs     *wave
	drained  *drain
	began    time.Time

	mu     sync.Mutex
	latest string
}

func newScreen(out io.Writer, terminal bool, calls *caller.Generator, jobs *wave, drained *drain) *screen {
	return &screen{out: out, terminal: terminal, calls: calls, jobs: jobs, drained: drained, began: time.Now()}
}

// draw shows progress until ctx ends.
func (s *screen) draw(ctx context.Context) {
	last := ""
	for deployer.Sleep(ctx, drawInterval) {
		if s.terminal {
			fmt.Fprintf(s.out, "\r%-*s", lineWidth, s.line())
			continue
		}
		if now := s.drained.now(); now != last {
			last = now
			s.note("drain " + now)
		}
	}
	if s.terminal {
		fmt.Fprintln(s.out)
	}
}

func (s *screen) line() string {
	accepted, done := s.jobs.count()
	requests, failed := s.calls.Counts()
	s.mu.Lock()
	latest := s.latest
	s.mu.Unlock()
	return fmt.Sprintf("%5.1f s  requests %d (%d failed)  jobs %d/%d  drain %s  %s",
		time.Since(s.began).Seconds(), requests, failed, done, accepted,
		strings.SplitN(s.drained.now(), ":", 2)[0], latest)
}

// note shows an event.
func (s *screen) note(event string) {
	s.mu.Lock()
	s.latest = event
	s.mu.Unlock()
	if !s.terminal {
		fmt.Fprintf(s.out, "%5.1f s  %s\n", time.Since(s.began).Seconds(), event)
	}
}
