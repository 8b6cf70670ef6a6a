package rehearser

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

const (
	watchInterval = 100 * time.Millisecond
	watchTimeout  = time.Second
)

// watcher reads the revision of every entry host all the time: it must never
// fall, on one process or across its successors.
type watcher struct {
	Done chan struct{} // closed when it has ended

	d *deployer.Deployment

	mu       sync.Mutex
	highest  map[string]int64 // by entry host
	reverted []string
}

func newWatcher(ctx context.Context, d *deployer.Deployment) *watcher {
	w := &watcher{Done: make(chan struct{}), d: d, highest: make(map[string]int64)}
	var parts sync.WaitGroup
	for _, m := range d.Domains {
		for _, e := range m.Entries {
			parts.Go(func() {
				for deployer.Sleep(ctx, watchInterval) {
					w.look(ctx, e)
				}
			})
		}
	}
	go func() {
		parts.Wait()
		close(w.Done)
	}()
	return w
}

func (w *watcher) look(ctx context.Context, e *deployer.Entry) {
	if e.Daemon() == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	revision, err := revisionOf(limited, e)
	if err != nil {
		return // not ready, paused or cut off: it serves no older one
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	name := e.Settings.Name
	if before := w.highest[name]; revision < before {
		w.reverted = append(w.reverted, fmt.Sprintf("%s went from revision %d back to %d", name, before, revision))
	}
	w.highest[name] = max(w.highest[name], revision)
}

func (w *watcher) faults() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.reverted...)
}
