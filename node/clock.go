package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime runs on while the machine sleeps. The steady clock that timers use
// doesn't, so an owner that slept would believe that its word still holds.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}
