package messenger

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

type direction uint8

const (
	sent direction = iota
	received
	directions // count
)

// meter adds up bytes by method.
type meter struct {
	mu    sync.Mutex
	bytes [directions]map[string]int64
}

func newMeter() *meter {
	m := &meter{}
	for d := range m.bytes {
		m.bytes[d] = map[string]int64{}
	}
	return m
}

func (m *meter) add(d direction, method string, n int64) {
	m.mu.Lock()
	m.bytes[d][method] += n
	m.mu.Unlock()
}

func (m *meter) read(d direction) map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.bytes[d])
}

// meteredStream attributes the bytes of a connection to methods. An answer
// counts for the method of its request.
type meteredStream struct {
	jsonrpc2.ObjectStream
	conn  *timedConn
	codec *boundedCodec
	meter *meter
	read  *atomic.Int64

	current string // method being written; guarded by the sending lock of jsonrpc2.Conn

	mu      sync.Mutex
	methods map[jsonrpc2.ID]string // of requests being served
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *meteredStream) WriteObject(v any) error {
	before := s.conn.written
	err := s.ObjectStream.WriteObject(v)
	s.meter.add(sent, s.current, s.conn.written-before)
	return err
}

// onSend runs just before the message is written, under the sending lock.
func (s *meteredStream) onSend(r *jsonrpc2.Request, a *jsonrpc2.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r != nil:
		s.current = r.Method
	case a != nil:
		s.current = s.methods[a.ID]
		delete(s.methods, a.ID)
	}
}

// onReceive runs on the reading goroutine, before the message is handled.
func (s *meteredStream) onReceive(r *jsonrpc2.Request, a *jsonrpc2.Response) {
	s.read.Add(1)
	if r == nil {
		return
	}
	s.meter.add(received, r.Method, s.codec.size)
	if a != nil || r.Notif {
		return
	}
	s.mu.Lock()
	s.methods[r.ID] = r.Method
	s.mu.Unlock()
}
