package parser

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/rs/zerolog"
)

// Defaults returns the settings that apply where a file has no value.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		Lease: Lease{
			Shard:        Duration(6 * time.Second),
			Task:         Duration(20 * time.Second),
			ClockMargin:  Duration(2 * time.Second),
			SyncInterval: Duration(2 * time.Second),
		},
		Restore: Restore{
			MinStep: Duration(time.Minute),
			MaxStep: Duration(5 * time.Minute),
		},
		Traffic: Traffic{
			MaxQueue:        256,
			MaxBody:         16 << 20,
			DefaultDeadline: Duration(10 * time.Second),
			StallTimeout:    Duration(3 * time.Second),
			RetryRatio:      0.1,
			LinkBandwidth:   2_500_000,
			DrainTimeout:    Duration(30 * time.Second),
		},
		Log: Log{Level: "info"},
	}
}

// Read decodes and checks a daemon's settings. The error is of type Errors and
// holds everything that is wrong.
func Read(source []byte) (Settings, error) {
	s, d := ReadDocument(source)
	return s, d.Errors.sorted()
}

// ReadDocument is like [Read] and returns the errors in the document.
func ReadDocument(source []byte) (Settings, *Document) {
	s := Defaults()
	d := Decode(source, &s)
	if len(d.Errors) == 1 && len(d.offsets) == 0 {
		return s, d // syntax error; missing keys would follow from it
	}
	d.checkIdentity(s)
	d.checkAddresses(s)
	d.checkPlatform(s.Platform)
	d.checkLease(s.Lease)
	d.checkRestore(s.Restore)
	d.checkTraffic(s.Traffic)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil || s.Log.Level == "" {
		d.AddError("log.level", "must be debug, info, warn or error, is %q", s.Log.Level)
	}
	return s, d
}

func (d *Document) checkIdentity(s Settings) {
	for _, f := range []struct{ path, value string }{
		{"name", s.Name}, {"domain", s.Domain}, {"region", s.Region},
	} {
		if f.value == "" && !d.hasError(f.path) {
			d.AddError(f.path, "is missing")
		}
	}
}

func (d *Document) checkAddresses(s Settings) {
	seen := make(map[string]string)
	check := func(path, address string) {
		if d.hasError(path) {
			return
		}
		if address == "" {
			d.AddError(path, "is missing")
			return
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			d.AddError(path, "must be an IP number and port such as 10.0.0.1:7000, is %q", address)
			return
		}
		if other, ok := seen[address]; ok {
			d.AddError(path, "%s stands at %s already", address, other)
			return
		}
		seen[address] = path
	}
	check("listen.callers", s.Listen.Callers)
	check("listen.peers", s.Listen.Peers)
	check("listen.operators", s.Listen.Operators)
	for i, peer := range s.Peers {
		check(fmt.Sprintf("peers[%d]", i), peer)
	}
}

func (d *Document) checkPlatform(p Platform) {
	for _, f := range []struct{ path, value string }{
		{"platform.store", p.Store}, {"platform.hosts", p.Hosts},
	} {
		u, err := url.Parse(f.value)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			d.AddError(f.path, "must be a URL such as http://10.0.0.1:7000, is %q", f.value)
		}
	}
	d.checkRange("platform.timeout", p.Timeout, 10*time.Millisecond, time.Minute)
}

func (d *Document) checkLease(l Lease) {
	d.checkRange("lease.shard", l.Shard, 100*time.Millisecond, 5*time.Minute)
	d.checkRange("lease.task", l.Task, 100*time.Millisecond, time.Hour)
	d.checkRange("lease.margin", l.ClockMargin, 0, time.Minute)
	d.checkRange("lease.sync", l.SyncInterval, 10*time.Millisecond, time.Minute)
	if l.SyncInterval*3 > l.Task {
		d.AddError("lease.sync", "must be at most a third of lease.task (%s), is %s", l.Task, l.SyncInterval)
	}
}

func (d *Document) checkRestore(r Restore) {
	d.checkRange("restore.settle", r.MinStep, 10*time.Millisecond, time.Hour)
	d.checkRange("restore.patience", r.MaxStep, time.Duration(r.MinStep), 24*time.Hour)
}

func (d *Document) checkTraffic(t Traffic) {
	if t.MaxQueue < 1 || t.MaxQueue > 100_000 {
		d.AddError("traffic.queue", "must be 1 to 100000 requests, is %d", t.MaxQueue)
	}
	if t.MaxBody < 1 || t.MaxBody > 1<<40 {
		d.AddError("traffic.body", "must be 1 to %d bytes, is %d", int64(1)<<40, t.MaxBody)
	}
	if t.RetryRatio < 0 || t.RetryRatio > 1 {
		d.AddError("traffic.budget", "must be a share from 0 to 1, is %g", t.RetryRatio)
	}
	if t.LinkBandwidth < 0 {
		d.AddError("traffic.link", "must not be negative, is %d bytes a second", t.LinkBandwidth)
	}
	d.checkRange("traffic.deadline", t.DefaultDeadline, time.Millisecond, time.Hour)
	d.checkRange("traffic.silence", t.StallTimeout, 10*time.Millisecond, time.Hour)
	d.checkRange("traffic.drainlimit", t.DrainTimeout, 0, time.Hour)
}

// checkRange adds an error if the value is out of range, unless it could not be
// decoded at all.
func (d *Document) checkRange(path string, value Duration, low, high time.Duration) {
	if d.hasError(path) {
		return
	}
	if time.Duration(value) < low || time.Duration(value) > high {
		d.AddError(path, "must be %s to %s, is %s", low, high, value)
	}
}

// hasError reports whether the value at path has an error already.
func (d *Document) hasError(path string) bool {
	for _, e := range d.Errors {
		if e.Path == path {
			return true
		}
	}
	return false
}
