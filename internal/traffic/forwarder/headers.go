package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
	"dotterelcart.dev/dotterelcart/internal/traffic/dialer"
)

// Headers that callers set.
const (
	TenantHeader     = "Dotterel-Tenant"
	ClassHeader      = "Dotterel-Class"
	DeadlineHeader   = "Dotterel-Deadline"
	IdempotentHeader = "Dotterel-Idempotent"
	KeyHeader        = "Idempotency-Key"
	VerdictHeader    = dialer.VerdictHeader
)

// PathPrefix is the path below which services are reached.
const PathPrefix = "/svc/"

const (
	maxName      = 64  // bytes of a tenant or class
	maxKey       = 256 // bytes of an idempotency key
	maxDeadline  = time.Hour
	defaultClass = "default"
)

// call is one request of a caller with what its headers say.
type call struct {
	service    string
	path       string // escaped, for the backend server
	tenant     string
	class      string
	weight     int
	deadline   time.Duration
	ends       time.Time
	key        string
	owner      string // name under which the key is claimed
	claimed    bool
	idempotent bool
	body       *payload
	request    *http.Request
	retries    int
	queued     time.Duration
	afar       int64 // bytes across regions
}

// read checks the request. The failures name the offending field and have
// verdict NotRun.
func (f *Forwarder) read(r *http.Request) (*call, error) {
	c := &call{request: r}
	for _, step := range []func(*http.Request) error{
		c.readMethod, c.readPath, c.readTenant, c.readClass, c.readDeadline, c.readIdempotence,
	} {
		if err := step(r); err != nil {
			return c, err
		}
	}
	return c, f.check(c)
}

// check holds the call against settings and configuration.
func (f *Forwarder) check(c *call) error {
	weight, ok := f.weights.of(f.teams(), c.tenant)
	if !ok {
		return invalid(http.StatusForbidden, "tenant", TenantHeader, "unknown tenant")
	}
	c.weight = weight
	table := f.table()
	if table == nil || !table.Ready && !table.Stopping {
		return errStarting
	}
	if _, err := table.Backends(c.service); err != nil {
		return invalid(http.StatusNotFound, "service", "path", "unknown service")
	}
	if c.deadline == 0 {
		c.deadline = time.Duration(f.Options.Traffic.Deadline)
	}
	if c.request.ContentLength > f.Options.Traffic.Body {
		return invalid(http.StatusRequestEntityTooLarge, "body", "Content-Length", "the body is too large")
	}
	c.class = f.metrics.class(c.tenant, c.class)
	return nil
}

func (c *call) readMethod(r *http.Request) error {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		c.idempotent = true
	case http.MethodPost, http.MethodPatch:
	default:
		return invalid(http.StatusMethodNotAllowed, "method", "method", "the method is not supported")
	}
	if r.Header.Get("Upgrade") != "" {
		return invalid(http.StatusNotImplemented, "upgrade", "Upgrade", "protocol upgrades are not supported")
	}
	return nil
}

func (c *call) readPath(r *http.Request) error {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), PathPrefix)
	if !ok {
		return invalid(http.StatusNotFound, "path", "path", "the path must begin with "+PathPrefix)
	}
	service, path, _ := strings.Cut(rest, "/")
	if !isName(service) {
		return invalid(http.StatusNotFound, "service", "path", "the path must be "+PathPrefix+"<service>/<rest>")
	}
	c.service = service
	c.path = "/" + path
	return nil
}

func (c *call) readTenant(r *http.Request) error {
	value, err := single(r.Header, TenantHeader)
	if err != nil {
		return err
	}
	if !isName(value) {
		return invalid(http.StatusBadRequest, "tenant", TenantHeader, "a tenant must be named")
	}
	c.tenant = value
	return nil
}

func (c *call) readClass(r *http.Request) error {
	value, err := single(r.Header, ClassHeader)
	if err != nil {
		return err
	}
	if value == "" {
		value = defaultClass
	}
	if !isName(value) {
		return invalid(http.StatusBadRequest, "class", ClassHeader, "a class is letters, digits, dots, hyphens and underscores")
	}
	c.class = value
	return nil
}

func (c *call) readDeadline(r *http.Request) error {
	value, err := single(r.Header, DeadlineHeader)
	if err != nil || value == "" {
		return err
	}
	d, parseErr := time.ParseDuration(value)
	if parseErr != nil || d <= 0 || d > maxDeadline {
		return invalid(http.StatusBadRequest, "deadline", DeadlineHeader, "a deadline is text such as 1500ms, above 0 and at most 1h")
	}
	c.deadline = d
	return nil
}

func (c *call) readIdempotence(r *http.Request) error {
	value, err := single(r.Header, IdempotentHeader)
	if err != nil {
		return err
	}
	switch value {
	case "", "false":
	case "true":
		c.idempotent = true
	default:
		return invalid(http.StatusBadRequest, "idempotent", IdempotentHeader, "must be true or false")
	}
	key, err := single(r.Header, KeyHeader)
	if err != nil {
		return err
	}
	if len(key) > maxKey {
		return invalid(http.StatusBadRequest, "key", KeyHeader, "the key is too long")
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPatch {
		c.key = key
	}
	if c.key != "" {
		c.idempotent = false
	}
	return nil
}

// single returns the value of a header that may appear once. Two values would
// let two readers see different requests.
func single(h http.Header, name string) (string, error) {
	values := h[textproto.CanonicalMIMEHeaderKey(name)]
	if len(values) > 1 {
		return "", invalid(http.StatusBadRequest, "header", name, "the header must appear once")
	}
	if len(values) == 0 {
		return "", nil
	}
	return strings.TrimSpace(values[0]), nil
}

func isName(s string) bool {
	if s == "" || len(s) > maxName {
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

func invalid(status int, code, field, message string) error {
	return &classifier.Error{Verdict: classifier.NotRun, Status: status, Code: code, Field: field, Message: message}
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passHeaders copies the end-to-end headers of src to dst.
func passHeaders(dst, src http.Header) {
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
	for _, name := range hopHeaders {
		delete(dst, name)
	}
}
