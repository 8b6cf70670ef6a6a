package admitter

import (
	"math/rand/v2"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// transferShare is the fraction of a shard's free CPU that one decision may use.
// Other hosts decide by the same summary, and some of the CPU is in small pieces.
const transferShare = 0.25

// ChooseRoom chooses a shard for up to n waiting tasks that each need the given
// resources. It is meant for one full shard, for example after many of its workers
// have left, while others have room. It draws among the shards that have a worker with room
// for a task, with a probability proportional to the free CPU, and returns how many
// tasks may go there, at least one. The name is empty if no shard has room.
func ChooseRoom(needs describer.Resources, n int, shards []Shard, random *rand.Rand) (shard string, tasks int) {
	s := draw(pointers(shards), random, func(s *Shard) float64 {
		if !s.HasLabel || !needs.Fits(s.MaxFree) || needs.CPU > s.Free.CPU {
			return 0
		}
		return float64(s.Free.CPU)
	})
	if s == nil {
		return "", 0
	}
	room := int64(transferShare*float64(s.Free.CPU)) / max(needs.CPU, 1)
	return s.Name, int(min(int64(n), max(room, 1)))
}
