package lister

import (
	"context"
	"net/http"
	"sync/atomic"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/sender"
)

// Client is the List over HTTP.
type Client struct {
	Calls  atomic.Int64 // made so far
	sender *sender.Sender
}

var _ HostList = (*Client)(nil)

// New makes a client of the host list at baseURL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{sender: sender.New("lister", baseURL, client)}
}

// Hosts implements List.
func (c *Client) Hosts(ctx context.Context) ([]describer.Host, error) {
	c.Calls.Add(1)
	var out []describer.Host
	err := c.sender.Get(ctx, "/v1/hosts", &out)
	return out, err
}
