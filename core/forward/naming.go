package forward

import "time"

// Stamp is an instant on clocks that continue when all processes of a deployment restart.
type Stamp struct {
	EndpointClockMs float64 // clock of the endpoints and stores, 0 if unknown
	UnixMs          int64   // time of day of the host
}

// maxWallClockError bounds how far the times of day of two hosts, or of one host at two
// instants, differ from the true difference.
const maxWallClockError = 5 * time.Second

// Before returns the stamp of an instant that is earlier by d.
func (s Stamp) Before(d time.Duration) Stamp {
	if s.EndpointClockMs != 0 {
		s.EndpointClockMs -= milliseconds(d)
	}
	s.UnixMs -= d.Milliseconds()
	return s
}

// ElapsedSince returns an upper bound for the time since an earlier stamp. The endpoints'
// clock is used where both stamps have it and it agrees with the time of day.
func (s Stamp) ElapsedSince(earlier Stamp) time.Duration {
	if elapsed, ok := s.onEndpointClock(earlier); ok {
		return elapsed
	}
	return max(s.onWallClock(earlier)+maxWallClockError, 0)
}

// MinElapsedSince returns a lower bound for the time since an earlier stamp.
func (s Stamp) MinElapsedSince(earlier Stamp) time.Duration {
	if elapsed, ok := s.onEndpointClock(earlier); ok {
		return elapsed
	}
	return max(s.onWallClock(earlier)-maxWallClockError, 0)
}

func (s Stamp) onWallClock(earlier Stamp) time.Duration {
	return time.Duration(s.UnixMs-earlier.UnixMs) * time.Millisecond
}

// onEndpointClock returns the time since an earlier stamp by the endpoints' clock, and false
// if a stamp lacks it or it contradicts the time of day.
func (s Stamp) onEndpointClock(earlier Stamp) (time.Duration, bool) {
	if s.EndpointClockMs == 0 || earlier.EndpointClockMs == 0 {
		return 0, false
	}
	elapsed := time.Duration((s.EndpointClockMs - earlier.EndpointClockMs) * float64(time.Millisecond))
	return elapsed, elapsed >= 0 && (elapsed-s.onWallClock(earlier)).Abs() <= maxWallClockError
}

// StoredNaming is the record of when a weight version was named, which lets processes that
// start after all others have stopped know how long older versions may still be used.
type StoredNaming struct {
	WeightVersion
	Previous int64 // version that was the newest before, 0 if none
	At       Stamp // earliest time at which the version may have been named
	KnownAt  Stamp // latest time at which it may have been named
}

// Naming converts the record, given the current time on the stamp's clocks and on the
// process's clock.
func (n *StoredNaming) Naming(stamp Stamp, now time.Duration) Naming {
	return Naming{
		WeightVersion: n.WeightVersion, Previous: n.Previous,
		SetAt: now - stamp.ElapsedSince(n.At), KnownAt: now - stamp.MinElapsedSince(n.KnownAt),
	}
}
