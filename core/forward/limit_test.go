package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that ends, rises or falls because an older answer arrives after a newer
// one.
func TestStatementsAboutALimitMayOvertakeEachOther(t *testing.T) {
	at := func(perSecond float64, sent, received int) LimitStatement {
		return LimitStatement{perSecond, time.Duration(sent) * time.Millisecond, time.Duration(received) * time.Millisecond}
	}
	for _, c := range []struct {
		name       string
		statements []LimitStatement
		want       float64
	}{
		{"none", nil, Unlimited},
		{"named", []LimitStatement{at(2, 0, 10)}, 2},
		{"falls", []LimitStatement{at(2, 0, 10), at(1, 10, 20)}, 1},
		{"rises", []LimitStatement{at(2, 0, 10), at(3, 10, 20)}, 3},
		{"ends", []LimitStatement{at(2, 0, 10), at(Unlimited, 10, 20)}, Unlimited},
		{"zero", []LimitStatement{at(0, 0, 10)}, 0},
		{"older one without a limit arrives late", []LimitStatement{at(2, 50, 60), at(Unlimited, 0, 100)}, 2},
		{"older one with a lower limit arrives late", []LimitStatement{at(2, 50, 60), at(1, 0, 100)}, 1},
		{"certainly older, told by a peer", []LimitStatement{at(2, 50, 60), at(1, 0, 50)}, 2},
		{"order unknown, until an answer to a later request", []LimitStatement{at(1, 0, 100), at(3, 90, 110), at(3, 100, 120)}, 3},
		{"ended by one of many requests under way", []LimitStatement{at(1, 0, 100), at(Unlimited, 95, 105), at(Unlimited, 99, 110), at(Unlimited, 104, 115)}, Unlimited},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l EndpointLimit
			for _, s := range c.statements {
				l.Observe(s, true, s.ReceivedAt)
			}
			require.Equal(t, c.want, l.PerSecond())
		})
	}
}
