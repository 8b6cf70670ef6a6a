package evaluator

import (
	"fmt"
	"testing"
)

func TestDiag(t *testing.T) {
	for _, d := range Deployments() {
		for seed := range uint64(4) {
			w, all := newWorld(d, seed)
			k := newControl(w, Contenders()[5])
			type cell struct{ n, bad, slow, over, use float64 }
			var hours [6]cell
			next := 0
			for w.now.Sub(begin) < morning {
				finished, failed := w.advance()
				hr := int(w.now.Sub(begin).Hours())
				if hr < 6 && w.now.Sub(begin)%reportEvery == 0 {
					for _, h := range w.hosts {
						if h.load == 0 {
							continue
						}
						sh := w.shares(h)
						c := &hours[hr]
						n := h.load
						c.n += n
						sl := w.truth.slowdown(sh, h.load)/w.truth.slowdown(make([]float64, classes), h.load) - 1
						c.slow += n * sl
						if w.truth.latency(d, sh, h.load) > 1.75*d.Base.Seconds() {
							c.bad += n
							_, up := k.learner.Slowdown(d.Service, h.account.Shares(), h.load)
							c.over += n * (sl - up)
						}
						for _, s := range sh {
							c.use += n * s
						}
					}
				}
				k.ended(finished, failed)
				for next < len(all) && !all[next].arrives.After(w.now) {
					k.pending = append(k.pending, all[next])
					next++
				}
				k.hear()
				k.resize()
				k.protect()
				k.drain()
				k.place()
			}
			out := ""
			for _, c := range hours {
				out += fmt.Sprintf(" [slow %.3f bad %.3f under %.2f use %.2f]", c.slow/c.n, c.bad/c.n, c.over/max(c.bad, 1e-9), c.use/c.n)
			}
			t.Log(d.Name, seed, out)
		}
	}
}
