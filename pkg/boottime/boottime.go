// Package boottime tells a time that neither steps of the wall clock nor a
// suspension of the VM hide. Go's monotonic clock stands still in a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's start as a time.Time without a monotonic
// reading. Only differences between two results mean anything.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel knows this clock since 2.6.39; the wall clock is the nearest one.
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
