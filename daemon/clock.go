package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine was booted. It continues while the
// machine is suspended, and is not affected by changes of the system time. On a
// clock that stops during suspension, a lease would still seem valid after resuming,
// although it has expired for everybody else.
func Clock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; without it no lease can be measured.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
