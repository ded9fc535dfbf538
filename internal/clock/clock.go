// Package clock reads the clock that measures the age of data.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM booted. Unlike Go's monotonic clock it
// advances while the VM is suspended, so that data from before a suspension counts
// as old afterwards. Unlike the wall clock it never jumps.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only if the kernel does not have this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
