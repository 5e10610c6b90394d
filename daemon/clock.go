package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine started. It runs on while the
// machine sleeps and never jumps when somebody sets the date: a lease counted
// on a clock that stops during sleep would look alive after waking, although
// everybody else saw it lapse.
func Clock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing here
		// can be trusted.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
