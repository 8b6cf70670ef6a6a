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

// retryInterval is the time between the attempts of Retry.
const retryInterval = 100 * time.Millisecond

// Configure sets the first configuration and waits until every entry host is ready
// and serves requests.
func (d *Deployment) Configure(ctx context.Context) error {
	c := d.firstConfiguration()
	err := Retry(ctx, func() error { return d.CallOperators(ctx, http.MethodPut, "/v1/configuration", c, nil) })
	if err != nil {
		return eris.Wrap(err, "deployer: set first configuration")
	}
	err = Retry(ctx, d.Probe)
	return eris.Wrap(err, "deployer: not all entry hosts became ready")
}

// firstConfiguration has one service, three teams and a shard for each rack.
func (d *Deployment) firstConfiguration() describer.Configuration {
	c := describer.Configuration{
		Services: []describer.Service{{Name: Service, Target: d.options.LatencyTarget}},
		Teams: []describer.Team{
			{Name: "owners", Weight: 4},
			{Name: "council", Weight: 2},
			{Name: "tourism", Weight: 1},
		},
		Weights: describer.Weights{Latency: 1, Throughput: 2, Evictions: 1},
	}
	for _, domain := range d.Domains {
		for _, rack := range domain.racks() {
			c.Shards = append(c.Shards, describer.Shard{ID: rack, Domain: domain.Name, Racks: []string{rack}})
		}
	}
	return c
}

// racks returns the names of the domain's racks.
func (d *Domain) racks() []string {
	var out []string
	for i := 0; i*RackSize < len(d.Workers); i++ {
		out = append(out, rackName(d, i))
	}
	return out
}

// Shards returns the names of all shards.
func (d *Deployment) Shards() []string {
	var out []string
	for _, domain := range d.Domains {
		out = append(out, domain.racks()...)
	}
	return out
}

// runningEntries returns the entry hosts of the domain whose daemon is running.
func (d *Domain) runningEntries() []*Entry {
	var out []*Entry
	for _, e := range d.Entries {
		if e.Daemon() != nil {
			out = append(out, e)
		}
	}
	return out
}

// Probe sends a request to every running entry host, and returns nil if all are
// ready and answered.
func (d *Deployment) Probe() error {
	for _, domain := range d.Domains {
		running := domain.runningEntries()
		if ready := domain.Balancer.ReadyCount(); ready < len(running) {
			return eris.Errorf("%d of %d entry hosts in %s are ready", ready, len(running), domain.Name)
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

// CallOperators sends a request to the operators' port of one entry host after the
// other, until one answers with a status below 400. It encodes in as JSON and
// decodes the response into out; both may be nil.
func (d *Deployment) CallOperators(ctx context.Context, method, path string, in, out any) error {
	var err error
	for _, domain := range d.Domains {
		for _, e := range domain.Entries {
			err = CallJSON(ctx, d.client, method, "http://"+e.Settings.Listen.Operators+path, in, out)
			if err == nil || ctx.Err() != nil {
				return err
			}
		}
	}
	return err
}

// Drain submits an intent to drain workers for a time, and confirms the plan for it.
func (d *Deployment) Drain(ctx context.Context, id string, workers []string, duration time.Duration) error {
	intent := describer.Intent{ID: id, Action: describer.DrainWorkers, Workers: workers, For: duration}
	return d.ApplyIntent(ctx, intent)
}

// ApplyIntent submits an intent and confirms the plan for it.
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

// CallJSON sends in as JSON and decodes the response into out; both may be nil. A
// status of 400 or higher is an error.
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

// send returns the response body. A status of 400 or higher is an error.
func send(c *http.Client, r *http.Request) ([]byte, error) {
	response, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		err = eris.Errorf("%s %s: status %d: %s", r.Method, r.URL, response.StatusCode, data)
	}
	return data, err
}

// Retry repeats a step until it succeeds. If ctx ends first, it returns the step's
// last error.
func Retry(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil || !Sleep(ctx, retryInterval) {
			return err
		}
	}
}

// Sleep waits for d and reports true, or false if ctx ends first.
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
