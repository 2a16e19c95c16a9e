package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed instant, including suspends.
type Clock func() time.Duration

// Boottime is the kernel's clock that goes on while the host is suspended, which
// the monotonic clock of package time doesn't.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every kernel that this program runs on
	}
	return time.Duration(ts.Nano())
}
