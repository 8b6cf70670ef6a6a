package messenger

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// link is one connection with its JSON-RPC state.
type link struct {
	conn net.Conn
	rpc  *jsonrpc2.Conn
	read atomic.Int64 // messages received so far
}

func (n *Node) newLink(c net.Conn) *link {
	l := &link{conn: c}
	codec := &boundedCodec{limit: n.options.Limit}
	timed := &timedConn{Conn: c, write: n.options.Timeout, idle: n.options.Idle}
	stream := &meteredStream{
		ObjectStream: jsonrpc2.NewBufferedStream(timed, codec),
		conn:         timed,
		codec:        codec,
		meter:        n.meter,
		methods:      map[jsonrpc2.ID]string{},
		read:         &l.read,
	}
	d := &dispatcher{node: n, busy: make(chan struct{}, n.options.Pending)}
	l.rpc = jsonrpc2.NewConn(n.ctx, stream, d,
		jsonrpc2.OnSend(stream.onSend),
		jsonrpc2.OnRecv(stream.onReceive),
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)),
	)
	return l
}

func (l *link) close() {
	_ = l.rpc.Close()
	_ = l.conn.Close()
}

func (l *link) isClosed() bool {
	select {
	case <-l.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// link returns the kept connection to address, or dials.
func (n *Node) link(ctx context.Context, address string) (*link, error) {
	n.mu.Lock()
	l := n.links[address]
	closed := n.closed
	n.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if l != nil && !l.isClosed() {
		return l, nil
	}
	c, err := n.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return n.keep(address, n.newLink(c))
}

// keep stores a new connection, unless another goroutine was faster.
func (n *Node) keep(address string, l *link) (*link, error) {
	n.mu.Lock()
	other := n.links[address]
	closed := n.closed
	if !closed && (other == nil || other.isClosed()) {
		n.links[address] = l
		other = nil
	}
	n.mu.Unlock()
	if closed {
		l.close()
		return nil, net.ErrClosed
	}
	if other != nil {
		l.close()
		return other, nil
	}
	return l, nil
}

// drop closes a connection and forgets it.
func (n *Node) drop(address string, l *link) {
	n.mu.Lock()
	if n.links[address] == l {
		delete(n.links, address)
	}
	n.mu.Unlock()
	l.close()
}

// timedConn bounds each write and the time without anything received.
type timedConn struct {
	net.Conn
	write   time.Duration
	idle    time.Duration
	written int64 // bytes; guarded by the sending lock of jsonrpc2.Conn
}

func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// boundedCodec is the varint codec with a bound that is checked before the
// body is read.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	limit int64
	size  int64 // of the latest message read, header included
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	length, header, err := peekLength(r)
	if err != nil {
		return err
	}
	if length > uint64(c.limit) {
		return fmt.Errorf("messenger: message of %d bytes exceeds %d", length, c.limit)
	}
	c.size = int64(length) + int64(header)
	return c.VarintObjectCodec.ReadObject(r, v)
}

// peekLength reads the length without consuming it. It asks for one byte more
// at a time, as a longer peek would wait for the next message.
func peekLength(r *bufio.Reader) (length uint64, header int, err error) {
	for n := 1; n <= binary.MaxVarintLen64; n++ {
		b, err := r.Peek(n)
		if err != nil {
			return 0, 0, err
		}
		length, used := binary.Uvarint(b)
		if used > 0 {
			return length, used, nil
		}
		if used < 0 {
			break
		}
	}
	return 0, 0, fmt.Errorf("messenger: malformed length")
}
