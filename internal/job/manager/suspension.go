package manager

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionLimit is the shortest suspension of the host that is noticed.
const suspensionLimit = 300 * time.Millisecond

// suspension notices that the host was suspended: the steady clock does not
// count that time, so leases seem to hold that have long lapsed.
type suspension struct {
	offset time.Duration // of the boot time clock from the steady clock
	known  bool
}

// hasPassed reports whether the host was suspended since the last call.
func (s *suspension) hasPassed() bool {
	offset, ok := bootOffset()
	if !ok {
		return false
	}
	before, known := s.offset, s.known
	s.offset, s.known = offset, true
	return known && offset-before > suspensionLimit
}

// bootOffset is what the boot time clock is ahead of the steady clock.
func bootOffset() (time.Duration, bool) {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - steady.Nano()), true
}
