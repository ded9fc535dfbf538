package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lovageport.example/internal/protocol/openai"
	"lovageport.example/pkg/verdict"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request, x *exchange) error {
	return s.generate(w, r, x, true)
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request, x *exchange) error {
	return s.generate(w, r, x, false)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, x *exchange, chat bool) error {
	body, err := s.readBody(w, r, x)
	if err != nil {
		return err
	}
	requested, err := openai.DecodeRequest(body, chat)
	if err != nil {
		return verdict.Refuse(verdict.BadRequest, "body: %v", err)
	}
	g := &GenerateRequest{
		RequestID: x.requestID,
		Account:   x.account,
		Body:      requested,
		Prompt:    requested.PromptText(),
		MaxTokens: requested.OutputTokens(),
		Timeout:   x.timeout,
	}
	format := format{
		id:      x.requestID,
		model:   requested.Model,
		created: time.Now().Unix(),
		chat:    chat,
		prompt:  len(strings.Fields(g.Prompt)),
	}
	if requested.Stream {
		return s.sendStream(w, r, g, format)
	}
	return s.sendWhole(w, r, g, format)
}

// sendWhole sends the response once it is complete.
func (s *Server) sendWhole(w http.ResponseWriter, r *http.Request, g *GenerateRequest, f format) error {
	var text strings.Builder
	result, err := s.Backend.Generate(r.Context(), g, func(token string, _ bool) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		return err
	}
	w.Header().Set(VerdictHeader, verdict.Ran.String())
	return writeJSON(w, http.StatusOK, f.response(text.String(), result))
}

// startedError is the failure of a streamed response whose header has been sent.
type startedError struct {
	stream *stream
	err    error
}

func (e *startedError) Error() string { return e.err.Error() }
func (e *startedError) Unwrap() error { return e.err }

// sendStream sends tokens as they are generated.
func (s *Server) sendStream(w http.ResponseWriter, r *http.Request, g *GenerateRequest, f format) error {
	out := &stream{w: w, control: http.NewResponseController(w), format: f}
	result, err := s.Backend.Generate(r.Context(), g, out.token)
	if err != nil && out.started {
		return &startedError{out, err}
	}
	if err != nil {
		return err
	}
	out.end(result, g.Body.StreamOptions.IncludeUsage)
	return nil
}

// stream writes a response as server-sent events.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	format  format
	started bool
	// extended is when the write deadline was last moved.
	extended time.Time
	// prefix and suffix are the constant JSON around the text of a chunk.
	prefix []byte
	suffix []byte
	buffer []byte
}

// start writes the header. It is called at the first token, so that earlier
// failures still get an error status.
func (t *stream) start() {
	t.started = true
	header := t.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	t.w.WriteHeader(http.StatusOK)
	t.prefix, t.suffix = t.format.chunkTemplate()
	if t.format.chat {
		t.event(t.format.openingChunk())
	}
}

// token implements [Sink].
func (t *stream) token(text string, more bool) error {
	if !t.started {
		t.start()
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return err
	}
	t.buffer = append(t.buffer[:0], "data: "...)
	t.buffer = append(t.buffer, t.prefix...)
	t.buffer = append(t.buffer, quoted...)
	t.buffer = append(t.buffer, t.suffix...)
	t.buffer = append(t.buffer, "\n\n"...)
	return t.write(t.buffer, more)
}

// write writes text, and flushes it unless more follows at once.
func (t *stream) write(text []byte, more bool) error {
	if err := t.extend(); err != nil {
		return err
	}
	if _, err := t.w.Write(text); err != nil || more {
		return err
	}
	return t.control.Flush()
}

// extend moves the write deadline forward, at most once in a tenth of
// writeTimeout rather than for every token.
func (t *stream) extend() error {
	now := time.Now()
	if now.Sub(t.extended) < writeTimeout/10 {
		return nil
	}
	t.extended = now
	return t.control.SetWriteDeadline(now.Add(writeTimeout))
}

func (t *stream) event(body any) {
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	// If the caller has disconnected, the next token fails.
	_ = t.write([]byte("data: "+string(text)+"\n\n"), false)
}

// end writes the terminal events of a complete response.
func (t *stream) end(result GenerateResult, usage bool) {
	if !t.started {
		t.start()
	}
	t.event(t.format.closingChunk(result))
	if usage {
		t.event(t.format.usageChunk(result))
	}
	_ = t.write([]byte("data: [DONE]\n\n"), false)
}

// abort writes an error event and aborts the connection, so that the truncated
// response does not look complete.
func (t *stream) abort(body openai.Error) {
	t.event(body)
	panic(http.ErrAbortHandler)
}

// format builds the JSON messages of one response.
type format struct {
	id      string
	model   string
	created int64
	chat    bool
	// prompt is the number of words in the prompt, reported as its token count.
	prompt int
}

func (f format) newResponse(object string, choices ...openai.Choice) openai.Response {
	if choices == nil {
		choices = []openai.Choice{}
	}
	return openai.Response{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: choices}
}

// objectTypes returns the object types of a whole response and of a chunk.
func (f format) objectTypes() (whole, chunk string) {
	if f.chat {
		return "chat.completion", "chat.completion.chunk"
	}
	return "text_completion", "text_completion"
}

func (f format) response(text string, result GenerateResult) openai.Response {
	choice := openai.Choice{FinishReason: &result.FinishReason}
	if f.chat {
		choice.Message = &openai.ResponseMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	whole, _ := f.objectTypes()
	answer := f.newResponse(whole, choice)
	answer.Usage = f.tokenUsage(result)
	return answer
}

func (f format) tokenUsage(result GenerateResult) *openai.Usage {
	return &openai.Usage{
		PromptTokens:     f.prompt,
		CompletionTokens: result.Tokens,
		TotalTokens:      f.prompt + result.Tokens,
	}
}

// placeholder marks where the text of a chunk goes in its JSON template.
const placeholder = "@@text@@"

// chunkTemplate returns the constant JSON of a chunk before and after its text,
// so that a chunk is not marshaled anew for every token.
func (f format) chunkTemplate() (prefix, suffix []byte) {
	choice := openai.Choice{}
	text := placeholder
	if f.chat {
		choice.Delta = &openai.Delta{Content: text}
	} else {
		choice.Text = &text
	}
	_, chunk := f.objectTypes()
	body, err := json.Marshal(f.newResponse(chunk, choice))
	if err != nil {
		return nil, nil
	}
	before, after, _ := strings.Cut(string(body), `"`+placeholder+`"`)
	return []byte(before), []byte(after)
}

// openingChunk returns the first chunk of a chat, which names the role.
func (f format) openingChunk() openai.Response {
	_, chunk := f.objectTypes()
	return f.newResponse(chunk, openai.Choice{Delta: &openai.Delta{Role: "assistant"}})
}

// closingChunk returns the last chunk with a choice, which holds the finish
// reason.
func (f format) closingChunk(result GenerateResult) openai.Response {
	choice := openai.Choice{FinishReason: &result.FinishReason}
	if f.chat {
		choice.Delta = &openai.Delta{}
	} else {
		none := ""
		choice.Text = &none
	}
	_, chunk := f.objectTypes()
	return f.newResponse(chunk, choice)
}

func (f format) usageChunk(result GenerateResult) openai.Response {
	_, chunk := f.objectTypes()
	answer := f.newResponse(chunk)
	answer.Usage = f.tokenUsage(result)
	return answer
}
