package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// Limits on the time to log one line while nobody reads the output. maxLineTimeP95 is
// 1% of the time between two tokens, whose 95th percentile is 32 ms. maxLineTime is the
// time to the first token, 1.6 s, which a blocked line would exceed.
const (
	maxLineTimeP95 = 320 * time.Microsecond
	maxLineTime    = 1600 * time.Millisecond
)

// Guards against requests that block on logging, a process that doesn't exit, and
// lines that are truncated or lost uncounted while nobody reads standard output.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	before := log.DefaultLogger
	t.Cleanup(func() { log.DefaultLogger = before })
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	q := newLogQueue(w)
	log.DefaultLogger = newLogger(q, "entry-1")

	const writers, lines = 8, 2000
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lineTimes []time.Duration
	for i := range writers {
		wg.Go(func() {
			for n := range lines {
				start := time.Now()
				log.Info().Str("event", "request").Str("request", fmt.Sprint(i, " ", n)).Msg("request ended")
				elapsed := time.Since(start)
				mu.Lock()
				lineTimes = append(lineTimes, elapsed)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(lineTimes)
	require.Less(t, lineTimes[len(lineTimes)*95/100], maxLineTimeP95)
	require.Less(t, lineTimes[len(lineTimes)-1], maxLineTime)
	t.Log("lines at 50, 95, 100%:", lineTimes[len(lineTimes)/2], lineTimes[len(lineTimes)*95/100], lineTimes[len(lineTimes)-1])
	requests := q.omitted[requestClass].Load()
	require.Positive(t, requests, "the queue never filled up")
	log.Error().Str("event", "log_lost").Msg("other lines have reserved room")
	require.Zero(t, q.omitted[otherClass].Load())

	start := time.Now()
	require.ErrorIs(t, q.close(), errOutputBlocked)
	require.Less(t, time.Since(start), 2*logFlushTimeout)

	results := make(chan map[string]int)
	go func() {
		counts := map[string]int{}
		for s := bufio.NewScanner(r); s.Scan(); {
			var line struct {
				Event    string `json:"event"`
				Requests int    `json:"requests"`
			}
			if err := json.Unmarshal(s.Bytes(), &line); err != nil {
				counts["broken"]++
				continue
			}
			counts[line.Event]++
			counts["omitted"] += line.Requests
		}
		results <- counts
	}()
	<-q.done // the reader has unblocked the queue
	w.Close()
	counts := <-results
	require.Zero(t, counts["broken"])
	require.Equal(t, 1, counts["log_lost"])
	require.Equal(t, writers*lines, counts["request"]+counts["omitted"]+int(q.omitted[requestClass].Load()), "every line is either written or counted as omitted")
}
