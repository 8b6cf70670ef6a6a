package sender_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/platform/sender"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

var errTaken = errors.New("taken")

var _ = Describe("Sender", func() {
	ctx := context.Background()
	// send returns the verdict of a call that handler answers.
	send := func(handler http.HandlerFunc) error {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		s := sender.New("test", server.URL, server.Client())
		s.ErrorsByCode = map[string]error{"taken": errTaken}
		var out map[string]string
		return s.Post(ctx, "/", map[string]string{"a": "b"}, &out)
	}
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}

	It("says not run without a connection", func() {
		s := sender.New("test", "http://127.0.0.1:1", http.DefaultClient)
		Expect(classifier.VerdictOf(s.Post(ctx, "/", nil, nil))).To(Equal(classifier.NotRun))
	})

	It("says not run when the call ended before it began", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		s := sender.New("test", "http://127.0.0.1:1", http.DefaultClient)
		Expect(classifier.VerdictOf(s.Post(ended, "/", nil, nil))).To(Equal(classifier.NotRun))
	})

	It("says may have run when the connection ends without an answer", func() {
		err := send(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
	})

	It("says may have run when the answer is cut", func() {
		err := send(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"a":`))
		})
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
	})

	DescribeTable("believes only a refusal that states its verdict",
		func(status int, body string, verdict classifier.Verdict) {
			Expect(classifier.VerdictOf(send(answer(status, body)))).To(Equal(verdict))
		},
		Entry("stated", 409, `{"code":"taken","verdict":"not-run"}`, classifier.NotRun),
		Entry("stated otherwise", 409, `{"code":"taken","verdict":"ran"}`, classifier.Ran),
		Entry("unstated", 409, `{"code":"taken"}`, classifier.MayHaveRun),
		Entry("not ours", 502, `<html>bad gateway</html>`, classifier.MayHaveRun),
		Entry("success that can't be read", 200, `<html>`, classifier.Ran),
	)

	It("names the error that a code stands for", func() {
		Expect(send(answer(409, `{"code":"taken","verdict":"not-run"}`))).To(MatchError(errTaken))
	})
})
