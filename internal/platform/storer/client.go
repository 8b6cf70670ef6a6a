package storer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dotterelcart.dev/dotterelcart/internal/platform/sender"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// Client implements Store over HTTP. It is safe for concurrent use.
type Client struct {
	Counts Counts
	sender *sender.Sender
}

// Counts are the numbers of calls made so far, by method.
type Counts struct {
	Get, List, Swap, Delete, Grant, Renew, Revoke, Watch atomic.Int64
	Waiting                                              atomic.Int64 // watches in progress now
}

var _ Store = (*Client)(nil)

// New returns a client of the store at baseURL. The Timeout of client must be 0 or
// longer than the longest watch. Calls end with their contexts.
func New(baseURL string, client *http.Client) *Client {
	s := sender.New("storer", baseURL, client)
	s.ErrorsByCode = map[string]error{
		"not-found": ErrNotFound,
		"conflict":  ErrConflict,
		"no-lease":  ErrNoLease,
	}
	return &Client{sender: s}
}

// keyMessage is the request of the calls on one key, and the answer to swap. Revision
// is the expected one in a request, and the new one in an answer.
type keyMessage struct {
	Key      string `json:"key,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
}

// prefixRequest is the request of list and watch.
type prefixRequest struct {
	Prefix   string        `json:"prefix"`
	Revision int64         `json:"revision,omitempty"`
	Wait     time.Duration `json:"wait,omitempty"`
}

// itemList is the answer to list and watch.
type itemList struct {
	Items    []Item `json:"items"`
	Revision int64  `json:"revision"`
}

// leaseMessage is the request of the calls on a lease, and the answer to grant.
type leaseMessage struct {
	Lease int64         `json:"lease,omitempty"`
	TTL   time.Duration `json:"ttl,omitempty"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	c.Counts.Get.Add(1)
	var out Item
	err := c.sender.Post(ctx, "/v1/get", keyMessage{Key: key}, &out)
	return out, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	c.Counts.List.Add(1)
	var out itemList
	err := c.sender.Post(ctx, "/v1/list", prefixRequest{Prefix: prefix}, &out)
	return out.Items, out.Revision, err
}

// Swap implements Store. It refuses a value larger than MaxValueSize without a call.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected, lease int64) (int64, error) {
	if len(value) > MaxValueSize {
		return 0, &classifier.Error{
			Verdict: classifier.NotRun, Status: http.StatusRequestEntityTooLarge,
			Code: "too-large", Message: "storer: value is over 1 MB", Field: "value",
		}
	}
	c.Counts.Swap.Add(1)
	var out keyMessage
	err := c.sender.Post(ctx, "/v1/swap", keyMessage{Key: key, Value: value, Revision: expected, Lease: lease}, &out)
	return out.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	c.Counts.Delete.Add(1)
	return c.sender.Post(ctx, "/v1/delete", keyMessage{Key: key, Revision: expected}, nil)
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	c.Counts.Grant.Add(1)
	var out leaseMessage
	err := c.sender.Post(ctx, "/v1/grant", leaseMessage{TTL: ttl}, &out)
	return out.Lease, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease int64) error {
	c.Counts.Renew.Add(1)
	return c.sender.Post(ctx, "/v1/renew", leaseMessage{Lease: lease}, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	c.Counts.Revoke.Add(1)
	return c.sender.Post(ctx, "/v1/revoke", leaseMessage{Lease: lease}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]Item, int64, error) {
	c.Counts.Watch.Add(1)
	c.Counts.Waiting.Add(1)
	defer c.Counts.Waiting.Add(-1)
	var out itemList
	err := c.sender.Post(ctx, "/v1/watch", prefixRequest{Prefix: prefix, Revision: revision, Wait: wait}, &out)
	return out.Items, out.Revision, err
}
