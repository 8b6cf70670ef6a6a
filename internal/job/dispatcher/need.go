package dispatcher

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// need is the resources that a task asks for, or the sum over a worker's runs.
type need struct {
	reserved    describer.Resources // reserved out of the worker's capacity
	filler      int64               // CPU that fillers may use, not reserved, in millicores
	longRunning int64               // the part of reserved.CPU for long-running tasks, in millicores
}

// needOf returns the resources that each task of a step needs.
func needOf(s *specifier.Step) need {
	n := need{reserved: s.ReservedNeeds()}
	if s.Filler {
		n.filler = s.Needs.CPU
	}
	if s.LongRunning {
		n.longRunning = n.reserved.CPU
	}
	return n
}

func (n need) add(o need) need {
	return need{n.reserved.Add(o.reserved), n.filler + o.filler, n.longRunning + o.longRunning}
}

func (n need) sub(o need) need {
	return need{n.reserved.Sub(o.reserved), n.filler - o.filler, n.longRunning - o.longRunning}
}
