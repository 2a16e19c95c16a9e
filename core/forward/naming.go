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

// stampRounding covers the fractions of a millisecond that two stamps leave out.
const stampRounding = 2 * time.Millisecond

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

// Instant is a time of a process with bounds for the clocks that continue when all
// processes restart. Each clock is at least at Earliest and at most at Latest, apart from
// the error of the time of day.
type Instant struct {
	Time             time.Duration
	Earliest, Latest Stamp
}

// NotAfter returns a stamp that is not after the time t, which is before the instant. It lacks
// the endpoints' clock if that has just begun: by one that begins anew within seconds, less
// time would seem to have passed, and the time of day would not contradict it.
func (i Instant) NotAfter(t time.Duration) Stamp {
	s := i.Earliest.Before(i.Time - t + stampRounding)
	if s.EndpointClockMs <= milliseconds(2*maxWallClockError+maxClockError) {
		s.EndpointClockMs = 0
	}
	return s
}

// NotBefore returns a stamp that is not before the time t, which is before the instant.
func (i Instant) NotBefore(t time.Duration) Stamp { return i.Latest.Before(i.Time - t - stampRounding) }

// StoredNaming is the record of when a weight version was named, which lets processes that
// start after all others have stopped know how long older versions may still be used.
type StoredNaming struct {
	WeightVersion
	Previous int64 // version that was the newest before, 0 if none
	At       Stamp // earliest time at which the version may have been named
	KnownAt  Stamp // latest time at which it may have been named
}

// Naming converts the record to the process's clock, given the current instant.
func (n *StoredNaming) Naming(now Instant) Naming {
	return Naming{
		WeightVersion: n.WeightVersion, Previous: n.Previous,
		SetAt: now.Time - now.Latest.ElapsedSince(n.At), KnownAt: now.Time - now.Earliest.MinElapsedSince(n.KnownAt),
	}
}
