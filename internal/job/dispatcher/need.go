package dispatcher

import (
	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/job/specifier"
)

// need is what a task, or all runs of a worker, take of a worker.
type need struct {
	counted describer.Resources // against the worker's capacity
	filler  int64               // CPU asked for by fillers, which is not counted; millicores
	lasting int64               // part of counted.CPU that lasting tasks reserve, millicores
}

func needOf(s *specifier.Step) need {
	n := need{counted: s.Needs}
	if s.Filler {
		n.filler = s.Needs.CPU
		n.counted.CPU = 0
	}
	if s.LongRunning {
		n.lasting = n.counted.CPU
	}
	return n
}

func (n need) add(o need) need {
	return need{n.counted.Add(o.counted), n.filler + o.filler, n.lasting + o.lasting}
}

func (n need) sub(o need) need {
	return need{n.counted.Sub(o.counted), n.filler - o.filler, n.lasting - o.lasting}
}
