package runner

import (
	"context"
	"net/http"
	"sync/atomic"

	"dotterelcart.dev/dotterelcart/internal/platform/sender"
)

// Client is the Worker interface over HTTP.
type Client struct {
	Counts Counts
	sender *sender.Sender
}

// Counts are the calls made so far, by kind.
type Counts struct {
	Start, Stop, Throttle, Sync atomic.Int64
}

var _ Worker = (*Client)(nil)

// New makes a client of all workers.
func New(client *http.Client) *Client {
	s := sender.New("runner", "", client)
	s.ErrorsByCode = map[string]error{"fenced": ErrFenced, "full": ErrFull}
	return &Client{sender: s}
}

// Start implements Worker.
func (c *Client) Start(ctx context.Context, address string, s StartRequest) error {
	c.Counts.Start.Add(1)
	return c.sender.Post(ctx, "http://"+address+"/v1/start", s, nil)
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, address string, s StopRequest) (StopResult, error) {
	c.Counts.Stop.Add(1)
	var out StopResult
	err := c.sender.Post(ctx, "http://"+address+"/v1/stop", s, &out)
	return out, err
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, address string, t ThrottleRequest) error {
	c.Counts.Throttle.Add(1)
	return c.sender.Post(ctx, "http://"+address+"/v1/throttle", t, nil)
}

// Sync implements Worker.
func (c *Client) Sync(ctx context.Context, address string, s SyncRequest) (SyncResult, error) {
	c.Counts.Sync.Add(1)
	var out SyncResult
	err := c.sender.Post(ctx, "http://"+address+"/v1/sync", s, &out)
	return out, err
}
