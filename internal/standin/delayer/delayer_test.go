package delayer_test

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
)

var _ = Describe("Relay", func() {
	// echo answers every byte.
	echo := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					io.Copy(c, c)
				}()
			}
		}()
		return l.Addr().String()
	}
	relay := func(link *delayer.Link) *delayer.Relay {
		r, err := delayer.New("127.0.0.1:0", echo(), link)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { r.Close() })
		return r
	}
	dial := func(r *delayer.Relay) net.Conn {
		c, err := net.Dial("tcp", r.Address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { c.Close() })
		return c
	}
	ask := func(c net.Conn, text string) error {
		if _, err := c.Write([]byte(text)); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, len(text)))
		return err
	}

	// try dials and asks; on a link that drops, either may be what is reset.
	try := func(r *delayer.Relay, text string) error {
		c, err := net.Dial("tcp", r.Address)
		if err != nil {
			return err
		}
		defer c.Close()
		return ask(c, text)
	}

	It("delays, limits and counts", func() {
		link := delayer.NewLink(20*time.Millisecond, 10000)
		r := relay(link)
		began := time.Now()
		c := dial(r)
		Expect(ask(c, string(make([]byte, 1000)))).To(Succeed())
		// One delay to connect, one each way, and 100 ms of sending each way.
		Expect(time.Since(began)).To(BeNumerically(">=", 260*time.Millisecond))
		up, down := link.Bytes()
		Expect(up).To(BeEquivalentTo(1000))
		Expect(down).To(BeEquivalentTo(1000))
	})

	It("resets connections when dropped, and takes new ones after healing", func() {
		link := delayer.NewLink(0, 0)
		r := relay(link)
		c := dial(r)
		Expect(ask(c, "a")).To(Succeed())
		link.Cut(delayer.Drop)
		Expect(ask(c, "b")).NotTo(Succeed())
		Expect(try(r, "c")).NotTo(Succeed())
		link.Heal()
		Expect(ask(dial(r), "d")).To(Succeed())
	})

	It("holds bytes in a blackhole until it heals", func() {
		link := delayer.NewLink(0, 0)
		c := dial(relay(link))
		Expect(ask(c, "a")).To(Succeed())
		link.Cut(delayer.Blackhole)
		done := make(chan error, 1)
		go func() { done <- ask(c, "b") }()
		Consistently(done, "100ms").ShouldNot(Receive())
		link.Heal()
		Eventually(done).Should(Receive(Succeed()))
	})

	It("ends while connections wait in a blackhole", func() {
		link := delayer.NewLink(0, 0)
		r := relay(link)
		link.Cut(delayer.Blackhole)
		dial(r)
		r.Close()
		Expect(r.Done).To(BeClosed())
	})
})
