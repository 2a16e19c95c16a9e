package forward

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
)

// Bounds on the entry of an endpoint. Another writer may have left one with any values in the list, and
// an entry outside the bounds names no endpoint: its numbers would overflow in sums, or cost more time
// with each placement than the process has.
const (
	maxEndpointTextBytes = 512
	maxEndpointSlots     = 1 << 20
	maxEndpointModels    = 256
	maxEndpointNumber    = 1 << 53 // of heartbeats, starts and versions; the largest that JSON numbers hold exactly
	maxWarmUp            = 24 * time.Hour
)

// Validate returns why an entry names no endpoint to use, or nil.
func (e *Endpoint) Validate() error {
	for name, text := range map[string]string{"ID": e.ID, "service": e.Service, "address": e.Address} {
		if text == "" {
			return fmt.Errorf("the %s is empty", name)
		}
	}
	texts := []string{e.ID, e.Service, e.Address, e.FailureDomain, e.Build}
	numbers := []int64{e.StartedUnixMs, e.Heartbeat}
	for _, m := range e.Models {
		texts, numbers = append(texts, m.Name), append(numbers, m.Version)
	}
	for _, text := range texts {
		if len(text) > maxEndpointTextBytes || strings.ContainsFunc(text, unicode.IsControl) {
			return fmt.Errorf("the text %.40q has %d bytes or control characters; want at most %d bytes without", text, len(text), maxEndpointTextBytes)
		}
	}
	for _, n := range numbers {
		if n < 0 || n > maxEndpointNumber {
			return fmt.Errorf("the heartbeat, start or version %d is not between 0 and %d", n, int64(maxEndpointNumber))
		}
	}
	address, err := netip.ParseAddrPort(e.Address)
	switch {
	case err != nil:
		return fmt.Errorf("parse address: %w", err)
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return fmt.Errorf("nothing can be sent to the address %s", address)
	case e.Slots < 1 || e.Slots > maxEndpointSlots:
		return fmt.Errorf("the number of slots %d is not between 1 and %d", e.Slots, maxEndpointSlots)
	case e.WarmUpRemaining < 0 || e.WarmUpRemaining > maxWarmUp:
		return fmt.Errorf("the remaining warm-up is not between 0 and %s", maxWarmUp)
	case len(e.Models) > maxEndpointModels:
		return errors.New("too many models")
	}
	return nil
}
