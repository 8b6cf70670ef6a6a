package reporter

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Writer hands log lines to another writer without ever blocking. Lines that
// find the queue full are dropped; the next line that is written says how many.
type Writer struct {
	Dropped atomic.Int64  // lines dropped so far
	Done    chan struct{} // closed when all lines are written

	lines  chan []byte
	closed chan struct{}
}

// NewWriter returns a writer with room for queue waiting lines. Close writes
// what waits and ends it.
func NewWriter(out io.Writer, queue int) *Writer {
	w := &Writer{
		Done:   make(chan struct{}),
		lines:  make(chan []byte, queue),
		closed: make(chan struct{}),
	}
	go func() {
		defer close(w.Done)
		var reported int64
		for {
			select {
			case line := <-w.lines:
				reported = w.flush(out, line, reported)
			case <-w.closed:
				w.flush(out, nil, reported)
				return
			}
		}
	}()
	return w
}

// flush writes a line with those that wait behind it, in one call.
func (w *Writer) flush(out io.Writer, batch []byte, reported int64) int64 {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if dropped := w.Dropped.Load(); dropped > reported {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"part\":\"log\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", dropped-reported)
		reported = dropped
	}
	if len(batch) > 0 {
		_, _ = out.Write(batch) // there is nowhere to report it
	}
	return reported
}

// Write takes one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.Dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait and ends the writer.
func (w *Writer) Close() error {
	close(w.closed)
	<-w.Done
	return nil
}
