package routing

import "time"

// Backlog is an amount of work that a server processes at a known rate: prefill
// tokens at an endpoint, or bytes on a link. It corrects a lagging report by the
// reader's own additions and by what has been processed since.
type Backlog struct {
	amount float64
	at     time.Duration
}

// Set takes a report of the amount at the time.
func (b *Backlog) Set(amount float64, now time.Duration) { b.amount, b.at = amount, now }

// Add counts work added by the reader itself.
func (b *Backlog) Add(amount, perSecond float64, now time.Duration) {
	b.amount, b.at = b.At(perSecond, now)+amount, now
}

// At returns what is left of the work.
func (b *Backlog) At(perSecond float64, now time.Duration) float64 {
	return max(0, b.amount-perSecond*(now-b.at).Seconds())
}

// Report is the load of one endpoint as its agent states it on an answer's first
// and last frame.
type Report struct {
	Running      int
	Waiting      int
	QueuedTokens int
	AheadTokens  [Classes]int // queued tokens that go before a request of the class
	SlotTime     time.Duration
}

// Classes is the number of priority classes that a report distinguishes.
const Classes = 3

// EndpointView is what one entry knows of one endpoint's load. The zero value is
// an endpoint without a report. Times count from any fixed instant.
type EndpointView struct {
	report   Report
	at       time.Duration
	reported bool
	own      Backlog // prefill tokens of the entry's choices since the report
	flight   int     // and their number
}

// Report takes a load report, which includes the entry's earlier choices.
func (v *EndpointView) Report(r Report, now time.Duration) {
	v.report, v.at, v.reported = r, now, true
	v.own, v.flight = Backlog{at: now}, 0
}

// Chose counts one of the entry's own choices.
func (v *EndpointView) Chose(tokens int, prefillRate float64, now time.Duration) {
	v.own.Add(float64(tokens), prefillRate, now)
	v.flight++
}

// Fill sets the load fields of the candidate for a request of the class.
func (v *EndpointView) Fill(c *Candidate, class int, prefillRate float64, now time.Duration) {
	c.ReportAge = -1
	if v.reported {
		c.ReportAge = now - v.at
		c.Running, c.Waiting, c.QueuedTokens = v.report.Running, v.report.Waiting, v.report.QueuedTokens
		c.AheadTokens, c.SlotTime = v.report.AheadTokens[class], v.report.SlotTime
	}
	c.OwnInFlight, c.OwnTokens = v.flight, int(v.own.At(prefillRate, now))
}
