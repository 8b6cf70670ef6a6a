//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const hostname = "desk.example"

// Limits of a host, as in the small site files.
const (
	memoryMb     = 284
	restartDelay = 500 * time.Millisecond
)

// host is a machine with a process of the program.
type host struct {
	name, zone, ip      string
	frontend, readiness string
	settings, log       string
	program             string
	record              *record
	view                *view
	adviser             *adviser
	ready               bool // by the last readiness check

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // no process is to run
	lapses  int  // readiness checks that failed after the first good one
	exits   int  // processes that ended by themselves, or went over the limit of memory
	peakMb  int
}

// deployment is a small deployment.
type deployment struct {
	record *record
	store  *store
	fleet  *fleet
	book   *book
	hosts  []*host
	folder string
}

var zones = []string{"sindh-karachi", "sindh-keti"}

// newDeployment starts workers, and prepares hosts.
func newDeployment(program string, r *record, hosts, workers int) *deployment {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		panic(err)
	}
	d := &deployment{record: r, store: newStore(r), book: newBook(r), folder: folder}
	d.fleet = newFleet(r, d.store, d.book, workers, zones)
	base := fmt.Sprintf("127.%d.%d.", 1+rand.N(200), rand.N(250))
	for i := range hosts {
		h := &host{name: fmt.Sprintf("frontend-%d", i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s%d", base, i+1), program: program, record: r, view: newView(d.store), adviser: newAdviser(d.fleet)}
		h.frontend, h.readiness = freePort(h.ip), freePort(h.ip)
		h.settings, h.log = filepath.Join(folder, h.name+".toml"), filepath.Join(folder, h.name+".log")
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		h.writeSettings()
	}
	return d
}

func freePort(ip string) string {
	l := listen(ip + ":0")
	defer l.Close()
	return l.Addr().String()
}

const settingsText = `NodeName = %q
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
IpAddress = %q
Zone = %q
Region = "sindh"
InternalPortRange = [7720,7735]
SeedNodes = []
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1100
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Commands = "invocation"
Recommendation = %q
[Zones]
sindh-karachi = "sindh"
sindh-keti = "sindh"
[ListenAddresses]
Frontend = %q
Readiness = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 4000
AcknowledgeMs = 5000
CatchUpS = 4
DrainMs = 3000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
DowngradeSlackMs = 250
OuterBoundMs = 6000
RecoveryS = 12
HoldMaximumMs = 10000
StopTimeoutMs = 400
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
RemoteFactor = 2
CheckpointIntervalS = 1
RestoreMs = 100
NoticeMs = 5500
EnforceFencing = true
LeaseMs = 3000
ThawMs = 300
PacingMs = 100
ImpactMs = 4000
[platform]
Address = %q
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinimumMs = 1000
`

func (h *host) writeSettings() {
	text := fmt.Sprintf(settingsText, h.name, h.ip, h.zone, h.adviser.listener.Addr(), h.frontend, h.readiness, memoryMb, h.view.address())
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		panic(err)
	}
}

// start starts the process, and again whenever it has ended.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = false
	h.run()
}

// run starts the process. The caller holds the lock.
func (h *host) run() {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	c := exec.Command(h.program, "attach")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELCART_SETTINGS=" + h.settings}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		panic(err)
	}
	h.record.printf("host %s: process started", h.name)
	h.cmd = c
	go func() {
		err := c.Wait()
		_ = out.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.cmd != c || h.stopped {
			return
		}
		h.exits++
		h.record.printf("host %s: process has ended by itself or over its memory: %v", h.name, err)
		h.restart()
	}()
}

// restart starts the process again after a delay. The caller holds the lock.
func (h *host) restart() {
	h.cmd = nil
	time.AfterFunc(restartDelay, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.stopped && h.cmd == nil {
			h.run()
		}
	})
}

