package analyzer

import (
	"fmt"
	"strings"
)

// Table returns the account as text, with shares of each shard's CPU and a line for
// all shards.
func (a *Account) Table() string {
	var out strings.Builder
	total := ShardAccount{Name: "all"}
	fmt.Fprintf(&out, "%-20s %8s | %8s %8s %8s %8s | %8s %8s %8s\n",
		"shard", "core-s", "lasting", "finite", "awaited", "free", "fillers", "heldback", "unused")
	for i := range a.Shards {
		a.Shards[i].row(&out)
		total.sum(&a.Shards[i])
	}
	total.row(&out)
	out.WriteString(`
lasting, finite: reserved by long-running and by finite tasks
awaited, free:   not reserved, while work waits that doesn't fit, or while none waits
fillers:         used by fillers; heldback, unused: unused while fillers wait, or while none waits
`)
	return out.String()
}

// row writes one line of the table.
func (a *ShardAccount) row(out *strings.Builder) {
	capacity := a.LongRunning + a.Finite + a.FreeWaiting + a.Free
	percent := func(part float64) string {
		if capacity == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f %%", part/capacity*100)
	}
	fmt.Fprintf(out, "%-20s %8.0f | %8s %8s %8s %8s | %8s %8s %8s\n", a.Name, capacity,
		percent(a.LongRunning), percent(a.Finite), percent(a.FreeWaiting), percent(a.Free),
		percent(a.Fillers), percent(a.HeldBack), percent(a.Unused))
}

// sum adds another account.
func (a *ShardAccount) sum(b *ShardAccount) {
	a.Seconds += b.Seconds
	a.LongRunning += b.LongRunning
	a.Finite += b.Finite
	a.FreeWaiting += b.FreeWaiting
	a.Free += b.Free
	a.Fillers += b.Fillers
	a.HeldBack += b.HeldBack
	a.Unused += b.Unused
}
