package forwarder_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/traffic/forwarder"
)

func TestForwarder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forwarder")
}

// bench is an entry host with backend servers behind it.
type bench struct {
	options  forwarder.Options
	table    atomic.Pointer[describer.RoutingTable]
	claimer  forwarder.Claimer
	front    *httptest.Server
	entry    *forwarder.Forwarder
	backends []describer.Backend
}

func (b *bench) add(handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	b.addAddress(server.Listener.Addr().String())
	return server
}

func (b *bench) addAddress(address string) {
	b.backends = append(b.backends, describer.Backend{
		Worker: "w" + string(rune('a'+len(b.backends))), Address: address,
		Domain: "d", Region: "r", Slots: 8, Connections: 64,
	})
}

func (b *bench) start() {
	b.publish()
	b.options.Name, b.options.Domain, b.options.Region = "entry", "d", "r"
	teams := []describer.Team{{Name: "minara", Weight: 1}, {Name: "council", Weight: 1}}
	b.entry = forwarder.New(b.options, b.table.Load, func() []describer.Team { return teams }, b.claimer, nil, zerolog.Nop())
	b.front = httptest.NewServer(b.entry)
	DeferCleanup(func() {
		b.front.CloseClientConnections()
		b.front.Close()
		b.entry.Close()
	})
}

func (b *bench) publish() {
	b.table.Store(&describer.RoutingTable{Ready: true, Services: map[string][]describer.Backend{"desk": b.backends}})
}

func (b *bench) do(method, path, body string, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, b.front.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set(forwarder.TenantHeader, "minara")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(r)
}

type failure struct{ Code, Message, Field, Verdict, Retry string }

func (b *bench) failure(method, path, body string, headers ...string) (int, failure) {
	answer, err := b.do(method, path, body, headers...)
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	var out failure
	Expect(json.NewDecoder(answer.Body).Decode(&out)).To(Succeed())
	Expect(answer.Header.Get(forwarder.VerdictHeader)).To(Equal(out.Verdict))
	return answer.StatusCode, out
}

func text(answer *http.Response, err error) string {
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func silence(d time.Duration) parser.Traffic { return parser.Traffic{StallTimeout: parser.Duration(d)} }
