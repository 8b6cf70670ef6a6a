package dialer_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/dialer"
)

func TestDialer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dialer")
}

func backend(address string) describer.Backend {
	return describer.Backend{Worker: "w", Address: address, Slots: 8, Connections: 64}
}

func request(method, address, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+address+"/", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	return r
}

// start returns a dialer that is closed at the end of the spec.
func start(o dialer.Options) *dialer.Dialer {
	d := dialer.New(o)
	DeferCleanup(d.Close)
	return d
}

// read returns the body of the response.
func read(response *http.Response, err error) string {
	Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	return string(data)
}

var _ = Describe("Dialer", func() {
	It("reuses a connection for the next request", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.RemoteAddr) }))
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		d := start(dialer.Options{})
		first := read(d.Send(backend(address), request("GET", address, "")))
		Expect(read(d.Send(backend(address), request("GET", address, "")))).To(Equal(first))
		Expect(d.OpenConnections("w")).To(Equal(1))
	})

	It("sends a request that the transport takes for replayable only once when a reused connection breaks", func() {
		var runs atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}
		}))
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		d := start(dialer.Options{})
		read(d.Send(backend(address), request("GET", address, "")))
		r := request("POST", address, "")
		r.Header.Set("Idempotency-Key", "7f3a")
		_, err := d.Send(backend(address), r)
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("returns verdict NotRun when no connection can be opened", func() {
		listener, _ := net.Listen("tcp", "127.0.0.1:0")
		address := listener.Addr().String()
		listener.Close()
		d := start(dialer.Options{})
		_, err := d.Send(backend(address), request("POST", address, "hold"))
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.NotRun))
		Expect(d.OpenConnections("w")).To(BeZero())
	})

	It("opens no more connections than allowed", func() {
		arrived, proceed := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(arrived)
			<-proceed
		}))
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		d := start(dialer.Options{Connections: func(describer.Backend) int { return 1 }})
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			read(d.Send(backend(address), request("GET", address, "")))
		}()
		<-arrived
		_, err := d.Send(backend(address), request("GET", address, ""))
		var e *classifier.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Code).To(Equal("connections"))
		Expect(e.Verdict).To(Equal(classifier.NotRun))
		close(proceed)
		<-done
	})

	It("closes idle connections when fewer are allowed", func() {
		var allowed atomic.Int64
		allowed.Store(3)
		arrived := make(chan struct{}, 3)
		proceed := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodHead {
				arrived <- struct{}{}
				<-proceed
			}
		}))
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		d := start(dialer.Options{
			StallTimeout: 100 * time.Millisecond,
			Connections:  func(describer.Backend) int { return int(allowed.Load()) },
		})
		done := make(chan struct{}, 3)
		for range 3 {
			go func() {
				defer GinkgoRecover()
				read(d.Send(backend(address), request("GET", address, "")))
				done <- struct{}{}
			}()
			<-arrived
		}
		close(proceed)
		for range 3 {
			<-done
		}
		Expect(d.OpenConnections("w")).To(Equal(3))
		allowed.Store(1)
		Eventually(func() int { return d.OpenConnections("w") }).Should(Equal(1))
	})

	It("closes an idle connection when a probe gets no response", func() {
		var silent atomic.Bool
		held := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if silent.Load() && r.URL.Path == dialer.HealthPath {
				<-held
			}
		}))
		DeferCleanup(server.Close)
		DeferCleanup(func() { close(held) })
		address := server.Listener.Addr().String()
		d := start(dialer.Options{StallTimeout: 40 * time.Millisecond})
		read(d.Send(backend(address), request("GET", address, "")))
		Consistently(func() int { return d.OpenConnections("w") }, "100ms").Should(Equal(1))
		silent.Store(true)
		Eventually(func() int { return d.OpenConnections("w") }).Should(BeZero())
	})

	It("does not count a pause in the caller's request body as a stall", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }))
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		d := start(dialer.Options{StallTimeout: 30 * time.Millisecond})
		in, out := io.Pipe()
		r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/", in)
		go func() {
			out.Write([]byte("tower "))
			time.Sleep(100 * time.Millisecond)
			out.Write([]byte("night"))
			out.Close()
		}()
		Expect(read(d.Send(backend(address), r))).To(Equal("tower night"))
	})
})
