package delayer

import (
	"net/http"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/listener"
)

// Hub holds named links with their relays, and makes and cuts them over HTTP.
type Hub struct {
	Address string        // ip:port
	Done    chan struct{} // closed when it has ended

	server *listener.Listener

	mu     sync.Mutex
	links  map[string]*Link
	relays []*Relay
}

type linkRequest struct {
	Name  string        `json:"name"`
	Delay time.Duration `json:"delay"` // one way
	Rate  float64       `json:"rate"`  // bytes a second each way, 0 is unlimited
}

type relayRequest struct {
	Link    string `json:"link"`
	Target  string `json:"target"`  // ip:port
	Reverse bool   `json:"reverse"` // the target is at the other end of the link
}

type relayAnswer struct {
	Address string `json:"address"`
}

type cutRequest struct {
	Link string `json:"link"`
	How  string `json:"how"` // none, drop or blackhole
}

type bytesAnswer struct {
	Up   int64 `json:"up"`
	Down int64 `json:"down"`
}

// NewHub serves an empty hub on address.
func NewHub(address string) (*Hub, error) {
	h := &Hub{links: make(map[string]*Link), Done: make(chan struct{})}
	m := http.NewServeMux()
	m.Handle("POST /v1/link", listener.Handle(func(_ *http.Request, in linkRequest) (struct{}, error) {
		h.Link(in.Name, in.Delay, in.Rate)
		return struct{}{}, nil
	}))
	m.Handle("POST /v1/relay", listener.Handle(func(_ *http.Request, in relayRequest) (relayAnswer, error) {
		address, err := h.Relay(in.Link, in.Target, in.Reverse)
		return relayAnswer{address}, err
	}))
	m.Handle("POST /v1/cut", listener.Handle(func(_ *http.Request, in cutRequest) (struct{}, error) {
		return struct{}{}, h.Cut(in.Link, in.How)
	}))
	m.Handle("GET /v1/bytes", listener.Handle(func(*http.Request, struct{}) (map[string]bytesAnswer, error) {
		return h.bytes(), nil
	}))
	server, err := listener.New(address, m)
	if err != nil {
		return nil, err
	}
	h.server, h.Address = server, server.Address
	return h, nil
}

// Close ends the hub and its relays.
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

// Link makes a link, or returns the one of that name.
func (h *Hub) Link(name string, delay time.Duration, rate float64) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[name] == nil {
		h.links[name] = NewLink(delay, rate)
	}
	return h.links[name]
}

// Relay makes a relay over a link to target and returns its address. With
// reverse, the target is at the end that the link's other relays start from.
func (h *Hub) Relay(link, target string, reverse bool) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.links[link]
	if l == nil {
		return "", unknown(link)
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

// Cut cuts a link in the way named how: none, drop or blackhole.
func (h *Hub) Cut(link, how string) error {
	h.mu.Lock()
	l := h.links[link]
	h.mu.Unlock()
	if l == nil {
		return unknown(link)
	}
	for _, c := range []CutMode{None, Drop, Blackhole} {
		if c.String() == how {
			l.Cut(c)
			return nil
		}
	}
	return listener.NewRefusal(http.StatusBadRequest, "malformed", "how must be none, drop or blackhole")
}

func (h *Hub) bytes() map[string]bytesAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]bytesAnswer)
	for name, l := range h.links {
		up, down := l.Bytes()
		out[name] = bytesAnswer{up, down}
	}
	return out
}

func unknown(link string) error {
	return listener.NewRefusal(http.StatusNotFound, "unknown", "no link "+link)
}
