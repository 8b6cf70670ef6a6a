package checker

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// Catalog checks the queues, services and limits of the job model. If workers is nil,
// services without workers aren't reported.
func Catalog(c *specifier.Catalog, workers []Worker) []Finding {
	var f findings
	if c.Version < 1 {
		// Daemons count version 0 as no configuration.
		f.addError("version", "must be at least 1, is %d", c.Version)
	}
	checkNames(&f, c.Queues, func(q *specifier.Queue) string { return q.Name }, queuePath("name"))
	checkNames(&f, c.Services, func(s *specifier.Service) string { return s.Name }, servicePath("name"))
	for i := range c.Queues {
		checkQueue(&f, fmt.Sprintf("queues[%d]", i), &c.Queues[i])
	}
	checkServices(&f, c, workers)
	newPrefixTries().check(&f, c.Queues)
	checkLimits(&f, &c.Limits)
	return f
}

// queuePath returns a function that returns the path of a field of queue i.
func queuePath(field string) func(i int) string {
	return func(i int) string { return fmt.Sprintf("queues[%d].%s", i, field) }
}

// servicePath returns a function that returns the path of a field of service i.
func servicePath(field string) func(i int) string {
	return func(i int) string { return fmt.Sprintf("services[%d].%s", i, field) }
}

// checkQueue checks the values of one queue.
func checkQueue(f *findings, path string, q *specifier.Queue) {
	switch {
	case q.Hostname == "":
		f.addError(path+".hostname", "is missing, so that no request reaches the queue")
	case !isHostname(q.Hostname):
		// Requests are matched by their host name without the port.
		f.addError(path+".hostname", "must be a host name without port and path, is %q", q.Hostname)
	}
	switch {
	case q.Prefix == "":
		f.addError(path+".prefix", "is missing; a job id can't follow the host name")
	case !strings.HasPrefix(q.Prefix, "/"):
		f.addError(path+".prefix", "must begin with /, is %q, so that no request reaches the queue", q.Prefix)
	}
	checkNotNegative(f, path+".priority", q.Priority)
	checkNotNegative(f, path+".attempts", q.Attempts)
	checkNotNegative(f, path+".slack", q.Slack)
	checkNotNegative(f, path+".completion", q.Completion)
	checkNotNegative(f, path+".timeout", q.Timeout)
	checkTarget(f, path, q)
	if q.Advice.Needed {
		checkAdvice(f, path, q)
	}
}

// isHostname reports whether the name can be that of a request without its port.
func isHostname(name string) bool {
	if strings.ContainsAny(name, "/ ") {
		return false
	}
	_, err := netip.ParseAddr(strings.Trim(name, "[]"))
	return err == nil || !strings.Contains(name, ":")
}

// checkTarget checks that jobs can end within the queue's completion target.
func checkTarget(f *findings, path string, q *specifier.Queue) {
	switch {
	case math.IsNaN(q.Slack) || q.Slack < 0 || q.Slack >= 1 || q.Completion < 0:
	case q.Completion == 0:
		f.addError(path+".completion", "is 0 with a slack of %g; no job can end within %[1]g times its critical path", q.Slack)
	default:
		longest := time.Duration(float64(q.Completion) / (1 - q.Slack)).Round(time.Millisecond)
		f.addWarning(path+".slack", "is %g with a completion target of %s; jobs with a critical path above %s can't end in time",
			q.Slack, q.Completion, longest)
	}
}

// checkAdvice checks the times of a queue's placement advice against each other.
func checkAdvice(f *findings, path string, q *specifier.Queue) {
	a := &q.Advice
	path += ".advice"
	checkNotNegative(f, path+".requesttime", a.RequestTime)
	checkNotNegative(f, path+".perworkertime", a.PerWorkerTime)
	if a.RequestTime < 0 || a.PerWorkerTime < 0 {
		return
	}
	shortest := a.RequestTime + a.PerWorkerTime // advice on a single worker
	switch {
	case a.Validity <= 0:
		f.addError(path+".validity", "must be positive, is %s", a.Validity)
	case a.Validity <= shortest:
		f.addError(path+".validity", "is %s, but advice on a single worker takes %s; tickets expire before they arrive", a.Validity, shortest)
	}
	if q.Timeout > 0 && q.Timeout < shortest {
		f.addError(path+".requesttime", "advice on a single worker takes %s, longer than the queue's timeout of %s", shortest, q.Timeout)
	}
	if q.Completion > 0 && q.Completion < shortest {
		f.addWarning(path+".requesttime", "advice on a single worker takes %s, longer than the completion target of %s", shortest, q.Completion)
	}
}

// checkServices checks the references of queues to services, and the services' workers.
func checkServices(f *findings, c *specifier.Catalog, workers []Worker) {
	listed := make(map[string]*specifier.Service, len(c.Services))
	for i := range c.Services {
		if s := &c.Services[i]; listed[s.Name] == nil {
			listed[s.Name] = s
		}
	}
	count := workersByService(workers)
	used := make(map[string]bool)
	for i := range c.Queues {
		name, path := c.Queues[i].Service, queuePath("service")(i)
		if name == "" {
			f.addError(path, "is missing")
			continue
		}
		used[name] = true
		service := listed[name]
		switch {
		case service == nil:
			f.addError(path, "service %q isn't listed", name)
		case service.Standby:
			f.addWarning(path, "service %q is on standby: its hosts are switched off", name)
		}
		if workers != nil && count[name] == 0 && (service == nil || !service.Standby) {
			f.addWarning(path, "service %q has no workers", name)
		}
	}
	for i, s := range c.Services {
		if s.Name != "" && !used[s.Name] {
			f.addWarning(servicePath("name")(i), "no queue uses service %q", s.Name)
		}
	}
}

// checkLimits checks the limits of callers' connections.
func checkLimits(f *findings, l *specifier.Limits) {
	checkNotNegative(f, "limits.header", l.Header)
	checkNotNegative(f, "limits.body", l.Body)
	checkNotNegative(f, "limits.headertime", l.HeaderTime)
	checkNotNegative(f, "limits.idletime", l.IdleTime)
	if l.Body > 0 && l.Header > l.Body {
		f.addWarning("limits.header", "is %d bytes, above the limit of a body, %d bytes", l.Header, l.Body)
	}
}
