//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service  = "menu-desk"
	hostname = "menus.example"

	cancelTime  = 3 * time.Second        // cancel_ms
	stopTimeout = 400 * time.Millisecond // StopTimeoutMs
	contactTime = 4 * time.Second        // ContactMs
	restart     = time.Second            // until the platform starts a process again
)

// record is what was sent, answered and run. It is printed at the end.
type record struct {
	began time.Time

	mu    sync.Mutex
	lines []string
	runs  []*run
	over  []string // starts that exceeded a worker's capacity
}

func (l *record) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(format, args...)
}

func (l *record) add(format string, args ...any) {
	l.lines = append(l.lines, fmt.Sprintf("%8.3f ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

// started records a run that a worker has begun. The caller holds w.mu.
func (l *record) started(w *worker, r *run, in *order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	sum := int64(0)
	for _, other := range w.active {
		sum += other.work.cpu
	}
	if sum > w.capacity.Cpu {
		l.over = append(l.over, fmt.Sprintf("%8.3f start of %s run %d by token %d brings worker %s, born %d, to %d of %d millicores",
			r.started.Sub(l.began).Seconds(), r.task, r.number, in.FencingToken, w.id, w.born, sum, w.capacity.Cpu))
	}
}

// write writes the record, with all runs at its end.
func (l *record) write(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out bytes.Buffer
	for _, line := range l.lines {
		fmt.Fprintln(&out, line)
	}
	fmt.Fprintln(&out, "runs: started, ended, taken note of (s), task, run, worker, outcome")
	at := func(t time.Time) string {
		if t.IsZero() {
			return "       -"
		}
		return fmt.Sprintf("%8.3f", t.Sub(l.began).Seconds())
	}
	for _, r := range l.runs {
		fmt.Fprintf(&out, "%s %s %s %s %d %s/%d %s\n", at(r.started), at(r.ended), at(r.noted), r.task, r.number, r.worker, r.born, r.how)
	}
	if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
		panic(err)
	}
}

// daemon is a process of the program under test.
type daemon struct {
	name, ip, zone, frontend, settings string
	command                            *exec.Cmd
	ended                              chan struct{}
}

// site is a small deployment.
type site struct {
	log     *record
	store   *store
	daemons []*daemon
	dir     string // temporary
	program string
	random  *rand.Rand
	version int
}

// newSite starts a store and prepares the daemons of a small deployment. Its settings are those
// of the deployment that it follows, but for addresses.
func newSite(like deployment, seed uint64, program string) *site {
	s := &site{
		log: &record{began: time.Now()}, program: program, dir: must(os.MkdirTemp("", "review")),
		random: rand.New(rand.NewPCG(seed, 42)),
	}
	net := freeNetwork()
	s.store = newStore(net + ".200")
	for i, zone := range like.zones {
		d := &daemon{name: "frontend-" + zone + "-1", ip: fmt.Sprintf("%s.%d", net, i+1), zone: zone}
		d.frontend = freeAddress(d.ip)
		d.settings = filepath.Join(s.dir, d.name+".toml")
		text := fmt.Sprintf(like.settings, d.name, d.ip, zone, like.regions[zone], d.frontend, freeAddress(d.ip), s.store.address)
		if err := os.WriteFile(d.settings, []byte(text), 0o644); err != nil {
			panic(err)
		}
		s.daemons = append(s.daemons, d)
	}
	return s
}

// startDaemons starts all daemons.
func (s *site) startDaemons() {
	for _, d := range s.daemons {
		s.start(d)
	}
}

func (s *site) start(d *daemon) {
	out := must(os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644))
	defer out.Close()
	d.command = exec.Command(s.program, "attach")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELCART_SETTINGS=" + d.settings}
	d.command.Stdout, d.command.Stderr = out, out
	if err := d.command.Start(); err != nil {
		panic(err)
	}
	s.log.printf("daemon %s started", d.name)
	d.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(d.command, d.ended)
}

// kill kills a daemon, and starts it again after a short delay as the platform does.
func (s *site) kill(d *daemon) {
	s.log.printf("daemon %s killed", d.name)
	_ = d.command.Process.Signal(syscall.SIGKILL)
	<-d.ended
	time.Sleep(restart)
	s.start(d)
}

// owner returns the daemon that owns the service's shard, by its record in the store, or nil.
// It is the one that last wrote to the store under a condition.
func (s *site) owner() *daemon {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for key, it := range s.store.items {
		if !strings.HasPrefix(key, "view/owner/") {
			continue
		}
		for _, d := range s.daemons {
			if bytes.Contains(it.Value, []byte(`"`+d.name+`"`)) {
				return d
			}
		}
	}
	return nil
}

// close ends all processes.
func (s *site) close() {
	for _, d := range s.daemons {
		if d.command != nil {
			_ = d.command.Process.Kill()
			<-d.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// route is a queue of the manifest.
type route struct {
	Name, Hostname, Prefix, Kind, Service   string
	TimeoutMs, CompletionTargetMs, Priority int
	Attempts                                int
	SlackFactor                             float64
}

func newRoute(name string, priority int) route {
	return route{
		Name: name, Hostname: hostname, Prefix: "/" + name + "/", Kind: "non_idempotent", Service: service,
		TimeoutMs: 3000, CompletionTargetMs: 3000, Priority: priority, Attempts: 2, SlackFactor: 2,
	}
}

// configure writes a manifest, as the operator does.
func (s *site) configure(routes ...route) {
	s.version += 3
	s.store.put("op/config", map[string]any{
		"Version": s.version, "Routes": routes,
		"Services": []map[string]any{{
			"Name": service, "HealthPath": "/health", "ConnectionLimit": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": false, "Standby": false,
		}},
		"Limits": map[string]int{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Name)
	}
	s.log.printf("operator: manifest %d accepted, routes %v", s.version, names)
}

// step is a step of a job.
type step struct {
	Count           int
	Cpu             int64 //nolint:revive // spelled as on the wire
	MemoryRequestMb int64
	EstimatedMs     int64
	After           []int `json:",omitempty"`
	Persistent      bool  `json:",omitempty"`
}

// jobID returns a new id of a job.
func (s *site) jobID() string { return fmt.Sprintf("%016x", s.random.Uint64()) }

// call sends a consumer's request for a job to a daemon. The status is 0 without an answer.
func (s *site) call(d *daemon, method, queue, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data = must(json.Marshal(body))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r := must(http.NewRequestWithContext(ctx, method, "http://"+d.frontend+"/"+queue+"/"+id, bytes.NewReader(data)))
	r.Host = hostname
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Remaining", "3000")
	sent := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		s.log.printf("consumer: %s %s/%s at %s, no answer after %d ms", method, queue, id, d.name, time.Since(sent).Milliseconds())
		return 0, ""
	}
	defer response.Body.Close()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	s.log.printf("consumer: %s %s/%s at %s, answer %d %s after %d ms", method, queue, id, d.name, response.StatusCode,
		bytes.TrimSpace(text.Bytes()), time.Since(sent).Milliseconds())
	return response.StatusCode, text.String()
}

// submit hands a job in, with the consumer's retries at any daemon.
func (s *site) submit(queue string, k work, steps ...step) (id string, accepted bool) {
	id = s.jobID()
	body := map[string]any{"Specification": k.specification(), "Steps": steps}
	for range 5 {
		d := s.daemons[s.random.IntN(len(s.daemons))]
		status, _ := s.call(d, http.MethodPost, queue, id, body)
		if status == http.StatusOK {
			return id, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, false
}

// awaitReady waits until all daemons serve, and a probing job has been accepted and done.
func (s *site) awaitReady(queue string) bool {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if s.owner() != nil {
			break
		}
	}
	time.Sleep(2 * time.Second)
	for range 10 {
		id, ok := s.submit(queue, work{cpu: 100, length: 50 * time.Millisecond, how: "done"}, step{Count: 1, Cpu: 100, MemoryRequestMb: 64, EstimatedMs: 50})
		for i := 0; ok && i < 20; i++ {
			time.Sleep(200 * time.Millisecond)
			if _, text := s.call(s.daemons[0], http.MethodGet, queue, id, nil); bytes.Contains([]byte(text), []byte("succeeded")) {
				return true
			}
		}
	}
	return false
}

// freeNetwork returns the first three bytes of loopback addresses on which the port for
// metrics is free.
func freeNetwork() string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range 4 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:9464", prefix, i+1))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return prefix
		}
	}
	panic("no free loopback addresses")
}

func freeAddress(ip string) string {
	l := must(net.Listen("tcp", ip+":0"))
	defer l.Close()
	return l.Addr().String()
}

// deployment is the deployment whose zones and settings a small site follows.
type deployment struct {
	zones    []string
	regions  map[string]string
	settings string // with places for name, ip, zone, region, callers' and readiness address, and store
}

// desk follows the site qmts-cart, and keeps the site minara-keeps-grown.
var (
	desk = deployment{
		zones:    []string{"seq-bne", "seq-gc", "fnq-cns"},
		regions:  map[string]string{"seq-bne": "seq", "seq-gc": "seq", "fnq-cns": "fnq"},
		settings: deskSettings,
	}
	keeps = deployment{
		zones:    []string{"sindh-karachi", "sindh-keti", "makran-ormara"},
		regions:  map[string]string{"sindh-karachi": "sindh", "sindh-keti": "sindh", "makran-ormara": "makran"},
		settings: keepsSettings,
	}
)

// deskSettings is the settings file of a daemon, with the values of the pages' example.
const deskSettings = `NodeName = "%s"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
IpAddress = "%s"
Zone = "%s"
Region = "%s"
InternalPortRange = [7720,7735]
SeedNodes = []
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform"]
Commands = "invocation"
[Zones]
seq-bne = "seq"
fnq-cns = "fnq"
seq-gc = "seq"
[ListenAddresses]
Frontend = "%s"
Readiness = "%s"
[Limits]
CpuShare = 0.16
Cores = 1
MemoryMb = 284
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = 0
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
RemoteFactor = 3
CheckpointIntervalS = 1
RestoreMs = 600
NoticeMs = 5500
MigrationS = 1.5
MaintenanceS = 2
EnforceFencing = true
LeaseMs = 3000
ThawMs = 300
PacingMs = 100
ImpactMs = 4000
[platform]
Address = "%s"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinimumMs = 1000
`

// keepsSettings is the settings file of a daemon of minara-keeps-grown, as the bench prints it.
const keepsSettings = `NodeName = "%s"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
IpAddress = "%s"
Zone = "%s"
Region = "%s"
InternalPortRange = [7720,7735]
SeedNodes = []
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1100
Contracts = ["base","drain","config","cost","recover","health","sched","platform"]
Commands = "invocation"
[Zones]
sindh-karachi = "sindh"
makran-ormara = "makran"
sindh-keti = "sindh"
[ListenAddresses]
Frontend = "%s"
Readiness = "%s"
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 536
FileDescriptors = 8192
LinkMbps = 200.0
DiskMb = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 5000
AcknowledgeMs = 8000
CatchUpS = 6
DrainMs = 4000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 4000
DowngradeSlackMs = 250
OuterBoundMs = 8000
RecoveryS = 15
HoldMaximumMs = 10000
StopTimeoutMs = 200
GangTimeoutMs = 4000
cancel_ms = 4000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
RemoteFactor = 1.5
CheckpointIntervalS = 2
RestoreMs = 100
NoticeMs = 6500
MigrationS = 1.5
MaintenanceS = 2
EnforceFencing = true
LeaseMs = 3000
ThawMs = 300
PacingMs = 100
ImpactMs = 4500
[platform]
Address = "%s"
form = "kv"
WritesPerS = 1200
ReadsPerS = 6000
HistoryS = 20
ValueBytes = 1048576
TtlMinimumMs = 1000
`
