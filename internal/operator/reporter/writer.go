package reporter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Writer is an io.WriteCloser that passes log lines on to another writer without
// blocking its caller. When the queue is full, lines are dropped, and a line about
// their number is written with the next batch.
type Writer struct {
	Dropped atomic.Int64  // lines dropped so far
	Done    chan struct{} // closed when Close has written all lines

	lines     chan []byte
	closed    chan struct{}
	closeOnce sync.Once // guards closing closed
}

// NewWriter returns a writer to out whose queue holds the given number of lines.
// Close it to write the queued lines and end its goroutine.
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

// maxWrite is the size of a write in bytes that a pipe takes whole. What collects the log may cut
// longer ones.
const maxWrite = 4096

// flush writes the line and all queued ones, whole lines of up to maxWrite together, and the number
// of lines dropped since the last report, if any. It returns the total of reported drops.
func (w *Writer) flush(out io.Writer, batch []byte, reported int64) int64 {
	for {
		select {
		case line := <-w.lines:
			if len(batch) > 0 && len(batch)+len(line) > maxWrite {
				_, _ = out.Write(batch) // an error of the log itself has nowhere to go
				batch = nil
			}
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
		_, _ = out.Write(batch)
	}
	return reported
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.Dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the writer. Lines written during or after
// Close may be lost.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	<-w.Done
	return nil
}
