package storer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/sender"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Client is the Store over HTTP.
type Client struct {
	Counts Counts
	sender *sender.Sender
}

// Counts are the calls made so far, by kind.
type Counts struct {
	Get, List, Swap, Delete, Grant, Renew, Revoke, Watch atomic.Int64
	Waiting                                              atomic.Int64 // watches waiting now
}

var _ Store = (*Client)(nil)

// New makes a client of the store at baseURL. The http.Client's own timeout
// must be 0 or longer than the longest watch; calls end by their context.
func New(baseURL string, client *http.Client) *Client {
	s := sender.New("storer", baseURL, client)
	s.ErrorsByCode = map[string]error{
		"not-found": ErrNotFound,
		"conflict":  ErrConflict,
		"no-lease":  ErrNoLease,
	}
	return &Client{sender: s}
}

type keyed struct {
	Key      string `json:"key,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
}

type ranged struct {
	Prefix   string        `json:"prefix"`
	Revision int64         `json:"revision,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"`
}

type items struct {
	Items    []Item `json:"items"`
	Revision int64  `json:"revision"`
}

type leased struct {
	Lease int64         `json:"lease,omitempty"`
	TTL   time.Duration `json:"ttl,omitempty"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	c.Counts.Get.Add(1)
	var out Item
	err := c.sender.Post(ctx, "/v1/get", keyed{Key: key}, &out)
	return out, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	c.Counts.List.Add(1)
	var out items
	err := c.sender.Post(ctx, "/v1/list", ranged{Prefix: prefix}, &out)
	return out.Items, out.Revision, err
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error) {
	if len(value) > MaxValueSize {
		return 0, &classifier.Error{
			Verdict: classifier.NotRun, Status: http.StatusRequestEntityTooLarge,
			Code: "too-large", Message: "storer: value is over 1 MB", Field: "value",
		}
	}
	c.Counts.Swap.Add(1)
	var out keyed
	err := c.sender.Post(ctx, "/v1/swap", keyed{Key: key, Value: value, Revision: expected, Lease: lease}, &out)
	return out.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	c.Counts.Delete.Add(1)
	return c.sender.Post(ctx, "/v1/delete", keyed{Key: key, Revision: expected}, nil)
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	c.Counts.Grant.Add(1)
	var out leased
	err := c.sender.Post(ctx, "/v1/grant", leased{TTL: ttl}, &out)
	return out.Lease, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease int64) error {
	c.Counts.Renew.Add(1)
	return c.sender.Post(ctx, "/v1/renew", leased{Lease: lease}, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	c.Counts.Revoke.Add(1)
	return c.sender.Post(ctx, "/v1/revoke", leased{Lease: lease}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]Item, int64, error) {
	c.Counts.Watch.Add(1)
	c.Counts.Waiting.Add(1)
	defer c.Counts.Waiting.Add(-1)
	var out items
	err := c.sender.Post(ctx, "/v1/watch", ranged{Prefix: prefix, Revision: revision, Wait: wait}, &out)
	return out.Items, out.Revision, err
}
