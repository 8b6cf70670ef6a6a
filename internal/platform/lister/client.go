package lister

import (
	"context"
	"net/http"
	"sync/atomic"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/sender"
)

// Client implements HostList over HTTP. It is safe for concurrent use.
type Client struct {
	Calls  atomic.Int64 // number of calls made so far
	sender *sender.Sender
}

var _ HostList = (*Client)(nil)

// New returns a client of the host list at baseURL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{sender: sender.New("lister", baseURL, client)}
}

// Hosts implements HostList. Errors are *classifier.Error values.
func (c *Client) Hosts(ctx context.Context) ([]describer.Host, error) {
	c.Calls.Add(1)
	var out []describer.Host
	err := c.sender.Get(ctx, "/v1/hosts", &out)
	return out, err
}
