package admitter

import (
	"math/rand/v2"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// ChooseRate chooses a shard for finite work that can't run where it is, for example
// because the failure domain is evacuated, so that it goes even to a full shard. It
// draws among the shards with workers that are large enough, with a probability
// proportional to the CPU that finite work has or can get there. It returns the
// shard's name, or "" without one.
func ChooseRate(needs describer.Resources, shards []Shard, random *rand.Rand) string {
	s := draw(pointers(shards), random, func(s *Shard) float64 {
		if s.Workers == 0 || !s.HasLabel || !needs.Fits(s.MaxUsable) {
			return 0
		}
		return float64(max(s.Free.CPU+s.FiniteCPU, minRate))
	})
	if s == nil {
		return ""
	}
	return s.Name
}
