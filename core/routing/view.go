package routing

import "time"

// Backlog estimates the outstanding work of a server with a known processing rate:
// prefill tokens at an endpoint, or bytes on a link. It corrects the last report
// by the work that the caller has added and by the progress since.
type Backlog struct {
	amount    float64
	updatedAt time.Duration
}

// Set replaces the estimate by a reported amount.
func (b *Backlog) Set(amount float64, now time.Duration) { b.amount, b.updatedAt = amount, now }

// Add adds work that the caller itself has submitted.
func (b *Backlog) Add(amount, perSecond float64, now time.Duration) {
	b.amount, b.updatedAt = b.Remaining(perSecond, now)+amount, now
}

// Remaining returns the work that remains at the given time.
func (b *Backlog) Remaining(perSecond float64, now time.Duration) float64 {
	return max(0, b.amount-perSecond*(now-b.updatedAt).Seconds())
}

// LoadReport is the load of one endpoint, which its agent sends with the first and the
// last frame of each response.
type LoadReport struct {
	Running      int
	Waiting      int
	QueuedTokens int
	AheadTokens  [NumClasses]int // by class, the queued tokens that are served before a new request of the class
	SlotTime     time.Duration
}

// NumClasses is the number of priority classes that a report distinguishes.
const NumClasses = 3

// EndpointView is one entry's estimate of the load of one endpoint. The zero value
// has no report. Times are durations since an arbitrary fixed instant.
type EndpointView struct {
	report      LoadReport
	reportedAt  time.Duration
	hasReport   bool
	ownTokens   Backlog // prefill tokens of the requests sent by this entry since the report
	ownInFlight int     // number of these requests
}

// ApplyReport replaces the load by a new report, which already includes the requests
// that this entry has sent before.
func (v *EndpointView) ApplyReport(r LoadReport, now time.Duration) {
	v.report, v.reportedAt, v.hasReport = r, now, true
	v.ownTokens, v.ownInFlight = Backlog{updatedAt: now}, 0
}

// AddRequest adds a request that this entry has sent to the endpoint.
func (v *EndpointView) AddRequest(tokens int, prefillRate float64, now time.Duration) {
	v.ownTokens.Add(float64(tokens), prefillRate, now)
	v.ownInFlight++
}

// FillLoad sets the load fields of the candidate for a request of the given class.
func (v *EndpointView) FillLoad(c *Candidate, class int, prefillRate float64, now time.Duration) {
	c.ReportAge = -1
	if v.hasReport {
		c.ReportAge = now - v.reportedAt
		c.Running, c.Waiting, c.QueuedTokens = v.report.Running, v.report.Waiting, v.report.QueuedTokens
		c.AheadTokens, c.SlotTime = v.report.AheadTokens[class], v.report.SlotTime
	}
	c.OwnInFlight, c.OwnTokens = v.ownInFlight, int(v.ownTokens.Remaining(prefillRate, now))
}
