package placer

import (
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/accountant"
	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// The policies in this file are the baselines of measurements.
const noRoom = "no open worker has room"

// FirstFit takes the first open worker by name with room.
type FirstFit struct{}

// Place implements Policy.
func (FirstFit) Place(fleet *accountant.Fleet, r Request, _ time.Time) Choice {
	for _, name := range fleet.Names() {
		if suits(fleet.Workers[name], r) {
			return Choice{Worker: name}
		}
	}
	return Choice{Reason: noRoom}
}

// LeastLoaded takes the open worker with the greatest share of processors
// free after placement.
type LeastLoaded struct{}

// Place implements Policy.
func (LeastLoaded) Place(fleet *accountant.Fleet, r Request, _ time.Time) Choice {
	return emptiest(fleet, r, func(*accountant.Worker) bool { return true }, noRoom)
}

// NoColocation keeps batch tasks off workers that answer for a service.
type NoColocation struct{}

// Place implements Policy.
func (NoColocation) Place(fleet *accountant.Fleet, r Request, _ time.Time) Choice {
	allowed := func(w *accountant.Worker) bool {
		return r.Job.Kind == describer.LatencyCritical || len(w.Host.Services) == 0
	}
	return emptiest(fleet, r, allowed, "no open worker without a service has room")
}

// StaticThreshold packs batch tasks beside services up to a fixed share of a
// worker's processors, and only while the service's load is low.
type StaticThreshold struct {
	Share float64 // greatest share of processors for batch tasks, 0 to 1
	Load  float64 // greatest load of a service beside new batch tasks, 0 to 1
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
	return emptiest(fleet, r, allowed, "no open worker is below the threshold")
}

func emptiest(
	fleet *accountant.Fleet, r Request, allowed func(*accountant.Worker) bool, why string,
) Choice {
	best, most := "", -1.0
	for _, name := range fleet.Names() {
		w := fleet.Workers[name]
		if !suits(w, r) || !allowed(w) {
			continue
		}
		free := float64(w.Free().CPU-r.Want.CPU) / float64(max(w.Host.Capacity.CPU, 1))
		if free > most {
			best, most = name, free
		}
	}
	if best == "" {
		return Choice{Reason: why}
	}
	return Choice{Worker: best}
}

// suits reports whether the request may be placed and fits.
func suits(w *accountant.Worker, r Request) bool {
	if w.Closed || r.Avoid[w.Host.Name] {
		return false
	}
	return r.Want.Fits(w.Free())
}
