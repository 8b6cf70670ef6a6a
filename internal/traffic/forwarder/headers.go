package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/dialer"
)

// Headers of requests and responses.
const (
	TenantHeader     = "Dotterel-Tenant"
	ClassHeader      = "Dotterel-Class"
	DeadlineHeader   = "Dotterel-Deadline"
	IdempotentHeader = "Dotterel-Idempotent"
	KeyHeader        = "Idempotency-Key"
	VerdictHeader    = dialer.VerdictHeader
)

// PathPrefix starts the path of every request to a service.
const PathPrefix = "/svc/"

const (
	maxNameLength = 64  // bytes, for tenants, classes and services
	maxKeyLength  = 256 // bytes
	maxDeadline   = time.Hour
	defaultClass  = "default"
)

// call is a caller's request with the values of its headers.
type call struct {
	service          string
	path             string // escaped path for the backend server
	tenant           string
	class            string
	weight           int           // weight of the tenant, 0 until the tenant is known
	timeout          time.Duration // from the header, or the default
	deadline         time.Time
	key              string // idempotency key; answerRepeat prefixes it with tenant and service
	owner            string // names this request when it claims the key
	claimed          bool   // the Claimer has recorded the key for this entry host
	idempotent       bool   // may be sent more than once
	body             *requestBody
	request          *http.Request
	retries          int
	broken           atomic.Int32  // backend servers that have broken off while they may have run it
	queueTime        time.Duration // sum over all attempts
	crossRegionBytes int64         // size of request and response bodies
}

// parseRequest reads and validates the request. Errors name the offending field
// and have verdict NotRun; the call is valid as far as it was read.
func (f *Forwarder) parseRequest(r *http.Request) (*call, error) {
	c := &call{request: r}
	for _, step := range []func(*http.Request) error{
		c.parseMethod, c.parsePath, c.parseTenant, c.parseClass, c.parseDeadline, c.parseIdempotence,
	} {
		if err := step(r); err != nil {
			return c, err
		}
	}
	return c, f.validate(c)
}

// validate checks the call against settings and routing table, and fills in its
// weight, default deadline and class.
func (f *Forwarder) validate(c *call) error {
	weight, ok := f.weights.lookup(f.teams(), c.tenant)
	if !ok {
		return invalidField(http.StatusForbidden, "tenant", TenantHeader, "unknown tenant")
	}
	c.weight = weight
	table := f.table()
	if table == nil || !table.Ready && !table.Stopping {
		return errStarting
	}
	if _, err := table.Backends(c.service); err != nil {
		return invalidField(http.StatusNotFound, "service", "path", "unknown service")
	}
	if c.timeout == 0 {
		c.timeout = time.Duration(f.Options.Traffic.DefaultDeadline)
	}
	if c.request.ContentLength > f.Options.Traffic.MaxBody {
		return invalidField(http.StatusRequestEntityTooLarge, "body", "Content-Length", "the body is too large")
	}
	c.class = f.metrics.boundedClass(c.tenant, c.class)
	return nil
}

// parseMethod checks the method and notes whether it is idempotent.
func (c *call) parseMethod(r *http.Request) error {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		c.idempotent = true
	case http.MethodPost, http.MethodPatch:
	default:
		return invalidField(http.StatusMethodNotAllowed, "method", "method", "the method is not supported")
	}
	if r.Header.Get("Upgrade") != "" {
		return invalidField(http.StatusNotImplemented, "upgrade", "Upgrade", "protocol upgrades are not supported")
	}
	return nil
}

// parsePath splits the path into the service and the path for the backend server.
func (c *call) parsePath(r *http.Request) error {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), PathPrefix)
	if !ok {
		return invalidField(http.StatusNotFound, "path", "path", "the path must begin with "+PathPrefix)
	}
	service, path, _ := strings.Cut(rest, "/")
	if !isName(service) {
		return invalidField(http.StatusNotFound, "service", "path", "the path must be "+PathPrefix+"<service>/<rest>")
	}
	c.service = service
	c.path = "/" + path
	return nil
}

func (c *call) parseTenant(r *http.Request) error {
	value, err := singleValue(r.Header, TenantHeader)
	if err != nil {
		return err
	}
	if !isName(value) {
		return invalidField(http.StatusBadRequest, "tenant", TenantHeader, "a tenant must be named")
	}
	c.tenant = value
	return nil
}

func (c *call) parseClass(r *http.Request) error {
	value, err := singleValue(r.Header, ClassHeader)
	if err != nil {
		return err
	}
	if value == "" {
		value = defaultClass
	}
	if !isName(value) {
		return invalidField(http.StatusBadRequest, "class", ClassHeader, "a class is letters, digits, dots, hyphens and underscores")
	}
	c.class = value
	return nil
}

// parseDeadline reads the time limit; without the header it stays 0.
func (c *call) parseDeadline(r *http.Request) error {
	value, err := singleValue(r.Header, DeadlineHeader)
	if err != nil || value == "" {
		return err
	}
	d, parseErr := time.ParseDuration(value)
	if parseErr != nil || d <= 0 || d > maxDeadline {
		return invalidField(http.StatusBadRequest, "deadline", DeadlineHeader, "a deadline is text such as 1500ms, above 0 and at most 1h")
	}
	c.timeout = d
	return nil
}

// parseIdempotence reads the headers that say how often the request may be sent. A
// key counts only for POST and PATCH, and makes the request non-idempotent: it is
// sent at most once.
func (c *call) parseIdempotence(r *http.Request) error {
	value, err := singleValue(r.Header, IdempotentHeader)
	if err != nil {
		return err
	}
	switch value {
	case "", "false":
	case "true":
		c.idempotent = true
	default:
		return invalidField(http.StatusBadRequest, "idempotent", IdempotentHeader, "must be true or false")
	}
	key, err := singleValue(r.Header, KeyHeader)
	if err != nil {
		return err
	}
	if len(key) > maxKeyLength {
		return invalidField(http.StatusBadRequest, "key", KeyHeader, "the key is too long")
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPatch {
		c.key = key
	}
	if c.key != "" {
		c.idempotent = false
	}
	return nil
}

// singleValue returns the value of a header that may appear once. Two values
// could be read differently by this host and by the backend server.
func singleValue(h http.Header, name string) (string, error) {
	values := h[textproto.CanonicalMIMEHeaderKey(name)]
	if len(values) > 1 {
		return "", invalidField(http.StatusBadRequest, "header", name, "the header must appear once")
	}
	if len(values) == 0 {
		return "", nil
	}
	return strings.TrimSpace(values[0]), nil
}

// isName reports whether s is a valid name of a tenant, class or service.
func isName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		isOther := '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.'
		if !isLetter && !isOther {
			return false
		}
	}
	return true
}

// invalidField returns the error for an invalid request: nothing has run.
func invalidField(status int, code, field, message string) error {
	return &classifier.Error{Verdict: classifier.NotRun, Status: status, Code: code, Field: field, Message: message}
}

// hopByHopHeaders belong to one connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEndHeaders copies the headers of src to dst, except hop-by-hop ones.
func copyEndToEndHeaders(dst, src http.Header) {
	named := make(map[string]bool)
	for _, value := range src["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !named[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
	for _, name := range hopByHopHeaders {
		delete(dst, name)
	}
}
