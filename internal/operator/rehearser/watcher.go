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

// watcher polls the revision of the configuration of every entry host. A revision
// that decreases, in one process or from one to its successor, is a violation.
type watcher struct {
	Done chan struct{} // closed when the watcher has ended

	deployment *deployer.Deployment

	mu        sync.Mutex
	highest   map[string]int64 // highest revision seen, by the entry host's name
	decreases []string         // violations in words
}

// newWatcher starts a watcher, which ends with ctx.
func newWatcher(ctx context.Context, d *deployer.Deployment) *watcher {
	w := &watcher{Done: make(chan struct{}), deployment: d, highest: make(map[string]int64)}
	var polls sync.WaitGroup
	for _, domain := range d.Domains {
		for _, entry := range domain.Entries {
			polls.Go(func() {
				for deployer.Sleep(ctx, watchInterval) {
					w.poll(ctx, entry)
				}
			})
		}
	}
	go func() {
		polls.Wait()
		close(w.Done)
	}()
	return w
}

// poll reads the revision of one entry host.
func (w *watcher) poll(ctx context.Context, entry *deployer.Entry) {
	if entry.Daemon() == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	revision, err := revisionOf(callCtx, entry)
	if err != nil {
		return // not ready, paused or cut off, so it uses no older revision
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	name := entry.Settings.Name
	if before := w.highest[name]; revision < before {
		w.decreases = append(w.decreases, fmt.Sprintf("%s went from revision %d back to %d", name, before, revision))
	}
	w.highest[name] = max(w.highest[name], revision)
}

// violations returns the decreases seen so far.
func (w *watcher) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.decreases...)
}
