// Command demo starts a deployment on loopback and demonstrates its main features.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/platform/soak"
)

type options struct {
	Bin  string `long:"bin" default:"bin" description:"folder of the programs"`
	Keep bool   `long:"keep" description:"leave the deployment up until interrupted"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

const demoTimeout = time.Minute

// Customers of the demo.
const (
	roadways = "vadodara-roadways"
	haulage  = "kutch-haulage"
)

// step is one part of the demo, which prints one or a few lines.
type step struct {
	name string
	run  func(ctx context.Context, d *local.Deployment) error
}

// steps returns the parts of the demo in order. Steps that change the deployment come
// last.
func steps() []step {
	return []step{
		{"first prompt", sendFirstPrompt},
		{"returning conversation", resumeConversation},
		{"payment", repeatPayment},
		{"configuration change", changeConfiguration},
		{"silent connection", silenceConnections},
		{"leaving agent", stopAgent},
	}
}

func run(o options) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d, err := local.Start(ctx, local.Options{Bin: o.Bin, Agents: 4, Entries: 2, Services: 2, Stores: 2, Customers: []string{roadways, haulage}, Forward: true})
	if err != nil {
		return err
	}
	defer d.Stop()
	for _, s := range steps() {
		if err := s.run(ctx, d); err != nil {
			return fmt.Errorf("%s: %w\n%s", s.name, err, d.Log("entry-0"))
		}
	}
	if err := runForwarding(ctx, o.Bin); err != nil {
		return fmt.Errorf("forwarding: %w", err)
	}
	if o.Keep {
		waitForInterrupt(d)
	}
	return nil
}

// forwardHost is the loopback address on which the forwarding entries listen.
const forwardHost = "127.71.100.1"

// runForwarding demonstrates the forwarding entries of the users' platform: a forwarded
// call, a stream and the removal of a key.
func runForwarding(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "galenaweir-demo-forward-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return soak.Demo(ctx, soak.Options{BinDir: bin, WorkDir: dir, Host: forwardHost, Output: os.Stdout})
}

// waitForInterrupt prints commands to use the deployment and waits for an interrupt.
func waitForInterrupt(d *local.Deployment) {
	fmt.Printf("\nthe deployment is up; interrupt to stop it\n\n")
	fmt.Printf("curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"permit history\"}]}'\n",
		d.CallerAddresses[0], local.APIKey(roadways), local.Model)
	for _, name := range []string{"entry-0", "entry-1", "agent-0"} {
		fmt.Printf("curl http://%s/debug/vars   # %s\n", d.OperatorAddresses[name], name)
	}
	fmt.Printf("curl -X POST http://%s/v1/evict   # engine 0\n", d.EngineAddresses[0])
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	<-ch
}
