package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/prefix"
)

// sampling holds the parameters that are passed to the engine unchanged.
type sampling struct {
	Temperature      json.RawMessage `json:"temperature,omitempty"`
	TopP             json.RawMessage `json:"top_p,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	Seed             json.RawMessage `json:"seed,omitempty"`
	PresencePenalty  json.RawMessage `json:"presence_penalty,omitempty"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty,omitempty"`
	LogitBias        json.RawMessage `json:"logit_bias,omitempty"`
	ResponseFormat   json.RawMessage `json:"response_format,omitempty"`
}

// completionRequest is the body of a chat completion or completion request. Unknown
// fields are ignored. Unsupported fields that would change the format of the answer
// are rejected, as described in docs/callers.md.
type completionRequest struct {
	sampling
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Prompt              textParts `json:"prompt"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`

	N         *int              `json:"n"`
	BestOf    *int              `json:"best_of"`
	Echo      bool              `json:"echo"`
	Suffix    string            `json:"suffix"`
	Tools     []json.RawMessage `json:"tools"`
	Functions []json.RawMessage `json:"functions"`
	Logprobs  json.RawMessage   `json:"logprobs"`
}

// message is one message of a conversation, in requests and answers.
type message struct {
	Role    string    `json:"role,omitempty"`
	Content textParts `json:"content"`
}

// textParts is text that is decoded from a string, null, or an array of parts of type
// text. It is encoded as a string.
type textParts string

// errTextShape is returned for text that is in none of the formats of textParts.
var errTextShape = errors.New("text must be a string or an array of parts of type text")

// UnmarshalJSON implements json.Unmarshaler.
func (t *textParts) UnmarshalJSON(b []byte) error {
	var s *string
	if json.Unmarshal(b, &s) == nil {
		if s != nil {
			*t = textParts(*s)
		}
		return nil
	}
	var parts []json.RawMessage
	if json.Unmarshal(b, &parts) != nil {
		return errTextShape
	}
	*t = ""
	for _, p := range parts {
		var part struct {
			Type string  `json:"type"`
			Text *string `json:"text"`
		}
		if json.Unmarshal(p, &part) != nil || part.Type != "text" || part.Text == nil {
			return errTextShape
		}
		*t += textParts(*part.Text)
	}
	return nil
}

var allowedRoles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true, "tool": true, "function": true}

func invalidRequest(message, remedy string) *apierr.Error {
	return apierr.New(apierr.InvalidRequest, apierr.NotRun, message, remedy)
}

// parseCompletion decodes and validates a body. Its errors never quote the body.
func parseCompletion(body []byte, chat bool) (*completionRequest, error) {
	if !utf8.Valid(body) {
		return nil, invalidRequest("the body is not valid UTF-8", "encode the body as UTF-8")
	}
	r := &completionRequest{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, decodeError(err)
	}
	if chat {
		r.Prompt = ""
	} else {
		r.Messages = nil
	}
	if err := r.validate(chat); err != nil {
		return nil, err
	}
	return r, nil
}

// decodeError returns the client error for a body that could not be decoded.
func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.Is(err, errTextShape):
		return invalidRequest("a message's content or the prompt has an unsupported shape", errTextShape.Error())
	case errors.As(err, &typeErr):
		return invalidRequest(fmt.Sprintf("the field %q at byte %d has the wrong type", typeErr.Field, typeErr.Offset), "give a "+typeErr.Type.String())
	case errors.As(err, &syntaxErr):
		return invalidRequest(fmt.Sprintf("the body is not valid JSON at byte %d", syntaxErr.Offset), "correct the body")
	}
	return invalidRequest("the body is not valid JSON of the expected shape", "correct the body")
}

// validate rejects invalid values and unsupported fields that would change the format
// of the answer.
func (r *completionRequest) validate(chat bool) error {
	unsupported := func(field string) error {
		return invalidRequest(field+" is not supported", "leave "+field+" out")
	}
	switch {
	case r.N != nil && *r.N != 1:
		return unsupported("n other than 1")
	case r.BestOf != nil && *r.BestOf != 1:
		return unsupported("best_of other than 1")
	case r.Echo:
		return unsupported("echo")
	case r.Suffix != "":
		return unsupported("suffix")
	case len(r.Tools) > 0 || len(r.Functions) > 0:
		return unsupported("tools")
	case len(r.Logprobs) > 0 && string(r.Logprobs) != "false" && string(r.Logprobs) != "null":
		return unsupported("logprobs")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return invalidRequest("max_tokens is negative", "give a positive number, or leave it out")
	case chat && len(r.Messages) == 0:
		return invalidRequest("messages is empty", "send at least one message")
	case !chat && r.Prompt == "":
		return invalidRequest("prompt is empty", "send a prompt")
	}
	for i, m := range r.Messages {
		if !allowedRoles[m.Role] {
			return invalidRequest(fmt.Sprintf("messages[%d] has an unknown role", i), "use system, developer, user, assistant, tool or function")
		}
	}
	return nil
}

// promptText returns the prompt, rendered from the messages if there are any.
func (r *completionRequest) promptText() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	msgs := make([]prefix.Message, len(r.Messages))
	for i, m := range r.Messages {
		msgs[i] = prefix.Message{Role: m.Role, Content: string(m.Content)}
	}
	return prefix.Render(msgs)
}

// maxTokens returns the limit on the answer's length in tokens.
func (r *completionRequest) maxTokens() int {
	if n := max(r.MaxTokens, r.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultMaxTokens
}

func (r *completionRequest) includeUsage() bool {
	return r.StreamOptions != nil && r.StreamOptions.IncludeUsage
}

// samplingJSON returns the sampling parameters as a JSON object, or nil if there are
// none.
func (r *completionRequest) samplingJSON() []byte {
	b, err := json.Marshal(r.sampling)
	if err != nil || len(b) <= len("{}") {
		return nil
	}
	return b
}
