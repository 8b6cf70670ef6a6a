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

// connection is one TCP connection, outgoing or incoming, with its JSON-RPC state.
// Both ends may send calls over it.
type connection struct {
	conn     net.Conn
	rpc      *jsonrpc2.Conn
	received atomic.Int64 // number of messages received so far
}

// newConnection starts JSON-RPC on conn and takes ownership of it.
func (n *Node) newConnection(conn net.Conn) *connection {
	c := &connection{conn: conn}
	codec := &boundedCodec{maxSize: n.options.Limit}
	timed := &timedConn{Conn: conn, writeTimeout: n.options.Timeout, idleTimeout: n.options.Idle}
	stream := &countingStream{
		ObjectStream:   jsonrpc2.NewBufferedStream(timed, codec),
		conn:           timed,
		codec:          codec,
		counter:        n.counter,
		requestMethods: map[jsonrpc2.ID]string{},
		received:       &c.received,
	}
	d := &dispatcher{node: n, slots: make(chan struct{}, n.options.Pending)}
	c.rpc = jsonrpc2.NewConn(n.ctx, stream, d,
		jsonrpc2.OnSend(stream.onSend),
		jsonrpc2.OnRecv(stream.onReceive),
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)),
	)
	return c
}

func (c *connection) close() {
	_ = c.rpc.Close()
	_ = c.conn.Close()
}

func (c *connection) isClosed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// connect returns the open connection to address, or dials a new one.
func (n *Node) connect(ctx context.Context, address string) (*connection, error) {
	n.mu.Lock()
	c := n.outgoing[address]
	closed := n.closed
	n.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if c != nil && !c.isClosed() {
		return c, nil
	}
	conn, err := n.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return n.addConnection(address, n.newConnection(conn))
}

// addConnection stores a new connection and returns it. If another goroutine has
// stored one to the same address in the meantime, it closes c and returns that one.
func (n *Node) addConnection(address string, c *connection) (*connection, error) {
	n.mu.Lock()
	other := n.outgoing[address]
	closed := n.closed
	if !closed && (other == nil || other.isClosed()) {
		n.outgoing[address] = c
		other = nil
	}
	n.mu.Unlock()
	if closed {
		c.close()
		return nil, net.ErrClosed
	}
	if other != nil {
		c.close()
		return other, nil
	}
	return c, nil
}

// dropConnection closes a connection, so that the next call to address dials again.
func (n *Node) dropConnection(address string, c *connection) {
	n.mu.Lock()
	if n.outgoing[address] == c {
		delete(n.outgoing, address)
	}
	n.mu.Unlock()
	c.close()
}

// timedConn sets a deadline on each write, and on each read, so that a connection on
// which nothing is received for idleTimeout ends. It counts the bytes written.
type timedConn struct {
	net.Conn
	writeTimeout time.Duration
	idleTimeout  time.Duration
	bytesWritten int64 // guarded by the sending lock of jsonrpc2.Conn
}

func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// boundedCodec is the varint codec of jsonrpc2, where the length of a message comes
// before its body, with a limit that is checked before the body is read.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	maxSize  int64 // maximum size of a message body, in bytes
	lastSize int64 // size of the last message read, in bytes, including its length prefix
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	length, header, err := peekLength(r)
	if err != nil {
		return err
	}
	if length > uint64(c.maxSize) {
		return fmt.Errorf("messenger: message of %d bytes exceeds %d", length, c.maxSize)
	}
	c.lastSize = int64(length) + int64(header)
	return c.VarintObjectCodec.ReadObject(r, v)
}

// peekLength reads the length of the next message without consuming it, and the size
// of this length prefix, both in bytes. It peeks at one more byte at a time, as a
// longer peek could block until another message arrives.
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
