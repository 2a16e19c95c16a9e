package local_test

import (
	"context"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/bench/callers"
	"github.com/galenaweir/galenaweir/bench/local"
)

const (
	customer    = "vadodara-roadways"
	waitTimeout = 20 * time.Second
)

// startDeployment builds the programs and starts a deployment with one entry and one
// agent.
func startDeployment(t *testing.T) *local.Deployment {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-tags", "netcgo", "-o", bin+"/", "../../cmd/...", "../../standin/cmd/...").CombinedOutput()
	require.NoError(t, err, string(out))
	d, err := local.Start(t.Context(), local.Options{Bin: bin, Agents: 1, Entries: 1, Customers: []string{customer}})
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	return d
}

// Guards against a shutdown that interrupts a running answer on the first SIGTERM, or
// that keeps waiting or doesn't log the interrupted requests on the second.
func TestStop(t *testing.T) {
	for _, name := range []string{"entry-0", "agent-0"} {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t)
			p := d.Processes[name]
			const seconds, tokensPerSecond = 1, 200
			_, err := callers.Complete(t.Context(), callers.New(d, 0, customer, nil), "permit", seconds*tokensPerSecond, func(callers.Answer) {
				p.Signal(syscall.SIGTERM)
			})
			require.NoError(t, err, "a running answer completes")
			require.True(t, p.Wait(waitTimeout))
			require.Zero(t, p.ExitCode(), d.Log(name))

			require.NoError(t, p.Restart())
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			require.NoError(t, d.WaitReady(ctx))
			_, err = callers.Complete(ctx, callers.New(d, 0, customer, nil), "permit", 30*tokensPerSecond, func(callers.Answer) {
				p.Signal(syscall.SIGTERM)
				require.Eventually(t, func() bool { return d.CheckReady(t.Context()) != nil }, waitTimeout, time.Millisecond)
				p.Signal(syscall.SIGTERM)
			})
			require.Error(t, err)
			require.True(t, p.Wait(waitTimeout), d.Log(name))
			require.Equal(t, 1, p.ExitCode())
			require.Contains(t, d.Log(name), ": cut ")
		})
	}
}
