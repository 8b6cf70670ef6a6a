package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

const retryPause = 100 * time.Millisecond

// configure sets the first configuration and waits until every domain serves.
func (d *deployment) configure(ctx context.Context) error {
	c := describer.Configuration{
		Services: []describer.Service{{Name: service, Target: 60 * time.Millisecond}},
		Teams: []describer.Team{
			{Name: "owners", Weight: 4},
			{Name: "council", Weight: 2},
			{Name: "tourism", Weight: 1},
		},
		Weights: describer.Weights{Latency: 1, Throughput: 2, Evictions: 1},
	}
	for _, m := range d.domains {
		for rack := range workers / rackSize {
			id := fmt.Sprintf("%s-r%d", m.name, rack+1)
			c.Shards = append(c.Shards, describer.Shard{ID: id, Domain: m.name, Racks: []string{id}})
		}
	}
	err := until(ctx, func() error { return d.operate(ctx, http.MethodPut, "/v1/configuration", c, nil) })
	if err != nil {
		return eris.Wrap(err, "demonstrator: first configuration")
	}
	err = until(ctx, d.probe)
	return eris.Wrap(err, "demonstrator: not all entry hosts became ready")
}

// probe asks every entry host of each domain for one answer.
func (d *deployment) probe() error {
	for _, m := range d.domains {
		if ready := m.balancer.Ready(); ready < len(m.entries) {
			return eris.Errorf("%d of %d entry hosts of %s are ready", ready, len(m.entries), m.name)
		}
		for _, e := range m.entries {
			r, err := http.NewRequest(http.MethodGet, "http://"+e.settings.Listen.Callers+"/svc/"+service+"/", nil)
			if err != nil {
				return err
			}
			r.Header.Set("Dotterel-Tenant", "owners")
			if _, err := send(d.client, r); err != nil {
				return err
			}
		}
	}
	return nil
}

// operate sends a call to the operators' port of the first entry host that
// answers it.
func (d *deployment) operate(ctx context.Context, method, path string, in, out any) error {
	var err error
	for _, m := range d.domains {
		for _, e := range m.entries {
			err = exchange(ctx, d.client, method, "http://"+e.settings.Listen.Operators+path, in, out)
			if err == nil || ctx.Err() != nil {
				return err
			}
		}
	}
	return err
}

// exchange sends JSON and reads JSON.
func exchange(ctx context.Context, c *http.Client, method, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	if in == nil {
		body = nil
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	data, err := send(c, r)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(data, out)
}

// send returns the body of an answer without fault.
func send(c *http.Client, r *http.Request) ([]byte, error) {
	answer, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode >= http.StatusBadRequest {
		err = eris.Errorf("%s %s: status %d: %s", r.Method, r.URL, answer.StatusCode, data)
	}
	return data, err
}

// until repeats a step until it succeeds, and returns its last error when ctx
// ends first.
func until(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		if !pause(ctx, retryPause) {
			return err
		}
	}
}

// pause reports whether ctx still held when d had passed.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
