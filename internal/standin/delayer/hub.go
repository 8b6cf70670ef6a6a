package delayer

import (
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Hub holds named links and their relays, and serves an HTTP interface to make and
// cut them.
type Hub struct {
	Address string        // ip:port
	Done    chan struct{} // closed once the hub and its relays have ended

	server *listener.Listener

	mu     sync.Mutex
	links  map[string]*Link // links by name
	relays []*Relay
}

type linkRequest struct {
	Name  string        `json:"name"`
	Delay time.Duration `json:"delay"` // one-way delay
	Rate  float64       `json:"rate"`  // bytes per second each way; 0 is unlimited
}

type relayRequest struct {
	Link    string `json:"link"`
	Target  string `json:"target"`  // ip:port
	Reverse bool   `json:"reverse"` // see Hub.Relay
}

type relayResponse struct {
	Address string `json:"address"`
}

type cutRequest struct {
	Link string `json:"link"`
	How  string `json:"how"` // name of the cut mode: none, drop or blackhole
}

type bytesResponse struct {
	Up   int64 `json:"up"`
	Down int64 `json:"down"`
}

// NewHub serves a hub without links on address.
func NewHub(address string) (*Hub, error) {
	h := &Hub{links: make(map[string]*Link), Done: make(chan struct{})}
	m := http.NewServeMux()
	m.Handle("POST /v1/link", listener.Handle(func(_ *http.Request, in linkRequest) (struct{}, error) {
		h.Link(in.Name, in.Delay, in.Rate)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/relay", listener.Handle(func(_ *http.Request, in relayRequest) (relayResponse, error) {
		address, err := h.Relay(in.Link, in.Target, in.Reverse)
		return relayResponse{address}, err
	}))
	m.Handle("POST /v1/cut", listener.Handle(func(_ *http.Request, in cutRequest) (struct{}, error) {
		return struct{}{}, h.Cut(in.Link, in.How)
	}))
	m.Handle("GET /v1/bytes", listener.Handle(func(*http.Request, struct{}) (map[string]bytesResponse, error) {
		return h.bytesByLink(), nil
	}))
	server, err := listener.New(address, m)
	if err != nil {
		return nil, err
	}
	h.server, h.Address = server, server.Address
	return h, nil
}

// Close ends the HTTP interface and all relays.
func (h *Hub) Close() error {
	err := h.server.Close()
	h.mu.Lock()
	relays := h.relays
	h.mu.Unlock()
	for _, r := range relays {
		_ = r.Close()
	}
	close(h.Done)
	return err
}

// Link returns the link of that name, which it makes if there is none. The rate is
// in bytes per second; 0 is unlimited.
func (h *Hub) Link(name string, delay time.Duration, rate float64) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[name] == nil {
		h.links[name] = NewLink(delay, rate)
	}
	return h.links[name]
}

// Relay makes a relay over a link to target and returns its address. The target is
// at the far end of the link or, if reverse is set, at the near end.
func (h *Hub) Relay(link, target string, reverse bool) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.links[link]
	if l == nil {
		return "", unknownLink(link)
	}
	if reverse {
		l = l.Reverse()
	}
	r, err := New("127.0.0.1:0", target, l)
	if err != nil {
		return "", err
	}
	h.relays = append(h.relays, r)
	return r.Address, nil
}

// Cut cuts a link in the mode named by how: none, drop or blackhole.
func (h *Hub) Cut(link, how string) error {
	h.mu.Lock()
	l := h.links[link]
	h.mu.Unlock()
	if l == nil {
		return unknownLink(link)
	}
	for _, mode := range []CutMode{None, Drop, Blackhole} {
		if mode.String() == how {
			l.Cut(mode)
			return nil
		}
	}
	return listener.NewRefusal(http.StatusBadRequest, "malformed", "how must be none, drop or blackhole")
}

// bytesByLink returns the bytes of each link, see Link.Bytes.
func (h *Hub) bytesByLink() map[string]bytesResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]bytesResponse)
	for name, l := range h.links {
		up, down := l.Bytes()
		out[name] = bytesResponse{up, down}
	}
	return out
}

// unknownLink returns the refusal of a request that names a link that doesn't exist.
func unknownLink(link string) error {
	return listener.NewRefusal(http.StatusNotFound, "unknown", "no link "+link)
}
