package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"

	"dotterelcart.dev/dotterelcart/internal/traffic/forwarder"
)

var _ = Describe("Forwarder", func() {
	It("passes request and answer on", func() {
		b := new(bench)
		b.add(func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			w.Header().Set("Trailer", "Sum")
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.WriteHeader(http.StatusCreated)
			fmt.Fprintf(w, "%s %s?%s %s", r.Method, r.URL.EscapedPath(), r.URL.RawQuery, data)
			w.Header().Set("Sum", "7")
		})
		b.start()
		answer, err := b.do("POST", "/svc/desk/tower%2F1/nights?from=2", "hold")
		Expect(text(answer, err)).To(Equal("POST /tower%2F1/nights?from=2 hold"))
		Expect(answer.StatusCode).To(Equal(http.StatusCreated))
		Expect(answer.Header.Get(forwarder.VerdictHeader)).To(Equal("ran"))
		Expect(answer.Header).NotTo(HaveKey("X-Hop"))
		Expect(answer.Trailer.Get("Sum")).To(Equal("7"))
	})

	It("streams both ways without holding the body", func() {
		b := new(bench)
		b.add(func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			Expect(control.EnableFullDuplex()).To(Succeed())
			piece := make([]byte, 4)
			for {
				if _, err := io.ReadFull(r.Body, piece); err != nil {
					return
				}
				w.Write(piece)
				control.Flush()
			}
		})
		b.start()
		in, out := io.Pipe()
		r, _ := http.NewRequest(http.MethodPost, b.front.URL+"/svc/desk/echo", in)
		r.Header.Set(forwarder.TenantHeader, "minara")
		go out.Write([]byte("one "))
		answer, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		piece := make([]byte, 4)
		io.ReadFull(answer.Body, piece)
		Expect(string(piece)).To(Equal("one "))
		go func() { out.Write([]byte("two ")); out.Close() }()
		Expect(text(answer, nil)).To(Equal("two "))
	})

	DescribeTable("names the field of a bad request",
		func(method, path, field string, status int, headers ...string) {
			b := new(bench)
			b.add(func(http.ResponseWriter, *http.Request) { Fail("must not be reached") })
			b.start()
			got, f := b.failure(method, path, "", headers...)
			Expect(got).To(Equal(status))
			Expect(f.Field).To(Equal(field))
			Expect(f.Verdict).To(Equal("not-run"))
		},
		Entry("tenant", "GET", "/svc/desk/", "Dotterel-Tenant", 403, "Dotterel-Tenant", "nobody"),
		Entry("deadline", "GET", "/svc/desk/", "Dotterel-Deadline", 400, "Dotterel-Deadline", "soon"),
		Entry("class", "GET", "/svc/desk/", "Dotterel-Class", 400, "Dotterel-Class", "a b"),
		Entry("method", "PURGE", "/svc/desk/", "method", 405),
		Entry("service", "GET", "/svc/none/", "path", 404),
		Entry("path", "GET", "/other", "path", 404),
		Entry("idempotent", "POST", "/svc/desk/", "Dotterel-Idempotent", 400, "Dotterel-Idempotent", "maybe"),
	)

	It("refuses a body that is too large before it is sent", func() {
		b := new(bench)
		b.options.Traffic.Body = 10
		b.add(func(http.ResponseWriter, *http.Request) { Fail("must not be reached") })
		b.start()
		status, f := b.failure("POST", "/svc/desk/", "more than ten bytes")
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(f.Verdict).To(Equal("not-run"))
	})

	It("aborts the caller's connection when the backend server is killed in mid-answer", func() {
		b := new(bench)
		b.add(func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte("half"))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		b.start()
		answer, err := b.do("GET", "/svc/desk/", "")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).To(HaveOccurred())
	})

	It("tries elsewhere when no byte was sent", func() {
		b := new(bench)
		listener, _ := net.Listen("tcp", "127.0.0.1:0")
		gone := listener.Addr().String()
		listener.Close()
		b.addAddress(gone)
		b.add(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("held")) })
		b.start()
		for range 8 {
			Expect(text(b.do("POST", "/svc/desk/", "hold"))).To(Equal("held"))
		}
	})

	It("does not send a non-idempotent request twice", func() {
		b := new(bench)
		var runs atomic.Int64
		kill := func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		b.add(kill)
		b.add(kill)
		b.start()
		for _, body := range []string{"", "hold"} {
			runs.Store(0)
			status, f := b.failure("POST", "/svc/desk/", body)
			Expect(status).To(Equal(http.StatusBadGateway))
			Expect(f.Verdict).To(Equal("may-have-run"))
			Expect(runs.Load()).To(Equal(int64(1)))
		}
	})

	It("follows an explicit refusal to another backend server", func() {
		b := new(bench)
		b.add(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(forwarder.VerdictHeader, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		b.add(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("held")) })
		b.start()
		for range 4 {
			Expect(text(b.do("POST", "/svc/desk/", "hold"))).To(Equal("held"))
		}
	})

	It("bounds the wait on a silent connection and gives a verdict", func() {
		b := new(bench)
		b.options.Traffic = silence(50 * time.Millisecond)
		listener, _ := net.Listen("tcp", "127.0.0.1:0")
		DeferCleanup(listener.Close)
		b.addAddress(listener.Addr().String())
		b.start()
		status, f := b.failure("POST", "/svc/desk/", "hold")
		Expect(status).To(Equal(http.StatusGatewayTimeout))
		Expect(f.Code).To(Equal("silent"))
		Expect(f.Verdict).To(Equal("may-have-run"))
		Expect(b.entry.Dialer.OpenConnections("wa")).To(BeZero())
	})

	It("replaces a silent connection for an idempotent request", func() {
		b := new(bench)
		b.options.Traffic = silence(50 * time.Millisecond)
		var first atomic.Bool
		held := make(chan struct{})
		b.add(func(w http.ResponseWriter, _ *http.Request) {
			if first.CompareAndSwap(false, true) {
				<-held
			}
			w.Write([]byte("free"))
		})
		DeferCleanup(func() { close(held) })
		b.start()
		Expect(text(b.do("GET", "/svc/desk/", ""))).To(Equal("free"))
	})

	It("serves what still comes after a planned stop has begun", func() {
		b := new(bench)
		b.add(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("served")) })
		b.start()
		table := *b.table.Load()
		table.Ready, table.Stopping = false, true
		b.table.Store(&table)
		Expect(text(b.do("GET", "/svc/desk/", ""))).To(Equal("served"))
	})

	It("refuses while it does not know the configuration", func() {
		b := new(bench)
		b.start()
		b.table.Store(&describer.RoutingTable{})
		status, failure := b.failure("GET", "/svc/desk/", "")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(failure.Code).To(Equal("starting"))
	})

	It("ends a planned stop without cutting a request off", func() {
		b := new(bench)
		arrived, proceed := make(chan struct{}), make(chan struct{})
		b.add(func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-proceed
			w.Write([]byte("whole"))
		})
		b.start()
		got := make(chan string)
		go func() {
			defer GinkgoRecover()
			got <- text(b.do("GET", "/svc/desk/", ""))
		}()
		<-arrived
		drained := make(chan int)
		go func() { drained <- b.entry.Drain(context.Background()) }()
		Eventually(func() string {
			_, f := b.failure("GET", "/svc/desk/", "", "Dotterel-Tenant", "nobody")
			return f.Code
		}).Should(Equal("stopping"))
		Consistently(drained, "20ms").ShouldNot(Receive())
		close(proceed)
		Expect(<-got).To(Equal("whole"))
		Expect(<-drained).To(BeZero())
	})

	It("cuts off and counts what outlasts a planned stop", func() {
		b := new(bench)
		arrived := make(chan struct{})
		b.add(func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
		})
		b.start()
		go func() {
			<-arrived
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			b.entry.Drain(ctx)
		}()
		_, f := b.failure("GET", "/svc/desk/", strings.Repeat(" ", 0))
		Expect(f.Verdict).To(Equal("may-have-run"))
	})
})
