package deployer

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

// Configure sets the first configuration and waits until every entry host
// serves.
func (d *Deployment) Configure(ctx context.Context) error {
	c := d.configuration()
	err := Retry(ctx, func() error { return d.CallOperators(ctx, http.MethodPut, "/v1/configuration", c, nil) })
	if err != nil {
		return eris.Wrap(err, "deployer: first configuration")
	}
	err = Retry(ctx, d.Probe)
	return eris.Wrap(err, "deployer: not all entry hosts became ready")
}

func (d *Deployment) configuration() describer.Configuration {
	c := describer.Configuration{
		Services: []describer.Service{{Name: Service, Target: d.options.LatencyTarget}},
		Teams: []describer.Team{
			{Name: "owners", Weight: 4},
			{Name: "council", Weight: 2},
			{Name: "tourism", Weight: 1},
		},
		Weights: describer.Weights{Latency: 1, Throughput: 2, Evictions: 1},
	}
	for _, m := range d.Domains {
		for _, rack := range m.racks() {
			c.Shards = append(c.Shards, describer.Shard{ID: rack, Domain: m.Name, Racks: []string{rack}})
		}
	}
	return c
}

func (m *Domain) racks() []string {
	var out []string
	for i := 0; i*RackSize < len(m.Workers); i++ {
		out = append(out, rackName(m, i))
	}
	return out
}

// Shards returns the names of all shards.
func (d *Deployment) Shards() []string {
	var out []string
	for _, m := range d.Domains {
		out = append(out, m.racks()...)
	}
	return out
}

func (m *Domain) running() []*Entry {
	var out []*Entry
	for _, e := range m.Entries {
		if e.Daemon() != nil {
			out = append(out, e)
		}
	}
	return out
}

// Probe asks every running entry host for one answer, and returns nil if all
// gave one.
func (d *Deployment) Probe() error {
	for _, m := range d.Domains {
		running := m.running()
		if ready := m.Balancer.ReadyCount(); ready < len(running) {
			return eris.Errorf("%d of %d entry hosts of %s are ready", ready, len(running), m.Name)
		}
		for _, e := range running {
			r, err := http.NewRequest(http.MethodGet, "http://"+e.Settings.Listen.Callers+"/svc/"+Service+"/", nil)
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

// CallOperators sends a call to the operators' port of the first entry host that
// answers it without fault.
func (d *Deployment) CallOperators(ctx context.Context, method, path string, in, out any) error {
	var err error
	for _, m := range d.Domains {
		for _, e := range m.Entries {
			err = CallJSON(ctx, d.client, method, "http://"+e.Settings.Listen.Operators+path, in, out)
			if err == nil || ctx.Err() != nil {
				return err
			}
		}
	}
	return err
}

// Drain states the intent to drain workers, and confirms its plan.
func (d *Deployment) Drain(ctx context.Context, id string, workers []string, lasting time.Duration) error {
	intent := describer.Intent{ID: id, Action: describer.DrainWorkers, Workers: workers, For: lasting}
	return d.ApplyIntent(ctx, intent)
}

// ApplyIntent states an intent, and confirms its plan.
func (d *Deployment) ApplyIntent(ctx context.Context, intent describer.Intent) error {
	var plan describer.Plan
	if err := d.CallOperators(ctx, http.MethodPost, "/v1/intents", intent, &plan); err != nil {
		return err
	}
	return d.CallOperators(ctx, http.MethodPost, fmt.Sprintf("/v1/plans/%s/confirm", plan.ID), nil, nil)
}

// Drains returns the drains in force.
func (d *Deployment) Drains(ctx context.Context) ([]describer.Drain, error) {
	var c describer.Configuration
	err := d.CallOperators(ctx, http.MethodGet, "/v1/configuration", nil, &c)
	return c.Drains, err
}

// CallJSON sends JSON and reads JSON; in and out may be nil.
func CallJSON(ctx context.Context, c *http.Client, method, url string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
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

// Retry repeats a step until it succeeds, and returns its last error when ctx
// ends first.
func Retry(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil || !Sleep(ctx, retryPause) {
			return err
		}
	}
}

// Sleep waits, and reports whether ctx still holds.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