// watchMemory kills the process whenever it is over its limit, as the platform does.
func (h *host) watchMemory() {
	for range time.Tick(50 * time.Millisecond) {
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		if h.cmd != nil {
			data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
			if f := strings.Fields(string(data)); len(f) > 1 {
				var pages int
				_, _ = fmt.Sscan(f[1], &pages)
				mb := pages * os.Getpagesize() >> 20
				h.peakMb = max(h.peakMb, mb)
				if mb > memoryMb {
					h.record.printf("host %s: process has %d MB, over its %d MB, and is killed by the platform", h.name, mb, memoryMb)
					_ = h.cmd.Process.Signal(syscall.SIGKILL)
				}
			}
		}
		h.mu.Unlock()
	}
}

// check asks for readiness once a second.
func (h *host) checkReadiness() {
	c := &http.Client{Timeout: time.Second}
	for range time.Tick(time.Second) {
		h.mu.Lock()
		over := h.stopped
		h.mu.Unlock()
		if over {
			return
		}
		ready := false
		if response, err := c.Get("http://" + h.readiness + "/readiness"); err == nil {
			_ = response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
		h.mu.Lock()
		if h.ready && !ready {
			h.lapses++
		}
		if ready != h.ready {
			h.record.printf("host %s: ready %t", h.name, ready)
		}
		h.ready = ready
		h.mu.Unlock()
	}
}

func (h *host) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// route is a route of the manifest.
type route struct {
	Name, Hostname, Prefix, Service, Kind   string
	TimeoutMs, CompletionTargetMs, Priority int
	Attempts                                int
	SlackFactor                             float64
	Recommendation                          *recommendation `json:",omitempty"`
}

type recommendation struct{ DecisionMs, PerWorkerMs, ValidityMs int }

func plainRoute(name string) route {
	return route{Name: name, Hostname: hostname, Prefix: "/" + name + "/", Service: workersPool, Kind: "non_idempotent", TimeoutMs: 3000, CompletionTargetMs: 3000, Priority: 1, Attempts: 4, SlackFactor: 2}
}

// configure writes a manifest.
func (d *deployment) configure(version int, routes ...route) {
	d.store.put("op/config", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": workersPool, "HealthPath": "/health", "ConnectionLimit": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": false, "Standby": false}},
		"Limits":   map[string]int{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	d.record.printf("operator: manifest %d with %d routes", version, len(routes))
}

// start starts the hosts and waits until all are ready and have had a second in calm.
func (d *deployment) start() bool {
	for _, h := range d.hosts {
		h.start()
		go h.watchMemory()
		go h.checkReadiness()
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, h := range d.hosts {
			ready = ready && h.isReady()
		}
		if ready && len(d.owners()) > 0 {
			time.Sleep(3 * time.Second)
			return true
		}
	}
	return false
}

// owners returns the hosts' names in the owner records that the store holds.
func (d *deployment) owners() map[string]string { return d.store.values("owner/") }

// verdict returns the outcome of a case whose hosts have to be in touch all the while: their
// processes run, and are ready.
func (d *deployment) verdict(rule string) outcome {
	code := held
	if d.record.count(rule) > 0 {
		code = broke
	}
	for _, h := range d.hosts {
		h.mu.Lock()
		d.record.printf("host %s: %d processes have ended, %d lapses of readiness", h.name, h.exits, h.lapses)
		if h.exits+h.lapses > 0 {
			code = failed
		}
		h.mu.Unlock()
	}
	return code
}

// removeOwners removes the machines of all owners of shards for good.
func (d *deployment) removeOwners() {
	for _, value := range d.owners() {
		for _, h := range d.hosts {
			if strings.Contains(value, `"`+h.name+`"`) {
				h.remove()
			}
		}
	}
}

// remove kills the process for good.
func (h *host) remove() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.cmd != nil {
		h.record.printf("host %s: removed for good", h.name)
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
	}
}

// close ends all processes.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.mu.Lock()
		h.stopped = true
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
		}
		h.mu.Unlock()
	}
	for _, sl := range d.fleet.slots {
		d.fleet.crash(sl)
	}
}
