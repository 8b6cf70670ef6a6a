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

var errTaken = errors.New("name is already taken")

var _ = Describe("Sender", func() {
	ctx := context.Background()
	// send returns the error of a call that handler answers.
	send := func(handler http.HandlerFunc) error {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		s := sender.New("test", server.URL, server.Client())
		s.ErrorsByCode = map[string]error{"taken": errTaken}
		var out map[string]string
		return s.Post(ctx, "/", map[string]string{"a": "b"}, &out)
	}
	// respond returns a handler that responds with the given status and body.
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}

	It("returns NotRun without a connection", func() {
		s := sender.New("test", "http://127.0.0.1:1", http.DefaultClient)
		Expect(classifier.VerdictOf(s.Post(ctx, "/", nil, nil))).To(Equal(classifier.NotRun))
	})

	It("returns NotRun when the context has ended before the call", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		s := sender.New("test", "http://127.0.0.1:1", http.DefaultClient)
		Expect(classifier.VerdictOf(s.Post(ended, "/", nil, nil))).To(Equal(classifier.NotRun))
	})

	It("returns MayHaveRun when the connection ends without a response", func() {
		err := send(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
	})

	It("returns MayHaveRun when the response is truncated", func() {
		err := send(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"a":`))
		})
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
	})

	DescribeTable("takes the verdict from the response, and otherwise does not assume NotRun",
		func(status int, body string, verdict classifier.Verdict) {
			Expect(classifier.VerdictOf(send(respond(status, body)))).To(Equal(verdict))
		},
		Entry("not run", 409, `{"code":"taken","verdict":"not-run"}`, classifier.NotRun),
		Entry("ran", 409, `{"code":"taken","verdict":"ran"}`, classifier.Ran),
		Entry("no verdict", 409, `{"code":"taken"}`, classifier.MayHaveRun),
		Entry("response of a proxy", 502, `<html>bad gateway</html>`, classifier.MayHaveRun),
		Entry("success with a malformed body", 200, `<html>`, classifier.Ran),
	)

	It("wraps the error of the code in a refusal", func() {
		Expect(send(respond(409, `{"code":"taken","verdict":"not-run"}`))).To(MatchError(errTaken))
	})
})
