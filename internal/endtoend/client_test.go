package endtoend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	openai "github.com/sashabaranov/go-openai"

	"lovageport.example/internal/standin/engine"
)

// newOpenAIClient returns a client of an unmodified OpenAI library that sends
// its requests to an entry.
func newOpenAIClient(e *process, key string) *openai.Client {
	config := openai.DefaultConfig(key)
	config.BaseURL = "http://" + e.callers + "/v1"
	return openai.NewClientWithConfig(config)
}

// TestOpenAIClientLibrary checks that a client library for the OpenAI API
// gets whole and streamed answers, models, and errors with their codes.
func TestOpenAIClientLibrary(t *testing.T) {
	s := startSystem(t, 1)
	ctx := context.Background()
	client := newOpenAIClient(s.entries[0], accountKey)
	const tokens = 8
	request := openai.ChatCompletionRequest{
		Model: model, MaxCompletionTokens: tokens,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "a card"}},
	}
	want := engine.OutputText("user: a card\n", tokens)

	whole, err := client.CreateChatCompletion(ctx, request)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, whole.Choices[0].Message.Content, qt.Equals, want)
	qt.Check(t, whole.Usage.CompletionTokens, qt.Equals, tokens)
	qt.Check(t, whole.Choices[0].FinishReason, qt.Equals, openai.FinishReasonLength)

	request.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
	stream, err := client.CreateChatCompletionStream(ctx, request)
	qt.Assert(t, err, qt.IsNil)
	defer stream.Close()
	text, usage := "", 0
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		qt.Assert(t, err, qt.IsNil)
		if chunk.Usage != nil {
			usage = chunk.Usage.CompletionTokens
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	qt.Check(t, text, qt.Equals, want)
	qt.Check(t, usage, qt.Equals, tokens)

	models, err := client.ListModels(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, models.Models[0].ID, qt.Equals, model)

	_, err = newOpenAIClient(s.entries[0], "sk-wrong").CreateChatCompletion(ctx, request)
	var refused *openai.APIError
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Check(t, refused.HTTPStatusCode, qt.Equals, http.StatusUnauthorized)
	qt.Check(t, refused.Code, qt.Equals, any("unauthenticated"))
}
