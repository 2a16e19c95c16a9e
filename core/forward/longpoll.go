package forward

import "time"

// LongPoll is a completed read that waited at the log for records.
type LongPoll struct {
	Started   time.Duration // before the request was sent
	Ended     time.Duration // after the answer arrived
	Wait      time.Duration // that the request stated, in whole milliseconds
	Empty     bool          // the log's end has not moved: there was no record, not even one of an unknown key
	Partial   bool          // the log held further records when it answered
	Suspended bool          // the process was suspended meanwhile, or that is not known
}

// Proof returns a time before which no record is missing after the read. The log begins the wait
// after the request was sent, so the wait of an empty answer ended at the earliest at Started + Wait.
// An answer that arrived sooner came before the end of the wait. The answer must be of the same era
// as the offset that was read from.
//
// The proof would also hold if the process was suspended meanwhile. It is not used then, so that a
// read counts as later than a suspension only if it started after it.
func (p *LongPoll) Proof() time.Duration {
	if !p.Empty || p.Partial || p.Suspended || p.Wait <= 0 || p.Ended-p.Started < p.Wait {
		return p.Started
	}
	return p.Started + p.Wait
}

// NextPollWait returns the wait of the next long poll, given the age that the last proof has now. The
// age at the end of the wait is then at most the wait of the settings, also after a read that records
// ended shortly before the end of its wait: it proves only its start.
func NextPollWait(wait, age time.Duration) time.Duration {
	return max(0, wait-max(0, age)).Truncate(time.Millisecond) // requests state whole milliseconds
}
