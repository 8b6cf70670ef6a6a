//go:build review3

package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
)

const (
	program      = "target/dotterelcart" // with "attach", as in the deploy file
	hostname     = "queue.example"
	queuePrefix  = "/jobs/"
	urgentPrefix = "/urgent/" // of a queue of priority 0
	readyTimeout = 25 * time.Second
	callTimeout  = 3 * time.Second // the callers' time limit
	restartDelay = time.Second     // until the platform starts an ended process again
)

// defaultTarget is the CompletionTargetMs of the queue where a case names none.
const defaultTarget = 3 * time.Second

// farDelay is the one-way delay between the two regions.
const farDelay = 30 * time.Millisecond

// layout is what a case deploys.
type layout struct {
	zones       []string // in the region of the store
	farZone     string   // in another region, with workers only; empty for none
	hosts       int      // entry hosts in each zone
	workers     int      // in each zone
	farWorkers  int      // in farZone
	rack        int      // workers of a rack
	cpu, memory int64    // of a worker
	hostCPU     float64  // CpuShare of an entry host
	attempts    int
	priority    int           // of the queue at queuePrefix
	target      time.Duration // CompletionTargetMs of the queue; 0 is defaultTarget
}

// deployment is a store, workers and entry hosts.
type deployment struct {
	record  *record
	folder  string
	store   *store
	workers []*worker
	hosts   []*host
	relays  []io.Closer

	closing sync.Once

	mu   sync.Mutex // guards jobs and what belongs to them
	jobs map[string]*job
}

// host is an entry host and its process.
type host struct {
	d                  *deployment
	name, zone         string
	callers, readiness string
	settings           string
	link               *cutLink // to the store

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	since  time.Time // when the process was started
	isOver bool      // not started again
}

const settingsText = `NodeName = %q
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
IpAddress = %q
Zone = %q
Region = "seq"
InternalPortRange = [7720,7735]
Bootstrap = true
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Commands = "invocation"
[Zones]
%s[ListenAddresses]
Frontend = %q
Readiness = %q
[Limits]
CpuShare = %g
Cores = 1
MemoryMb = 536
FileDescriptors = 8192
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 4000
AcknowledgeMs = 5000
DrainMs = 3000
GracePeriodS = 6
HoldMaximumMs = 10000
StopTimeoutMs = 400
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
Address = %q
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinimumMs = 1000
`

// deploy starts everything and waits until all entry hosts are ready.
func (d *deployment) deploy(l layout) error {
	var err error
	if d.store, err = newStore(d.record); err != nil {
		return err
	}
	d.store.put("op/config", manifest(l))
	zones := ""
	for _, zone := range l.zones {
		zones += fmt.Sprintf("%s = \"seq\"\n", zone)
	}
	workerZones := l.zones
	if l.farZone != "" {
		zones += fmt.Sprintf("%s = \"fnq\"\n", l.farZone)
		workerZones = append(slices.Clone(l.zones), l.farZone)
	}
	for z, zone := range workerZones {
		count := l.workers
		if zone == l.farZone {
			count = l.farWorkers
		}
		for n := range count {
			w := &worker{
				d: d, id: fmt.Sprintf("i-%02x%06x", z, 7919*(n+1)), zone: zone, rack: fmt.Sprintf("r%d-%d", z+1, n/l.rack+1),
				host: fmt.Sprintf("m-%d%04x", z, n), cpu: l.cpu, memory: l.memory, isFar: zone == l.farZone,
			}
			if err := w.start(); err != nil {
				return err
			}
			d.workers = append(d.workers, w)
		}
	}
	for _, zone := range l.zones {
		for n := range l.hosts {
			h := &host{d: d, name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone}
			ip := loopbackIP()
			ports, err := freePorts(ip, 2)
			if err != nil {
				return err
			}
			if h.link, err = newCutLink(d.store.address); err != nil {
				return err
			}
			d.relays = append(d.relays, h.link)
			h.callers, h.readiness, h.settings = ports[0], ports[1], filepath.Join(d.folder, h.name+".toml")
			text := fmt.Sprintf(settingsText, h.name, ip, zone, zones, h.callers, h.readiness, l.hostCPU, h.link.address())
			if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
				return err
			}
			d.hosts = append(d.hosts, h)
			if err := h.start(); err != nil {
				return err
			}
		}
	}
	return d.awaitReady()
}

// relay starts a relay to an address over a link and returns its address.
func (d *deployment) relay(target string, link *delayer.Link) (string, error) {
	r, err := delayer.New(freeLoopback(), target, link)
	if err != nil {
		return "", err
	}
	d.relays = append(d.relays, r)
	return r.Address, nil
}

