// Package boottime provides a monotonic clock that includes the time during which the VM
// is suspended. Go's monotonic clock stops during a suspension, and the wall clock may
// be stepped.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's boot as a time.Time without a monotonic reading.
// Only the difference between two results is meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels before 2.6.39 lack this clock; the wall clock is the closest substitute.
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
