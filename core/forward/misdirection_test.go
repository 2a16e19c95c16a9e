package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against endpoints that go on getting prompts at an address that another endpoint now has, and
// against a pause for those that only have other weights.
func TestAddressReused(t *testing.T) {
	for name, c := range map[string]struct {
		m      Misdirection
		reused bool
	}{
		"another ID":                             {Misdirection{StatedEndpoint: "e1", ExpectedVersion: 3, NewestVersion: 3}, true},
		"another ID and other weights":           {Misdirection{StatedEndpoint: "e1", ExpectedVersion: 3, StatedVersion: 4}, true},
		"its own ID":                             {Misdirection{StatedEndpoint: "e0", ExpectedVersion: 3, NewestVersion: 3}, false},
		"its own ID, any version":                {Misdirection{StatedEndpoint: "e0"}, false},
		"nothing stated, any version":            {Misdirection{}, true},
		"a newer version":                        {Misdirection{ExpectedVersion: 3, StatedVersion: 4, NewestVersion: 3}, false},
		"an older version":                       {Misdirection{ExpectedVersion: 3, StatedVersion: 2, NewestVersion: 3}, false},
		"the expected version":                   {Misdirection{ExpectedVersion: 3, StatedVersion: 3, NewestVersion: 4}, true},
		"nothing stated, the newest version":     {Misdirection{ExpectedVersion: 3, NewestVersion: 3}, true},
		"nothing stated, a newer one is named":   {Misdirection{ExpectedVersion: 3, NewestVersion: 4}, false},
		"nothing stated, no version is observed": {Misdirection{ExpectedVersion: 3}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c.m.Endpoint = "e0"
			require.Equal(t, c.reused, c.m.AddressReused())
		})
	}
}

// Guards against attempts that run a request beyond its route's maximum, and against rejected ones that
// use the maximum up.
func TestCountedAttempts(t *testing.T) {
	for name, c := range map[string]struct{ sent, notRun, uncounted, want int }{
		"off":                       {2, 2, 0, 2},
		"none rejected":             {2, 0, 2, 2},
		"one of two rejected":       {2, 1, 1, 1},
		"more rejected than exempt": {3, 3, 2, 1},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, CountedAttempts(c.sent, c.notRun, c.uncounted)) })
	}
}
