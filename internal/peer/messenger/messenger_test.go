package messenger_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/peer/messenger"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// startNode starts a node on a free local port, unless o has a listener, and closes it
// after the spec.
func startNode(o messenger.Options) *messenger.Node {
	if o.Listener == nil {
		o.Listen = "127.0.0.1:0"
	}
	n, err := messenger.New(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		Expect(n.Close()).To(Succeed())
		<-n.Done
	})
	return n
}

// echo is a handler that returns its params.
func echo(_ context.Context, params json.RawMessage) (any, error) { return params, nil }

var _ = Describe("Node", func() {
	var a, b *messenger.Node
	ctx := context.Background()

	BeforeEach(func() {
		a, b = startNode(messenger.Options{}), startNode(messenger.Options{})
		b.Handle("echo", echo)
	})

	It("makes calls over one connection and counts the same bytes on both sides", func() {
		for _, word := range []string{"one", "two"} {
			var out string
			Expect(a.Call(ctx, b.Address, "echo", word, &out)).To(Succeed())
			Expect(out).To(Equal(word))
		}
		Expect(a.Sent()["echo"]).To(BeNumerically(">", 0))
		Expect(b.Received()).To(Equal(a.Sent()))
		// The peer may receive a message before its sender has counted it.
		Eventually(b.Sent).Should(Equal(a.Received()))
	})

	It("returns NotRun if nobody listens, the peer refuses or the method is unknown", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		Expect(classifier.VerdictOf(a.Call(ctx, l.Addr().String(), "echo", nil, nil))).To(Equal(classifier.NotRun))
		Expect(classifier.VerdictOf(a.Call(ctx, b.Address, "other", nil, nil))).To(Equal(classifier.NotRun))
		refusal := &classifier.Error{Verdict: classifier.NotRun, Status: 503, Code: "busy", Message: "m", Field: "f", RetryAfter: time.Second}
		b.Handle("busy", func(context.Context, json.RawMessage) (any, error) { return nil, refusal })
		Expect(a.Call(ctx, b.Address, "busy", nil, nil)).To(Equal(refusal))
	})

	It("returns MayHaveRun for a panic and for an error without a verdict", func() {
		b.Handle("panic", func(context.Context, json.RawMessage) (any, error) { panic("bug") })
		b.Handle("fail", func(context.Context, json.RawMessage) (any, error) { return nil, io.EOF })
		for _, method := range []string{"panic", "fail"} {
			Expect(classifier.VerdictOf(a.Call(ctx, b.Address, method, nil, nil))).To(Equal(classifier.MayHaveRun), method)
		}
	})

	It("replaces a connection that went silent", func() {
		muted := &atomic.Bool{}
		var dials atomic.Int32
		c := startNode(messenger.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return &mutedConn{Conn: conn, muted: muted}, err
		}})
		Expect(c.Call(ctx, b.Address, "echo", 1, nil)).To(Succeed())
		muted.Store(true)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(classifier.VerdictOf(c.Call(short, b.Address, "echo", 2, nil))).To(Equal(classifier.MayHaveRun))
		muted.Store(false)
		Expect(c.Call(ctx, b.Address, "echo", 3, nil)).To(Succeed())
		Expect(dials.Load()).To(BeEquivalentTo(2))
	})

	It("dials again after the peer has been replaced", func() {
		Expect(a.Call(ctx, b.Address, "echo", 1, nil)).To(Succeed())
		Expect(b.Close()).To(Succeed())
		<-b.Done
		l, err := net.Listen("tcp", b.Address)
		Expect(err).NotTo(HaveOccurred())
		startNode(messenger.Options{Listener: l}).Handle("echo", echo)
		// The end of the old connection may not have been noticed yet.
		Eventually(func() error { return a.Call(ctx, b.Address, "echo", 2, nil) }).Should(Succeed())
	})

	It("closes connections that send oversized or malformed messages, and serves others", func() {
		small := startNode(messenger.Options{Limit: 64})
		small.Handle("echo", echo)
		for _, raw := range []string{"\xff\xff\xff\xff\x0f{", "\x05{}}}}", "\x02[]", "\x04null", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n"} {
			c, err := net.Dial("tcp", small.Address)
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Write([]byte(raw))
			Expect(err).NotTo(HaveOccurred())
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = io.ReadAll(c)
			Expect(err).To(Or(BeNil(), MatchError(ContainSubstring("reset"))), "%q", raw)
			c.Close()
		}
		Expect(a.Call(ctx, small.Address, "echo", 1, nil)).To(Succeed())
		big := startNode(messenger.Options{Limit: 32})
		Expect(classifier.VerdictOf(big.Call(ctx, b.Address, "echo", make([]byte, 64), nil))).To(Equal(classifier.NotRun))
	})

	It("refuses calls above the limit of concurrent calls on a connection", func() {
		limited := startNode(messenger.Options{Pending: 1})
		entered, release := make(chan struct{}), make(chan struct{})
		limited.Handle("hold", func(context.Context, json.RawMessage) (any, error) {
			close(entered)
			<-release
			return nil, nil
		})
		result := make(chan error, 1)
		go func() { result <- a.Call(ctx, limited.Address, "hold", nil, nil) }()
		<-entered
		Expect(classifier.VerdictOf(a.Call(ctx, limited.Address, "hold", nil, nil))).To(Equal(classifier.NotRun))
		close(release)
		Expect(<-result).To(Succeed())
	})
})

// mutedConn discards what is written to it while muted is set, as a connection whose
// path was lost.
type mutedConn struct {
	net.Conn
	muted *atomic.Bool
}

func (c *mutedConn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
