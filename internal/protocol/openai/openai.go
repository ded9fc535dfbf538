// Package openai holds the messages between callers and an entry: the part of
// the OpenAI API that serves text.
package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"lovageport.example/pkg/verdict"
)

// Bounds of requests.
const (
	// MaxMessages bounds the messages of a chat.
	MaxMessages = 1024
	// MaxDepth bounds the nesting of a body.
	MaxDepth = 64
	// DefaultMaxTokens is the length of an answer if none is asked for.
	DefaultMaxTokens = 64
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is a text, or a list of parts of which the texts count.
type Content string

// part is one part of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON accepts both forms.
func (c *Content) UnmarshalJSON(text []byte) error {
	var plain string
	if err := json.Unmarshal(text, &plain); err == nil {
		*c = Content(plain)
		return nil
	}
	var parts []part
	if err := json.Unmarshal(text, &parts); err != nil {
		return errors.New("content must be a text or a list of parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content of type %q is not served", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = Content(b.String())
	return nil
}

// StreamOptions says what a streamed answer carries.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Request is the body of both calls; Messages is for chats, Prompt for
// completions. Fields that this service does not know are passed over, as
// callers' libraries send them.
type Request struct {
	Model               string        `json:"model"`
	Messages            []Message     `json:"messages"`
	Prompt              *string       `json:"prompt"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       StreamOptions `json:"stream_options"`
	N                   *int          `json:"n"`
}

// Decode reads and checks a body. An error says what is wrong with it.
func Decode(body []byte, chat bool) (*Request, error) {
	if depth(body) > MaxDepth {
		return nil, fmt.Errorf("nested deeper than %d", MaxDepth)
	}
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	return &r, r.check(chat)
}

// depth returns how deep a JSON text is nested, without decoding it.
func depth(body []byte) int {
	level, deepest := 0, 0
	inText, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inText && b == '\\':
			escaped = true
		case b == '"':
			inText = !inText
		case inText:
		case b == '{' || b == '[':
			level++
			deepest = max(deepest, level)
		case b == '}' || b == ']':
			level--
		}
	}
	return deepest
}

func (r *Request) check(chat bool) error {
	switch {
	case r.Model == "":
		return errors.New("model is missing")
	case chat && len(r.Messages) == 0:
		return errors.New("messages are missing")
	case len(r.Messages) > MaxMessages:
		return fmt.Errorf("more than %d messages", MaxMessages)
	case !chat && r.Prompt == nil:
		return errors.New("prompt is missing")
	case r.Tokens() < 1:
		return errors.New("max_tokens must be at least 1")
	case r.N != nil && *r.N != 1:
		return errors.New("n must be 1")
	}
	return nil
}

// Tokens returns how long an answer is asked for.
func (r *Request) Tokens() int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return DefaultMaxTokens
}

// Text returns what the model is given.
func (r *Request) Text() string {
	if r.Prompt != nil && len(r.Messages) == 0 {
		return *r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the part of a message that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// AnswerMessage is the message of a whole chat answer.
type AnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Choice is the answer, or a part of it.
type Choice struct {
	Index        int            `json:"index"`
	Delta        *Delta         `json:"delta,omitempty"`
	Message      *AnswerMessage `json:"message,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// Answer is a whole answer or one chunk of a streamed one.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Error is the body of an error, and of the last event of a stream that could
// not be finished.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is the reason.
	Code verdict.Reason `json:"code"`
	// Verdict says whether the request may have run.
	Verdict verdict.Run `json:"verdict"`
	// RetryAfterSeconds is when to come back; 0 says never.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Request is the ID under which the request is logged.
	Request string `json:"request_id,omitempty"`
}

// Model is one row of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
