// Package clock reads the clock by which ages are told.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM started. Unlike Go's monotonic clock it
// goes on while the VM is suspended, and unlike the time of day it never
// jumps, so that what was known before a suspension is known to be old after.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only for a clock that the kernel does not have.
		panic(err)
	}
	return time.Duration(now.Nano())
}
