package manager

import (
	"context"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
)

// A daemon that has crashed starts again under its name. Its new process shows that the former one
// has ended, so that a new owner needn't assume that the former one still renews leases.

// identifyProcess returns what identifies this process, see recorder.Host. The store's revision
// never falls, so a later process has a higher one if anything was written in between.
func (m *Manager) identifyProcess(ctx context.Context) (int64, error) {
	if known := m.process.Load(); known != 0 {
		return known, nil
	}
	items, revision, err := m.store.List(ctx, m.hostRecord.key)
	if err != nil {
		return 0, err
	}
	for _, item := range items { // also those of hosts whose names begin with this one's
		if item.Key == m.hostRecord.key {
			m.hostRecord.revision = item.Revision
		}
	}
	m.process.Store(revision)
	return revision, nil
}

// hasEnded reports whether a process of a daemon has ended, as far as the view shows.
func (m *Manager) hasEnded(daemon string, process int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, ok := m.view.hosts[daemon]
	return ok && isLaterProcess(&host, process)
}

// hasPreviousEnded reports whether the process has ended that owned the shard before, by the host
// record of its daemon.
func (o *ownedShard) hasPreviousEnded(host *recorder.Host) bool {
	return isLaterProcess(host, o.fence.PreviousProcess)
}

// isLaterProcess reports whether a host record is of a later process of its daemon.
func isLaterProcess(host *recorder.Host, process int64) bool {
	return process != 0 && host.Process > process
}
