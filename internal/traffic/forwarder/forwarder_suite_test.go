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

// testHost is an entry host with its backend servers.
type testHost struct {
	options  forwarder.Options
	table    atomic.Pointer[describer.RoutingTable]
	claimer  forwarder.Claimer
	front    *httptest.Server // serves entry to callers
	entry    *forwarder.Forwarder
	backends []describer.Backend
}

// add starts a backend server.
func (h *testHost) add(handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	h.addAddress(server.Listener.Addr().String())
	return server
}

func (h *testHost) addAddress(address string) {
	h.backends = append(h.backends, describer.Backend{
		Worker: "w" + string(rune('a'+len(h.backends))), Address: address,
		Domain: "d", Region: "r", Slots: 8, Connections: 64,
	})
}

func (h *testHost) start() {
	h.publish()
	h.options.Name, h.options.Domain, h.options.Region = "entry", "d", "r"
	teams := []describer.Team{{Name: "minara", Weight: 1}, {Name: "council", Weight: 1}}
	h.entry = forwarder.New(h.options, h.table.Load, func() []describer.Team { return teams }, h.claimer, nil, zerolog.Nop())
	h.front = httptest.NewServer(h.entry)
	DeferCleanup(func() {
		h.front.CloseClientConnections()
		h.front.Close()
		h.entry.Close()
	})
}

// publish applies a routing table with the current backend servers.
func (h *testHost) publish() {
	h.table.Store(&describer.RoutingTable{Ready: true, Services: map[string][]describer.Backend{"desk": h.backends}})
}

func (h *testHost) do(method, path, body string, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, h.front.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set(forwarder.TenantHeader, "minara")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(r)
}

// failure is the JSON body of an error response.
type failure struct{ Code, Message, Field, Verdict, Retry string }

// failure sends a request and decodes the error response.
func (h *testHost) failure(method, path, body string, headers ...string) (int, failure) {
	response, err := h.do(method, path, body, headers...)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var out failure
	Expect(json.NewDecoder(response.Body).Decode(&out)).To(Succeed())
	Expect(response.Header.Get(forwarder.VerdictHeader)).To(Equal(out.Verdict))
	return response.StatusCode, out
}

// text returns the body of the response.
func text(response *http.Response, err error) string {
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// stallTimeout returns settings with this limit for connections without progress.
func stallTimeout(d time.Duration) parser.Traffic {
	return parser.Traffic{StallTimeout: parser.Duration(d)}
}
