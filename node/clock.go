package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns a clock that includes the time for which the machine is suspended. The monotonic
// clock that timers use doesn't, so after a suspension an owner would take its lease of the pool
// for still valid.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
