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
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	asked, err := openai.Decode(body, chat)
	if err != nil {
		return verdict.Refuse(verdict.BadRequest, "body: %v", err)
	}
	g := &Generation{
		Request:   x.request,
		Account:   x.account,
		Body:      asked,
		Prompt:    asked.Text(),
		MaxTokens: asked.Tokens(),
		Timeout:   x.timeout,
	}
	format := format{
		id:      x.request,
		model:   asked.Model,
		created: time.Now().Unix(),
		chat:    chat,
		prompt:  len(strings.Fields(g.Prompt)),
	}
	if asked.Stream {
		return s.stream(w, r, g, format)
	}
	return s.whole(w, r, g, format)
}

// whole answers once the answer is complete.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, g *Generation, f format) error {
	var text strings.Builder
	result, err := s.Backend.Generate(r.Context(), g, func(token string, _ bool) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		return err
	}
	w.Header().Set(VerdictHeader, verdict.Ran.String())
	return writeJSON(w, http.StatusOK, f.whole(text.String(), result))
}

// begunError says that an answer had begun when it failed.
type begunError struct {
	stream *stream
	err    error
}

func (e *begunError) Error() string { return e.err.Error() }
func (e *begunError) Unwrap() error { return e.err }

func (s *Server) stream(w http.ResponseWriter, r *http.Request, g *Generation, f format) error {
	out := &stream{w: w, control: http.NewResponseController(w), format: f}
	result, err := s.Backend.Generate(r.Context(), g, out.token)
	if err != nil && out.begun {
		return &begunError{out, err}
	}
	if err != nil {
		return err
	}
	out.end(result, g.Body.StreamOptions.IncludeUsage)
	return nil
}

// stream writes an answer as server-sent events.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	format  format
	begun   bool
	// extended is when the write deadline was last moved.
	extended time.Time
	// prefix and suffix are the constant parts of a chunk around its text.
	prefix []byte
	suffix []byte
	buffer []byte
}

// begin writes the header, once the first token is there.
func (t *stream) begin() {
	t.begun = true
	header := t.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	t.w.WriteHeader(http.StatusOK)
	t.prefix, t.suffix = t.format.around()
	if t.format.chat {
		t.event(t.format.opening())
	}
}

// token implements [Sink].
func (t *stream) token(text string, more bool) error {
	if !t.begun {
		t.begin()
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

// write sends text, or keeps it to be sent with what follows.
func (t *stream) write(text []byte, more bool) error {
	if err := t.extend(); err != nil {
		return err
	}
	if _, err := t.w.Write(text); err != nil || more {
		return err
	}
	return t.control.Flush()
}

// extend moves the write deadline, but not for every token.
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
	// A caller that has gone is noticed at the next token.
	_ = t.write([]byte("data: "+string(text)+"\n\n"), false)
}

// end writes the terminal events of a whole answer.
func (t *stream) end(result Result, usage bool) {
	if !t.begun {
		t.begin()
	}
	t.event(t.format.closing(result))
	if usage {
		t.event(t.format.usage(result))
	}
	_ = t.write([]byte("data: [DONE]\n\n"), false)
}

// abort writes an error event and breaks the connection, so that the part
// that was sent can't be taken for the whole.
func (t *stream) abort(body openai.Error) {
	t.event(body)
	panic(http.ErrAbortHandler)
}

// format makes the messages of one answer.
type format struct {
	id      string
	model   string
	created int64
	chat    bool
	// prompt is the count of the prompt's words, which stand for its tokens.
	prompt int
}

func (f format) answer(object string, choices ...openai.Choice) openai.Answer {
	if choices == nil {
		choices = []openai.Choice{}
	}
	return openai.Answer{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: choices}
}

// objects returns the names of a whole answer and of a chunk.
func (f format) objects() (whole, chunk string) {
	if f.chat {
		return "chat.completion", "chat.completion.chunk"
	}
	return "text_completion", "text_completion"
}

func (f format) whole(text string, result Result) openai.Answer {
	choice := openai.Choice{FinishReason: &result.FinishReason}
	if f.chat {
		choice.Message = &openai.AnswerMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	whole, _ := f.objects()
	answer := f.answer(whole, choice)
	answer.Usage = f.count(result)
	return answer
}

func (f format) count(result Result) *openai.Usage {
	return &openai.Usage{
		PromptTokens:     f.prompt,
		CompletionTokens: result.Tokens,
		TotalTokens:      f.prompt + result.Tokens,
	}
}

// placeholder stands for a chunk's text while its constant parts are made.
const placeholder = "@@text@@"

// around returns the constant parts of a chunk before and behind its text.
func (f format) around() (prefix, suffix []byte) {
	choice := openai.Choice{}
	text := placeholder
	if f.chat {
		choice.Delta = &openai.Delta{Content: text}
	} else {
		choice.Text = &text
	}
	_, chunk := f.objects()
	body, err := json.Marshal(f.answer(chunk, choice))
	if err != nil {
		return nil, nil
	}
	before, after, _ := strings.Cut(string(body), `"`+placeholder+`"`)
	return []byte(before), []byte(after)
}

// opening is the first chunk of a chat, which names the role.
func (f format) opening() openai.Answer {
	_, chunk := f.objects()
	return f.answer(chunk, openai.Choice{Delta: &openai.Delta{Role: "assistant"}})
}

// closing is the last chunk with a choice.
func (f format) closing(result Result) openai.Answer {
	choice := openai.Choice{FinishReason: &result.FinishReason}
	if f.chat {
		choice.Delta = &openai.Delta{}
	} else {
		none := ""
		choice.Text = &none
	}
	_, chunk := f.objects()
	return f.answer(chunk, choice)
}

func (f format) usage(result Result) openai.Answer {
	_, chunk := f.objects()
	answer := f.answer(chunk)
	answer.Usage = f.count(result)
	return answer
}
