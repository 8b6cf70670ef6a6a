package manager

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionLimit is the shortest suspension of the host that is detected.
const suspensionLimit = 300 * time.Millisecond

// suspension detects that the host was suspended. The monotonic clock doesn't
// advance during a suspension, so expired leases may still look valid.
type suspension struct {
	offset  time.Duration // boot time clock minus monotonic clock at the last call
	isKnown bool
}

// occurred reports whether the host was suspended since the last call.
func (s *suspension) occurred() bool {
	offset, ok := bootOffset()
	if !ok {
		return false
	}
	before, known := s.offset, s.isKnown
	s.offset, s.isKnown = offset, true
	return known && offset-before > suspensionLimit
}

// bootOffset returns the boot time clock minus the monotonic clock.
func bootOffset() (time.Duration, bool) {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - steady.Nano()), true
}
