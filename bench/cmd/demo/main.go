// Command demo brings up a deployment on loopback and runs the main job.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	openai "github.com/sashabaranov/go-openai"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/standin/engine"
)

type options struct {
	Bin  string `long:"bin" default:"bin" description:"folder of the programs"`
	Keep bool   `long:"keep" description:"leave the deployment up until a key is pressed"`
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

const demoLimit = time.Minute

func run(o options) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	d, err := local.Start(ctx, local.Options{Bin: o.Bin, Agents: 4, Entries: 2, Services: 2, Customers: []string{"vadodara-roadways", "kutch-haulage"}})
	if err != nil {
		return err
	}
	defer d.Stop()
	if err := firstPrompt(ctx, d); err != nil {
		return fmt.Errorf("%w\n%s", err, d.Log("entry-0"))
	}
	return nil
}

func client(d *local.Deployment, entry int, customer string) *openai.Client {
	c := openai.DefaultConfig(local.Secret(customer))
	c.BaseURL = "http://" + d.CallerAddress[entry] + "/v1"
	return openai.NewClientWithConfig(c)
}

func firstPrompt(ctx context.Context, d *local.Deployment) error {
	const tokens = 40
	text := "Permit history of GJ-06-AX-4411: " + strings.Repeat("crossed checkpoint, levy paid. ", 200)
	msgs := []openai.ChatCompletionMessage{{Role: "user", Content: text}}
	start := time.Now()
	s, err := client(d, 0, "vadodara-roadways").CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{Model: local.Model, Messages: msgs, MaxCompletionTokens: tokens, Stream: true})
	if err != nil {
		return err
	}
	defer s.Close()
	var b strings.Builder
	var first time.Duration
	for {
		r, err := s.Recv()
		if err != nil {
			break
		}
		for _, c := range r.Choices {
			if c.Delta.Content != "" && first == 0 {
				first = time.Since(start)
			}
			b.WriteString(c.Delta.Content)
		}
	}
	want := engine.Answer(prefix.Render([]prefix.Message{{Role: "user", Content: text}}), tokens)
	if b.String() != want {
		return fmt.Errorf("the answer is not whole: %d of %d bytes", b.Len(), len(want))
	}
	fmt.Printf("first prompt: %d tokens, first token after %d ms, answer whole\n", tokens, first.Milliseconds())
	return nil
}
