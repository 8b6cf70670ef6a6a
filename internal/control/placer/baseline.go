package placer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// noRoom is the reason when no worker that accepts tasks has room.
const noRoom = "no open worker has room"

// FirstFit chooses the first open worker, in order of names, that has room. It
// is a baseline for measurements.
type FirstFit struct{}

// Place implements Policy.
func (FirstFit) Place(fleet *accountant.Fleet, r Request, _ time.Time) Choice {
	for _, name := range fleet.Names() {
		if accepts(fleet.Workers[name], r) {
			return Choice{Worker: name}
		}
	}
	return Choice{Reason: noRoom}
}

// LeastLoaded chooses the open worker that has the largest share of processors
// free after the placement. It is a baseline for measurements.
type LeastLoaded struct{}

// Place implements Policy.
func (LeastLoaded) Place(fleet *accountant.Fleet, r Request, _ time.Time) Choice {
	return leastLoaded(fleet, r, func(*accountant.Worker) bool { return true }, noRoom)
}

// NoColocation places batch tasks only on workers without a service, on the
// least loaded. It is a baseline for measurements.
type NoColocation struct{}

// Place implements Policy.
func (NoColocation) Place(fleet *accountant.Fleet, r Request, _ time.Time) Choice {
	allowed := func(w *accountant.Worker) bool {
		return r.Job.Kind == describer.LatencyCritical || len(w.Host.Services) == 0
	}
	return leastLoaded(fleet, r, allowed, "no open worker without a service has room")
}

// StaticThreshold places batch tasks on workers with a service up to a fixed
// share of their processors, and only while the service's load is low. It is a
// baseline for measurements.
type StaticThreshold struct {
	Share float64 // maximum share of processors for batch tasks, 0 to 1
	Load  float64 // maximum load of a service at which batch tasks are placed, 0 to 1
}

// Place implements Policy.
func (s StaticThreshold) Place(fleet *accountant.Fleet, r Request, _ time.Time) Choice {
	allowed := func(w *accountant.Worker) bool {
		if r.Job.Kind == describer.LatencyCritical || len(w.Host.Services) == 0 {
			return true
		}
		limit := s.Share * float64(w.Host.Capacity.CPU)
		return w.Load() <= s.Load && float64(w.BatchCPU()+r.Want.CPU) <= limit
	}
	return leastLoaded(fleet, r, allowed, "no open worker is below the threshold")
}

// leastLoaded returns the allowed worker with the largest share of processors
// free after the placement, or a Choice with the given reason.
func leastLoaded(
	fleet *accountant.Fleet, r Request, allowed func(*accountant.Worker) bool, reason string,
) Choice {
	best, maxFree := "", -1.0
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if !accepts(w, r) || !allowed(w) {
			continue
		}
		free := float64(w.Free().CPU-r.Want.CPU) / float64(max(w.Host.Capacity.CPU, 1))
		if free > maxFree {
			best, maxFree = name, free
		}
	}
	if best == "" {
		return Choice{Reason: reason}
	}
	return Choice{Worker: best}
}

// accepts reports whether the worker is open and allowed for the request, and
// has room for it.
func accepts(w *accountant.Worker, r Request) bool {
	if w.Closed || r.Avoid[w.Host.Name] {
		return false
	}
	return r.Want.Fits(w.Free())
}
