package admitter

import "math/rand/v2"

// draw returns a random shard, with a probability proportional to its weight, or nil if no
// shard has a weight above 0.
func draw(shards []*Shard, random *rand.Rand, weight func(*Shard) float64) *Shard {
	total := 0.0
	for _, s := range shards {
		total += weight(s)
	}
	if total == 0 {
		return nil
	}
	point := random.Float64() * total
	var chosen *Shard
	for _, s := range shards {
		w := weight(s)
		if w == 0 {
			continue
		}
		chosen = s
		if point -= w; point < 0 {
			break
		}
	}
	return chosen
}

// pointers returns a pointer to each shard.
func pointers(shards []Shard) []*Shard {
	out := make([]*Shard, len(shards))
	for i := range shards {
		out[i] = &shards[i]
	}
	return out
}
