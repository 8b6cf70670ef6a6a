package forwarder_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/traffic/forwarder"
)

// sharedClaims is a Claimer that several entry hosts use.
type sharedClaims struct {
	lock      sync.Mutex
	owners    map[string]string
	loseReply bool // the next claim is recorded, but its reply is lost
}

func (l *sharedClaims) Claim(_ context.Context, key, owner string) (bool, string, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if first, ok := l.owners[key]; ok {
		return false, first, nil
	}
	if l.owners == nil {
		l.owners = make(map[string]string)
	}
	l.owners[key] = owner
	if l.loseReply {
		l.loseReply = false
		return false, "", errors.New("reply lost")
	}
	return true, owner, nil
}

var _ = Describe("Idempotency key", func() {
	var (
		shared *sharedClaims
		runs   atomic.Int64
		one    *testHost
		two    *testHost
	)
	start := func(handler http.HandlerFunc) {
		shared = new(sharedClaims)
		runs.Store(0)
		one, two = &testHost{claimer: shared}, &testHost{claimer: shared}
		one.add(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodHead {
				return
			}
			runs.Add(1)
			handler(w, r)
		})
		two.backends = one.backends
		one.start()
		two.start()
	}
	key := []string{forwarder.KeyHeader, "7f3a"}

	It("answers a repetition at the same entry host with the saved response", func() {
		start(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("held")) })
		Expect(text(one.do("POST", "/svc/desk/", "hold", key...))).To(Equal("held"))
		Expect(text(one.do("POST", "/svc/desk/", "hold", key...))).To(Equal("held"))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("refuses a repetition through another entry host", func() {
		start(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("held")) })
		Expect(text(one.do("POST", "/svc/desk/", "hold", key...))).To(Equal("held"))
		status, f := two.failure("POST", "/svc/desk/", "hold", key...)
		Expect(status).To(Equal(http.StatusConflict))
		Expect(f.Code).To(Equal("repeated"))
		Expect(f.Verdict).To(Equal("may-have-run"))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("runs once when the first entry host is closed with the request in flight", func() {
		arrived, proceed := make(chan struct{}), make(chan struct{})
		start(func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-proceed
			w.Write([]byte("held"))
		})
		DeferCleanup(func() { close(proceed) })
		failed := make(chan error)
		go func() {
			_, err := one.do("POST", "/svc/desk/", "hold", key...)
			failed <- err
		}()
		<-arrived
		one.front.CloseClientConnections()
		Expect(<-failed).To(HaveOccurred())
		status, _ := two.failure("POST", "/svc/desk/", "hold", key...)
		Expect(status).To(Equal(http.StatusConflict))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("sends nothing when the key cannot be recorded, and accepts a repetition at the same entry host", func() {
		start(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("held")) })
		shared.loseReply = true
		status, f := one.failure("POST", "/svc/desk/", "hold", key...)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.Verdict).To(Equal("not-run"))
		Expect(f.Retry).NotTo(BeEmpty())
		Expect(runs.Load()).To(BeZero())
		Expect(text(one.do("POST", "/svc/desk/", "hold", key...))).To(Equal("held"))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("does not send the request again after a truncated response", func() {
		start(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, f := one.failure("POST", "/svc/desk/", "hold", key...)
		Expect(f.Verdict).To(Equal("may-have-run"))
		status, _ := one.failure("POST", "/svc/desk/", "hold", key...)
		Expect(status).To(Equal(http.StatusConflict))
		Expect(runs.Load()).To(Equal(int64(1)))
	})
})
