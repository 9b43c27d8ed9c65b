package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the fallback origin on a kernel without the boot clock.
var processStart = time.Now()

// Now returns the time since the machine was started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
