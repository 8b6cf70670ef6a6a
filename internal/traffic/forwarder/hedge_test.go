package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/forwarder"
)

var _ = Describe("Forwarder under load", func() {
	It("gives each caller its own response when responses are late and out of order", func() {
		h := new(testHost)
		h.options.Traffic.Queue = 200
		for range 4 {
			h.add(func(w http.ResponseWriter, r *http.Request) {
				var n int
				fmt.Sscanf(r.URL.Path, "/%d", &n)
				time.Sleep(time.Duration(n*7%13) * time.Millisecond)
				fmt.Fprintf(w, "answer %d", n)
			})
		}
		h.start()
		var all sync.WaitGroup
		for n := range 100 {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(text(h.do("GET", fmt.Sprintf("/svc/desk/%d", n), ""))).To(Equal(fmt.Sprintf("answer %d", n)))
			})
		}
		all.Wait()
	})

	It("sends an idempotent request that takes long to a second backend server", func() {
		h := new(testHost)
		h.options.HedgeRatio = 1
		var stuck atomic.Int64
		for range 2 {
			h.add(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/stuck" && stuck.Add(1) == 1 {
					<-r.Context().Done()
					return
				}
				w.Write([]byte("whole"))
			})
		}
		h.start()
		for range 64 {
			text(h.do("GET", "/svc/desk/", ""))
		}
		Expect(text(h.do("GET", "/svc/desk/stuck", ""))).To(Equal("whole"))
		Expect(stuck.Load()).To(Equal(int64(2)))
		stuck.Store(0)
		_, f := h.failure("POST", "/svc/desk/stuck", "", forwarder.DeadlineHeader, "100ms")
		Expect(f.Verdict).To(Equal("may-have-run"))
		Expect(stuck.Load()).To(Equal(int64(1)))
	})

	It("uses another region only when its own has no open backend server, within the byte budget", func() {
		h := new(testHost)
		h.options.Traffic.Link = 40 << 10
		name := func(s string) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) { w.Write(append([]byte(s), make([]byte, 30<<10)...)) }
		}
		h.add(name("near"))
		h.add(name("afar"))
		h.backends[1].Region, h.backends[1].Domain = "other", "other"
		h.start()
		for range 8 {
			Expect(text(h.do("GET", "/svc/desk/", ""))).To(HavePrefix("near"))
		}
		h.backends = append([]describer.Backend(nil), h.backends...)
		h.backends[0].Closed = true
		h.publish()
		Expect(text(h.do("GET", "/svc/desk/", ""))).To(HavePrefix("afar"))
		_, f := h.failure("GET", "/svc/desk/", "")
		Expect(f.Code).To(Equal("link"))
		Expect(f.Verdict).To(Equal("not-run"))
		Expect(f.Retry).NotTo(BeEmpty())
	})

	It("refuses a request at once when it would miss its deadline", func() {
		h := new(testHost)
		arrived := make(chan struct{}, 2)
		h.add(func(_ http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			select {
			case <-r.Context().Done():
			case <-time.After(100 * time.Millisecond):
			}
		})
		h.start()
		text(h.do("GET", "/svc/desk/", ""))
		<-arrived
		ctx, cancel := context.WithCancel(context.Background())
		for range 2 {
			go func() {
				r, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.front.URL+"/svc/desk/", nil)
				r.Header.Set(forwarder.TenantHeader, "minara")
				http.DefaultClient.Do(r)
			}()
			<-arrived
		}
		defer cancel()
		_, f := h.failure("POST", "/svc/desk/", "", forwarder.DeadlineHeader, "10ms")
		Expect(f.Code).To(Equal("late"))
		Expect(f.Verdict).To(Equal("not-run"))
		Expect(f.Retry).NotTo(BeEmpty())
	})
})
