package gateway

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/callerconn"
)

const stallTestBytes = 100 << 10

// startAnswer has a caller request an answer of stallTestBytes bytes, of which it reads none yet.
// The returned channel receives the error of the handler's last write.
func startAnswer(t *testing.T) (*idleCaller, <-chan error) {
	ended := make(chan error, 1)
	f := newIdleFixture(t, time.Minute, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(bytes.Repeat([]byte("x"), stallTestBytes))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		ended <- err
	}))
	c := f.connect()
	_, err := io.WriteString(c.conn, idleTestRequest)
	require.NoError(t, err)
	return c, ended
}

// Guards against a caller that stops reading, or reads a byte now and then, and holds the buffers of
// its answer.
func TestCallerThatStopsReadingIsCut(t *testing.T) {
	for name, pause := range map[string]time.Duration{"nothing is read": 0, "a byte now and then": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, ended := startAnswer(t)
				startedAt := time.Now()
				if pause > 0 {
					go func() {
						var b [1]byte
						for err := error(nil); err == nil; time.Sleep(pause) {
							_, err = c.conn.Read(b[:])
						}
					}()
				}
				require.Error(t, <-ended)
				require.LessOrEqual(t, time.Since(startedAt), callerconn.Pause+callerconn.MaxWriteBytes*time.Second/callerconn.MinRate)
				time.Sleep(2 * pause) // until the reader has seen the end
			})
		})
	}
}

// Guards against an answer that is cut because its caller is slow, or stood still for a while.
func TestSlowCallerGetsItsWholeAnswer(t *testing.T) {
	for name, c := range map[string]struct{ read, pauseMs, standsStillMs int }{
		"steady":                {1 << 10, 1000, 0},
		"in large steps":        {8 << 10, 8000, 0},
		"stands still, then on": {64 << 10, 100, 14_000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller, ended := startAnswer(t)
				time.Sleep(time.Duration(c.standsStillMs) * time.Millisecond)
				head, err := http.ReadResponse(caller.br, nil)
				require.NoError(t, err)
				n, err := io.Copy(io.Discard, &slowReader{head.Body, c.read, time.Duration(c.pauseMs) * time.Millisecond})
				require.NoError(t, err)
				require.EqualValues(t, stallTestBytes, n)
				require.NoError(t, <-ended)
			})
		})
	}
}

// slowReader pauses after each read of a number of bytes.
type slowReader struct {
	r     io.Reader
	bytes int
	pause time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	n, err := io.ReadFull(s.r, p[:min(len(p), s.bytes)])
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	time.Sleep(s.pause)
	return n, err
}
