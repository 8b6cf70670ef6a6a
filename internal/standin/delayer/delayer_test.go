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
	// echo starts a server that returns every byte, and returns its address.
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
	// roundTrip sends the text and reads as many bytes.
	roundTrip := func(c net.Conn, text string) error {
		if _, err := c.Write([]byte(text)); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, len(text)))
		return err
	}

	// dialAndSend makes one round trip on a new connection. On a link cut by Drop,
	// connecting or the round trip may fail.
	dialAndSend := func(r *delayer.Relay, text string) error {
		c, err := net.Dial("tcp", r.Address)
		if err != nil {
			return err
		}
		defer c.Close()
		return roundTrip(c, text)
	}

	It("delays data, limits its rate and counts its bytes", func() {
		link := delayer.NewLink(20*time.Millisecond, 10000)
		r := relay(link)
		start := time.Now()
		c := dial(r)
		Expect(roundTrip(c, string(make([]byte, 1000)))).To(Succeed())
		// One delay to connect, one each way, and 100 ms to send 1000 bytes each way.
		Expect(time.Since(start)).To(BeNumerically(">=", 260*time.Millisecond))
		up, down := link.Bytes()
		Expect(up).To(BeEquivalentTo(1000))
		Expect(down).To(BeEquivalentTo(1000))
	})

	It("breaks connections while cut by Drop, and accepts new ones after healing", func() {
		link := delayer.NewLink(0, 0)
		r := relay(link)
		c := dial(r)
		Expect(roundTrip(c, "a")).To(Succeed())
		link.Cut(delayer.Drop)
		Expect(roundTrip(c, "b")).NotTo(Succeed())
		Expect(dialAndSend(r, "c")).NotTo(Succeed())
		link.Heal()
		Expect(roundTrip(dial(r), "d")).To(Succeed())
	})

	It("holds data in a blackhole until the link heals", func() {
		link := delayer.NewLink(0, 0)
		c := dial(relay(link))
		Expect(roundTrip(c, "a")).To(Succeed())
		link.Cut(delayer.Blackhole)
		done := make(chan error, 1)
		go func() { done <- roundTrip(c, "b") }()
		Consistently(done, "100ms").ShouldNot(Receive())
		link.Heal()
		Eventually(done).Should(Receive(Succeed()))
	})

	It("closes while connections wait in a blackhole", func() {
		link := delayer.NewLink(0, 0)
		r := relay(link)
		link.Cut(delayer.Blackhole)
		dial(r)
		r.Close()
		Expect(r.Done).To(BeClosed())
	})
})
