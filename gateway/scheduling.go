package gateway

import "fmt"

// Scheduling holds the settings of queueing, refusal and placement. Without the object in the
// settings, requests get the decisions that they got before these settings existed.
type Scheduling struct {
	RetryRefused int `json:"retryRefused"` // rejected attempts of a request that don't count towards the route's maximum
}

// maxRetryRefused bounds Scheduling.RetryRefused.
const maxRetryRefused = 2

func (c *Scheduling) validate() (errs []error) {
	if c == nil {
		return nil
	}
	if c.RetryRefused < 0 || c.RetryRefused > maxRetryRefused {
		errs = append(errs, fmt.Errorf("scheduling.retryRefused is %d; want 0 to %d", c.RetryRefused, maxRetryRefused))
	}
	return errs
}

// scheduling returns the settings of scheduling, with everything off if there are none.
func (s *state) scheduling() Scheduling {
	if s.settings.Scheduling == nil {
		return Scheduling{}
	}
	return *s.settings.Scheduling
}
