package accountant

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// TestNeverOverfilled allocates, resizes and releases grants in random order and
// checks that their sums are right and never exceed the capacity.
func TestNeverOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := describer.Resources{CPU: 100, Memory: 100, Accelerators: 2}
		reserved := describer.Resources{CPU: 20}
		w := &Worker{Host: describer.Host{Name: "w", Capacity: capacity}, Reserved: reserved}
		size := func() describer.Resources {
			return describer.Resources{
				CPU:          rapid.Int64Range(-5, 60).Draw(t, "cpu"),
				Memory:       rapid.Int64Range(-5, 60).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				_ = w.Allocate(task(t), Grant{
					Token: token(t), Resources: size(), Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
				})
			},
			"resize": func(t *rapid.T) { _ = w.Resize(task(t), token(t), size()) },
			"drop":   func(t *rapid.T) { w.Release(task(t), token(t)) },
			"": func(t *rapid.T) {
				var sum describer.Resources
				classes := map[string]float64{}
				for _, g := range w.Grants {
					sum = sum.Add(g.Resources)
					if g.Resources.CPU > 0 {
						classes[g.Class] += float64(g.Resources.CPU) / 100
					}
				}
				for class, share := range w.BatchShares() {
					if math.Abs(classes[class]-share) > 1e-9 {
						t.Fatalf("class %s: %v, sum of grants %v", class, share, classes[class])
					}
					delete(classes, class)
				}
				if len(classes) > 0 || w.Running("j") != len(w.Grants) {
					t.Fatalf("classes %v missing, %d grants of %d", classes, w.Running("j"), len(w.Grants))
				}
				if sum != w.Granted {
					t.Fatalf("granted %v, sum of grants %v", w.Granted, sum)
				}
				if !sum.Add(reserved).Fits(capacity) {
					t.Fatalf("overcommitted: %v of %v", sum, capacity)
				}
			},
		})
	})
}

func task(t *rapid.T) describer.TaskID {
	return describer.TaskID{Job: "j", Index: rapid.IntRange(0, 4).Draw(t, "task")}
}

func token(t *rapid.T) describer.Token {
	return describer.Token{Epoch: 1, Sequence: rapid.Int64Range(1, 3).Draw(t, "token")}
}
