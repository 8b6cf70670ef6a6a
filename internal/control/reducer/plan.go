package reducer

import (
	"fmt"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// plan answers with the steps that an intent takes on the shards owned here.
func (s *State) plan(e PlanRequested) {
	p := &describer.Plan{ID: e.Intent.ID, Intent: e.Intent, Revision: s.config.Revision, Made: s.now}
	switch e.Intent.Action {
	case describer.DrainOff:
		s.planDrain(p)
	case describer.SetTarget:
		p.Steps = append(p.Steps, describer.Step{
			Verb: describer.Set,
			Why:  fmt.Sprintf("latency target of %s becomes %s", e.Intent.Service, e.Intent.Target),
		})
	}
	s.reply(Reply{Request: e.Request, Plan: p})
}

func (s *State) planDrain(p *describer.Plan) {
	for _, name := range p.Intent.Workers {
		for _, h := range s.order {
			w := h.workers[name]
			if w == nil {
				continue
			}
			p.Steps = append(p.Steps, describer.Step{Verb: describer.Close, Worker: name})
			for _, t := range w.runs {
				p.Steps = append(p.Steps, describer.Step{
					Verb: describer.Move, Task: t.id().String(), Worker: name,
				})
				p.Expected.Evictions++
			}
		}
	}
}
