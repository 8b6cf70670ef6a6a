package runner

import (
	"context"
	"net/http"
	"sync/atomic"

	"dotterelcart.dev/dotterelcart/internal/platform/sender"
)

// Client implements Worker over HTTP. It is safe for concurrent use.
type Client struct {
	Counts Counts
	sender *sender.Sender
}

// Counts are the numbers of calls made so far, by method.
type Counts struct {
	Start, Stop, Throttle, Sync atomic.Int64
}

var _ Worker = (*Client)(nil)

// New returns a client for all workers.
func New(client *http.Client) *Client {
	s := sender.New("runner", "", client)
	s.ErrorsByCode = map[string]error{"fenced": ErrFenced, "full": ErrFull}
	return &Client{sender: s}
}

// Start implements Worker.
func (c *Client) Start(ctx context.Context, address string, r StartRequest) error {
	c.Counts.Start.Add(1)
	return c.sender.Post(ctx, "http://"+address+"/v1/start", r, nil)
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, address string, r StopRequest) (StopResult, error) {
	c.Counts.Stop.Add(1)
	var out StopResult
	err := c.sender.Post(ctx, "http://"+address+"/v1/stop", r, &out)
	return out, err
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, address string, r ThrottleRequest) error {
	c.Counts.Throttle.Add(1)
	return c.sender.Post(ctx, "http://"+address+"/v1/throttle", r, nil)
}

// Sync implements Worker.
func (c *Client) Sync(ctx context.Context, address string, r SyncRequest) (SyncResult, error) {
	c.Counts.Sync.Add(1)
	var out SyncResult
	err := c.sender.Post(ctx, "http://"+address+"/v1/sync", r, &out)
	return out, err
}
