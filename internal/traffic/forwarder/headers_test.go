package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// FuzzHeaders checks that an accepted request has valid values, and that a
// refusal names a field and has verdict NotRun.
func FuzzHeaders(f *testing.F) {
	f.Add("POST", "/svc/desk/nights", "minara", "hold", "1500ms", "true", "7f3a")
	f.Add("GET", "/svc/desk/..%2f", "minara", "", "", "", "")
	f.Add("PUT", "/svc//x", "minara", "a b", "-1s", "maybe", "")
	teams := []describer.Team{{Name: "minara"}}
	table := &describer.RoutingTable{Ready: true, Services: map[string][]describer.Backend{"desk": nil}}
	forwarder := New(Options{}, func() *describer.RoutingTable { return table }, func() []describer.Team { return teams }, nil, nil, zerolog.Nop())
	f.Cleanup(func() { forwarder.Close() })
	f.Fuzz(func(t *testing.T, method, path, tenant, class, deadline, idempotent, key string) {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Method = method
		r.URL.Path, r.URL.RawPath = path, ""
		r.Header = http.Header{
			TenantHeader: {tenant}, ClassHeader: {class}, DeadlineHeader: {deadline},
			IdempotentHeader: {idempotent}, KeyHeader: {key},
		}
		c, err := forwarder.parseRequest(r)
		if err != nil {
			e := asError(err)
			if e.Verdict != classifier.NotRun || e.Field == "" || e.Status < 400 {
				t.Fatalf("refusal %+v", e)
			}
			return
		}
		if c.service != "desk" || c.tenant != "minara" || !isName(c.class) || c.path == "" {
			t.Fatalf("accepted %+v", c)
		}
		if c.timeout <= 0 || c.timeout > maxDeadline || c.timeout > time.Hour {
			t.Fatalf("deadline %s", c.timeout)
		}
		if c.key != "" && c.idempotent {
			t.Fatal("a request with a key must not be repeated")
		}
	})
}
