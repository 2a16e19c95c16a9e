package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/metrics"
	"github.com/galenaweir/galenaweir/wait"
)

// Observation of the processor time that this process gets.
const (
	delaySampleInterval = 200 * time.Millisecond
	delayQuantile       = 0.9
	shortDelay          = 50 * time.Millisecond // from which the process counts as short of processor time; it is below 10 ms at the usual load
	shortSamples        = 2                     // consecutive samples after which the state changes; a suspension shows in one
)

// processorState says whether the process has been short of processor time in the last samples.
type processorState struct {
	short bool
	other int // consecutive samples that say otherwise
}

// observe adds a sample and reports whether the state has changed.
func (p *processorState) observe(delay time.Duration) bool {
	if p.other++; (delay >= shortDelay) == p.short {
		p.other = 0
	}
	if p.other < shortSamples {
		return false
	}
	p.short, p.other = !p.short, 0
	return true
}

// watchDelay logs when the process becomes short of processor time, and when it no longer is: all
// that it does, reading the log included, is late then.
func (g *Gateway) watchDelay(ctx context.Context) {
	delays, processor := metrics.NewSchedulingDelay(), processorState{}
	for wait.For(ctx, delaySampleInterval) {
		delay := delays.Quantile(delayQuantile)
		g.schedulingDelay.Store(int64(delay))
		changed := processor.observe(delay)
		g.state.mu.Lock()
		g.state.processorShort = processor.short
		g.state.shedder.Adjust(delay >= shortDelay, g.clock())
		shares := g.state.shedder.Shares()
		g.state.mu.Unlock()
		if n := g.shed.Swap(0); n > 0 {
			log.Warn().Str("event", "requests_shed").Int64("requests", n).Any("share", shares).Dur("delay_ms", delay).Msg("requests were refused before they were placed, as this entry is short of processor time")
		}
		if !changed {
			continue
		}
		line, message := log.Info().Str("event", "processor_enough"), "tasks run in time again"
		if processor.short {
			line, message = log.Warn().Str("event", "processor_short"), "tasks that could run wait for the processor; requests wait unread, and changes come late"
		}
		line.Dur("delay_ms", delay).Int64("in_flight", g.inFlight.Load()).Int("caller_connections", g.callerConns.Open()).Int("idle", g.callerConns.Idle()).Msg(message)
	}
}
