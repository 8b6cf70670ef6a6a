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
	lineWidth    = 100 // columns
)

// screen shows the progress of a run: on a terminal as one line that is redrawn,
// and otherwise as a line for each event.
type screen struct {
	out      io.Writer
	terminal bool
	calls    *caller.Generator
	jobs     *batchLoad
	drain    *drainRun
	start    time.Time

	mu        sync.Mutex
	lastEvent string
}

func newScreen(out io.Writer, terminal bool, calls *caller.Generator, jobs *batchLoad, drain *drainRun) *screen {
	return &screen{out: out, terminal: terminal, calls: calls, jobs: jobs, drain: drain, start: time.Now()}
}

// draw shows the progress until ctx ends.
func (s *screen) draw(ctx context.Context) {
	last := ""
	for deployer.Sleep(ctx, drawInterval) {
		if s.terminal {
			fmt.Fprintf(s.out, "\r%-*s", lineWidth, s.statusLine())
			continue
		}
		if state := s.drain.currentState(); state != last {
			last = state
			s.showEvent("drain " + state)
		}
	}
	if s.terminal {
		fmt.Fprintln(s.out)
	}
}

// statusLine returns the counts so far, the state of the drain and the last event.
func (s *screen) statusLine() string {
	accepted, done := s.jobs.count()
	requests, failed := s.calls.Counts()
	s.mu.Lock()
	event := s.lastEvent
	s.mu.Unlock()
	return fmt.Sprintf("%5.1f s  requests %d (%d failed)  jobs %d/%d  drain %s  %s",
		time.Since(s.start).Seconds(), requests, failed, done, accepted,
		strings.SplitN(s.drain.currentState(), ":", 2)[0], event)
}

// showEvent shows an event, on a terminal with the next drawing.
func (s *screen) showEvent(event string) {
	s.mu.Lock()
	s.lastEvent = event
	s.mu.Unlock()
	if !s.terminal {
		fmt.Fprintf(s.out, "%5.1f s  %s\n", time.Since(s.start).Seconds(), event)
	}
}
