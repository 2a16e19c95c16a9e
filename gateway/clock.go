package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed instant, including time while suspended.
type Clock func() time.Duration

// Boottime returns the time since boot from CLOCK_BOOTTIME, which keeps running while
// the host is suspended, unlike the monotonic clock of package time.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}
