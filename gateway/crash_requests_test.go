package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that ends one endpoint after the other as its caller sends it again and
// again through any entry, whatever its kind and whether it has a prompt.
func TestRequestThatCrashesEndpointsIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		entries int
		path    string
		mode    crashMode
		prompt  []string
	}{
		"safe call":                     {4, "/safe/x", crashBeforeHead, nil},
		"safe call, after the head":     {4, "/safe/x", crashAfterHead, nil},
		"payment":                       {4, "/unsafe/x", crashBeforeHead, nil},
		"stream without prompt":         {4, "/stream/x", crashAfterHead, nil},
		"prompt whose last part is bad": {4, "/resumable/x", crashBeforeHead, []string{"first", "own"}},
		"prompt of one part":            {4, "/stream/x", crashAfterHead, []string{"own"}},
		"one entry":                     {1, "/safe/x", crashBeforeHead, nil},
		"31 entries":                    {31, "/safe/x", crashBeforeHead, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := newCrashGroup(t, c.entries, 4, "bad body")
			g.mode = c.mode
			sound, served, status := 0, 0, 0
			for i := range 100 {
				sound++
				served += boolInt(g.sendBody(i, c.path, "key", fmt.Sprint("body", i), c.prompt...) == 200)
				if i%5 == 0 {
					status = g.sendBody(i/5, c.path, "key", "bad body", c.prompt...)
				}
				g.step(crashStep)
			}
			require.LessOrEqual(t, g.lateAfter(3), 3, "%d such requests reached endpoints, %d crashes", len(g.arrivals), len(g.crashes))
			require.Equal(t, 503, status, "the request is refused at once")
			require.LessOrEqual(t, len(g.crashes), 4)
			require.GreaterOrEqual(t, served, sound*9/10)
		})
	}
}
