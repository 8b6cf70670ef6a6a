package balancer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/standin/balancer"
)

var _ = Describe("Balancer", func() {
	It("forwards to ready entry hosts in turn", func() {
		var down atomic.Bool
		var targets []balancer.Target
		for i := range 2 {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/ready" && i == 0 && down.Load() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				fmt.Fprint(w, i)
			}))
			DeferCleanup(s.Close)
			targets = append(targets, balancer.Target{
				Address: strings.TrimPrefix(s.URL, "http://"), CheckURL: s.URL + "/ready",
			})
		}
		b, err := balancer.New("127.0.0.1:0", targets, 10*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { b.Close() })
		Eventually(b.ReadyCount).Should(Equal(2))
		ask := func() string {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := c.Get("http://" + b.Address)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			return string(body)
		}
		Expect([]string{ask(), ask()}).To(ConsistOf("0", "1"))
		down.Store(true)
		Eventually(b.ReadyCount).Should(Equal(1))
		Expect([]string{ask(), ask()}).To(Equal([]string{"1", "1"}))
	})
})
