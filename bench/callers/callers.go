// Package callers sends prompts to a deployment as an external caller does, through
// a third-party OpenAI client library, and verifies each answer byte for byte.
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

// Answer describes one completely received answer.
type Answer struct {
	TimeToFirstToken time.Duration
	Endpoint         string
	PromptTokens     int
	CachedTokens     int
}

// CachedShare returns the share of the prompt's tokens that were served from the cache.
func (a Answer) CachedShare() float64 {
	return float64(a.CachedTokens) / float64(max(1, a.PromptTokens))
}

// New returns an API client that calls the given entry with the customer's key.
func New(d *local.Deployment, entry int, customer string, h *http.Client) *openai.Client {
	c := openai.DefaultConfig(local.APIKey(customer))
	c.BaseURL = "http://" + d.CallerAddresses[entry] + "/v1"
	if h != nil {
		c.HTTPClient = h
	}
	return openai.NewClientWithConfig(c)
}

// Complete streams the answer to a prompt and returns an error unless the answer is
// complete and correct. If onFirstToken is not nil, it is called after the first token.
func Complete(ctx context.Context, c *openai.Client, text string, tokens int, onFirstToken func(Answer)) (a Answer, err error) {
	start := time.Now()
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
			return a, fmt.Errorf("stream failed after %d bytes: %w", b.Len(), err)
		}
		if r.Usage != nil && r.Usage.PromptTokensDetails != nil {
			a.PromptTokens, a.CachedTokens = r.Usage.PromptTokens, r.Usage.PromptTokensDetails.CachedTokens
		}
		for _, c := range r.Choices {
			b.WriteString(c.Delta.Content)
		}
		if b.Len() > 0 && a.TimeToFirstToken == 0 {
			a.TimeToFirstToken = time.Since(start)
			if onFirstToken != nil {
				onFirstToken(a)
			}
		}
	}
	want := engine.Output(prefix.Render([]prefix.Message{{Role: "user", Content: text}}), tokens)
	if b.String() != want {
		return a, fmt.Errorf("answer does not match the prompt: got %d bytes, want %d", b.Len(), len(want))
	}
	return a, nil
}