// manifest returns the operator's manifest.
func manifest(l layout) map[string]any {
	route := map[string]any{
		"Name": "r-jobs", "Hostname": hostname, "Prefix": queuePrefix, "Kind": "non_idempotent", "TimeoutMs": 3000,
		"CompletionTargetMs": cmp.Or(l.target, defaultTarget).Milliseconds(), "Priority": l.priority, "Service": serviceName, "Attempts": l.attempts, "SlackFactor": 4.0,
	}
	urgent := maps.Clone(route)
	urgent["Name"], urgent["Prefix"], urgent["Priority"] = "r-urgent", urgentPrefix, 0
	return map[string]any{
		"Version": 7, "Routes": []any{route, urgent},
		"Services": []any{map[string]any{
			"Name": serviceName, "HealthPath": "/health", "ConnectionLimit": 64, "Protocol": "h1", "Tls": false,
			"RejectsOverload": false, "Standby": false,
		}},
		"Limits": map[string]int{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// awaitReady waits until all entry hosts are ready and each shard has an owner that has published
// its load.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range d.hosts {
		for {
			response, err := http.Get("http://" + h.readiness + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for len(d.store.keys("view/load/")) == 0 {
		if time.Now().After(deadline) {
			return fmt.Errorf("no shard has an owner")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second) // until the loads of all shards are known to all hosts
	d.record.printf("all entry hosts are ready; shards: %s", strings.Join(d.store.keys("view/load/"), " "))
	return nil
}

// start starts the process of the host. It is started again whenever it ends.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isOver {
		return nil
	}
	h.cmd = exec.Command(program, "attach")
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it mustn't outlive this process
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELCART_SETTINGS=" + h.settings}
	if folder := os.Getenv("LOGS"); folder != "" {
		log, err := os.OpenFile(filepath.Join(folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer log.Close() // the process has its own descriptor
		h.cmd.Stdout, h.cmd.Stderr = log, log
	}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.d.record.printf("entry host %s starts", h.name)
	h.ended, h.since = make(chan struct{}), time.Now()
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait() // it was killed or stopped
		h.d.record.printf("entry host %s has ended", h.name)
		close(ended)
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			h.d.record.printf("entry host %s not started: %v", h.name, err)
		}
	}(h.cmd, h.ended)
	return nil
}

// startedAt returns when the present process of the host was started.
func (h *host) startedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since
}

// signal sends a signal to the process of the host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.d.record.printf("entry host %s gets signal %v", h.name, s)
	_ = h.cmd.Process.Signal(s) // one that has ended needs none
}

// close ends all processes and stand-ins.
func (d *deployment) close() { d.closing.Do(d.end) }

func (d *deployment) end() {
	for _, h := range d.hosts {
		h.mu.Lock()
		h.isOver = true
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
		}
		ended := h.ended
		h.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	for _, w := range d.workers {
		w.end()
	}
	for _, r := range d.relays {
		_ = r.Close()
	}
	if d.store != nil {
		close(d.store.stop)
	}
}

// ownerOf returns the host that owns a shard, by the record in the store, or nil.
func (d *deployment) ownerOf(shard string) *host {
	var owner struct{ Daemon string }
	if json.Unmarshal(d.store.value("view/owner/"+shard), &owner) != nil {
		return nil
	}
	for _, h := range d.hosts {
		if h.name == owner.Daemon {
			return h
		}
	}
	return nil
}

// call makes a call of a caller to a host and returns the status, 0 without an answer.
func (d *deployment) call(h *host, method, path string, body any) (status int, answer string) {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(fmt.Sprintf("standin3: %v", err)) // all bodies are plain
		}
		in = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+h.callers+path, in)
	if err != nil {
		panic(fmt.Sprintf("standin3: %v", err)) // the address is one of a listener
	}
	request.Host = hostname
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Remaining", strconv.Itoa(int(callTimeout.Milliseconds())))
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		d.record.printf("%s %s at %s: no answer", method, path, h.name)
		return 0, ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	answer = strings.TrimSpace(string(data))
	d.record.printf("%s %s at %s: %d %s", method, path, h.name, response.StatusCode, answer)
	return response.StatusCode, answer
}

// isReady reports whether a host passes the platform's readiness check.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// submit hands a job in until it is accepted, at hosts that are ready.
func (d *deployment) submit(j *job) error {
	d.mu.Lock()
	d.jobs[j.id] = j
	d.mu.Unlock()
	for attempt := range 20 {
		h := d.hosts[attempt%len(d.hosts)]
		if !h.isReady() {
			continue
		}
		if status, _ := d.call(h, http.MethodPost, j.path(), j.body()); status == http.StatusOK {
			j.accepted = time.Now()
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s isn't accepted", j.id)
}

// state asks ready hosts for the state of a job until one answers.
func (d *deployment) state(j *job) string {
	for attempt := range 6 {
		h := d.hosts[attempt%len(d.hosts)]
		if !h.isReady() {
			continue
		}
		status, answer := d.call(h, http.MethodGet, j.path(), nil)
		if status == http.StatusGone {
			return "gone"
		}
		var body struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &body) == nil {
			return body.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}
