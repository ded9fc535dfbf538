// Package openai defines the messages between callers and an entry: the subset of
// the OpenAI API for chats and text completions.
package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"lovageport.example/pkg/verdict"
)

// Limits and defaults of requests.
const (
	// MaxMessages bounds the number of messages of a chat.
	MaxMessages = 1024
	// MaxDepth bounds the nesting of objects and arrays in a body.
	MaxDepth = 64
	// DefaultMaxTokens is the limit on the tokens of an answer if the request
	// states none.
	DefaultMaxTokens = 64
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. Content that is sent as a list of text parts
// is joined.
type Content string

// part is one part of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string or a list of text parts.
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

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	// IncludeUsage asks for a last chunk that holds the usage.
	IncludeUsage bool `json:"include_usage"`
}

// Request is the body of a chat completion, which uses Messages, or of a text
// completion, which uses Prompt. Unknown fields are ignored, since client
// libraries send them.
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

// DecodeRequest decodes and checks the body of a chat or text completion. The
// text of the error is meant for the caller.
func DecodeRequest(body []byte, chat bool) (*Request, error) {
	if depth(body) > MaxDepth {
		return nil, fmt.Errorf("nested deeper than %d", MaxDepth)
	}
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	return &r, r.check(chat)
}

// depth returns the nesting depth of a JSON text without decoding it.
func depth(body []byte) int {
	level, deepest := 0, 0
	inString, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
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
	case r.OutputTokens() < 1:
		return errors.New("max_tokens must be at least 1")
	case r.N != nil && *r.N != 1:
		return errors.New("n must be 1")
	}
	return nil
}

// OutputTokens returns the largest number of tokens that the answer may have.
func (r *Request) OutputTokens() int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return DefaultMaxTokens
}

// PromptText returns the text that the model is to continue: the prompt, or the
// messages with their roles.
func (r *Request) PromptText() string {
	if r.Prompt != nil && len(r.Messages) == 0 {
		return *r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

// Usage holds the numbers of tokens of a request and its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the part of a message that one chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ResponseMessage is the message of a chat answer that is not streamed.
type ResponseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Choice is the content of an answer or of a chunk.
type Choice struct {
	Index        int              `json:"index"`
	Delta        *Delta           `json:"delta,omitempty"`
	Message      *ResponseMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// Response is a complete answer, or one chunk of a streamed answer.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Error is the body of an error response, and of the last event of a stream that
// failed.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is the reason of the error.
	Code verdict.Reason `json:"code"`
	// Verdict states whether the request has run, has not, or may have.
	Verdict verdict.Run `json:"verdict"`
	// RetryAfterSeconds is the time after which to retry; 0 means never.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Request is the ID under which the request is logged.
	Request string `json:"request_id,omitempty"`
}

// Model is one model of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to a request for the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
