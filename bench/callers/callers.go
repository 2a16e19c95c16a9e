// Package callers asks a deployment as a caller does, with an ordinary client
// library, and checks each answer to the byte.
package callers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	openai "github.com/sashabaranov/go-openai"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/standin/engine"
)

// Answer is one whole answer.
type Answer struct {
	First        time.Duration // time to first token
	Endpoint     string
	PromptTokens int
	CachedTokens int
}

// CachedShare returns the share of the prompt that was not recomputed.
func (a Answer) CachedShare() float64 {
	return float64(a.CachedTokens) / float64(max(1, a.PromptTokens))
}

// New returns a client of an entry for a customer.
func New(d *local.Deployment, entry int, customer string, h *http.Client) *openai.Client {
	c := openai.DefaultConfig(local.Secret(customer))
	c.BaseURL = "http://" + d.CallerAddress[entry] + "/v1"
	if h != nil {
		c.HTTPClient = h
	}
	return openai.NewClientWithConfig(c)
}

// Ask streams the answer to a prompt and returns an error unless it is whole. The
// function, if given, is called after the first token.
func Ask(ctx context.Context, c *openai.Client, text string, tokens int, afterFirst func(Answer)) (a Answer, err error) {
	begun := time.Now()
	s, err := c.CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{
		Model: local.Model, MaxCompletionTokens: tokens, StreamOptions: &openai.StreamOptions{IncludeUsage: true},
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: text}},
	})
	if err != nil {
		return a, err
	}
	defer s.Close()
	a.Endpoint = s.Header().Get("Galenaweir-Endpoint")
	var b strings.Builder
	for {
		r, err := s.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a, fmt.Errorf("after %d bytes: %w", b.Len(), err)
		}
		if r.Usage != nil && r.Usage.PromptTokensDetails != nil {
			a.PromptTokens, a.CachedTokens = r.Usage.PromptTokens, r.Usage.PromptTokensDetails.CachedTokens
		}
		for _, c := range r.Choices {
			b.WriteString(c.Delta.Content)
		}
		if b.Len() > 0 && a.First == 0 {
			a.First = time.Since(begun)
			if afterFirst != nil {
				afterFirst(a)
			}
		}
	}
	want := engine.Output(prefix.Render([]prefix.Message{{Role: "user", Content: text}}), tokens)
	if b.String() != want {
		return a, fmt.Errorf("the answer is not the one to this prompt: %d bytes, %d expected", b.Len(), len(want))
	}
	return a, nil
}
