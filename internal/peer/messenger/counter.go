package messenger

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// direction is the direction of a byte count.
type direction uint8

const (
	sent direction = iota
	received
	numDirections
)

// byteCounter counts the bytes sent and received, by method. It is safe for
// concurrent use.
type byteCounter struct {
	mu    sync.Mutex
	bytes [numDirections]map[string]int64
}

func newByteCounter() *byteCounter {
	b := &byteCounter{}
	for d := range b.bytes {
		b.bytes[d] = map[string]int64{}
	}
	return b
}

func (b *byteCounter) add(d direction, method string, n int64) {
	b.mu.Lock()
	b.bytes[d][method] += n
	b.mu.Unlock()
}

func (b *byteCounter) snapshot(d direction) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.bytes[d])
}

// countingStream counts the bytes of a connection by method. An answer counts
// towards the method of its request.
type countingStream struct {
	jsonrpc2.ObjectStream
	conn     *timedConn
	codec    *boundedCodec
	counter  *byteCounter
	received *atomic.Int64 // number of messages received on the connection

	sendMethod string // method being written; guarded by the sending lock of jsonrpc2.Conn

	mu             sync.Mutex
	requestMethods map[jsonrpc2.ID]string // methods of the requests not answered yet, by id
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *countingStream) WriteObject(v any) error {
	before := s.conn.bytesWritten
	err := s.ObjectStream.WriteObject(v)
	s.counter.add(sent, s.sendMethod, s.conn.bytesWritten-before)
	return err
}

// onSend records the method of the message that is written next. jsonrpc2 calls it
// just before the write, under its sending lock.
func (s *countingStream) onSend(r *jsonrpc2.Request, a *jsonrpc2.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r != nil:
		s.sendMethod = r.Method
	case a != nil:
		s.sendMethod = s.requestMethods[a.ID]
		delete(s.requestMethods, a.ID)
	}
}

// onReceive counts a message. jsonrpc2 calls it on the reading goroutine, before the
// message is handled.
func (s *countingStream) onReceive(r *jsonrpc2.Request, a *jsonrpc2.Response) {
	s.received.Add(1)
	if r == nil {
		return
	}
	s.counter.add(received, r.Method, s.codec.lastSize)
	if a != nil || r.Notif {
		return
	}
	s.mu.Lock()
	s.requestMethods[r.ID] = r.Method
	s.mu.Unlock()
}
