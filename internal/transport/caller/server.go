package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"lovageport.example/internal/protocol/openai"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// Headers of this service.
const (
	RequestHeader = "Lovageport-Request"
	VerdictHeader = "Lovageport-Verdict"
	// TimeoutHeader is how long the caller waits at most, such as "10s".
	TimeoutHeader = "Lovageport-Timeout"
	// KeyHeader names a call that may not be repeated.
	KeyHeader = "Idempotency-Key"
	// ReplayedHeader says that the answer is that of an earlier call with the
	// same key.
	ReplayedHeader = "Lovageport-Replayed"
)

// Times and bounds of connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	maxKeyBytes    = 256
	// writeTimeout is how long a caller may take to read a part of an answer.
	writeTimeout = 10 * time.Second
)

// Generation is a request for text.
type Generation struct {
	// Request is the ID of the request.
	Request string
	Account *declaration.Account
	Body    *openai.Request
	// Prompt is what the model is given.
	Prompt    string
	MaxTokens int
	Timeout   time.Duration
}

// Sink takes the tokens of an answer as they are made. more says that the next
// one is there already, so that both may be sent together. An error says that
// the caller has gone.
type Sink func(token string, more bool) error

// Result is the end of a whole answer.
type Result struct {
	Tokens       int
	FinishReason string
}

// Invocation is a call of a plain service.
type Invocation struct {
	Request string
	Account *declaration.Account
	Service string
	Method  string
	// Path is the path below the service's route; Query is raw.
	Path    string
	Query   string
	Header  http.Header
	Body    []byte
	Key     string
	Timeout time.Duration
}

// Reply is the answer to an invocation.
type Reply struct {
	upstream.Answer
	Verdict verdict.Run
	// Replayed says that the answer is that of an earlier call.
	Replayed bool
}

// Backend does what callers ask for.
type Backend struct {
	// NewRequest returns the ID of a new request, or refuses it.
	NewRequest func() (string, error)
	// Authenticate finds the client account of an API key.
	Authenticate func(key string) (*declaration.Account, error)
	// Models returns the names of the models.
	Models func() []string
	// Generate makes an answer, and gives sink each token as it is made.
	Generate func(ctx context.Context, g *Generation, sink Sink) (Result, error)
	// Invoke calls a plain service.
	Invoke func(ctx context.Context, i *Invocation) (*Reply, error)
	// Refused is told of each refusal and error.
	Refused func(request string, account string, err *verdict.Error)
}

// Server serves callers.
type Server struct {
	Backend Backend
	// Timeout is how long a request may take if its caller states nothing.
	Timeout time.Duration
	// BodyTimeout is how long a body may take to arrive.
	BodyTimeout time.Duration
	// MaxBodyBytes bounds a body.
	MaxBodyBytes int64
}

// HTTP returns the HTTP server for callers.
func (s *Server) HTTP() *http.Server {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", s.handle(s.chat))
	router.Post("/v1/completions", s.handle(s.completion))
	router.Get("/v1/models", s.handle(s.models))
	router.HandleFunc("/services/{service}/*", s.handle(s.service))
	router.NotFound(s.handle(unknownRoute))
	router.MethodNotAllowed(s.handle(unknownRoute))
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func unknownRoute(_ http.ResponseWriter, r *http.Request, _ *exchange) error {
	return verdict.Refuse(verdict.UnknownRoute, "no route %s %s", r.Method, r.URL.Path)
}

// exchange is one request and what is known of it.
type exchange struct {
	request string
	account *declaration.Account
	timeout time.Duration
}

type handler func(w http.ResponseWriter, r *http.Request, x *exchange) error

// handle returns the HTTP handler that opens the exchange, and answers with
// the error that h returns.
func (s *Server) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{}
		err := s.open(w, r, x)
		if err == nil {
			err = h(w, r, x)
		}
		if err != nil {
			s.refuse(w, x, err)
		}
	}
}

func (s *Server) open(w http.ResponseWriter, r *http.Request, x *exchange) error {
	// A front that takes another header for the body's length would see a
	// second request in what follows, so nothing may follow.
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	request, err := s.Backend.NewRequest()
	if err != nil {
		return err
	}
	x.request = request
	w.Header().Set(RequestHeader, request)
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return verdict.Refuse(verdict.Unauthenticated, "no API key; send Authorization: Bearer KEY")
	}
	if x.account, err = s.Backend.Authenticate(key); err != nil {
		return err
	}
	x.timeout = s.Timeout
	if text := r.Header.Get(TimeoutHeader); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return verdict.Refuse(verdict.BadRequest, "%s: %q is no duration such as 10s", TimeoutHeader, text)
		}
		x.timeout = min(asked, s.Timeout)
	}
	return nil
}

// readBody reads a body whole, within its bounds.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.BodyTimeout)); err != nil {
		return nil, verdict.Refuse(verdict.Internal, "no read deadline: %v", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	if err == nil {
		return body, control.SetReadDeadline(time.Time{})
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refuse(verdict.BodyTooLarge, "body above %d bytes", s.MaxBodyBytes)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, verdict.Refuse(verdict.BodyTooSlow, "body did not arrive within %s", s.BodyTimeout)
	}
	return nil, verdict.Refuse(verdict.BadRequest, "body was cut off: %v", err)
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, _ *exchange) error {
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, name := range s.Backend.Models() {
		list.Data = append(list.Data, openai.Model{ID: name, Object: "model", OwnedBy: "lovageport"})
	}
	return writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return verdict.Refuse(verdict.Internal, "answer can't be encoded: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	// A caller that has gone is nobody to report to.
	_, _ = w.Write(text)
	return nil
}

// refuse answers with an error. An answer that has begun is broken off.
func (s *Server) refuse(w http.ResponseWriter, x *exchange, err error) {
	e := verdict.Of(err)
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	s.Backend.Refused(x.request, account, e)
	var begun *begunError
	if errors.As(err, &begun) {
		begun.stream.abort(errorBody(x, e))
	}
	w.Header().Set(VerdictHeader, e.Run.String())
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds(e.RetryAfter)))
	}
	_ = writeJSON(w, statusOf(e.Reason), errorBody(x, e))
}

func errorBody(x *exchange, e *verdict.Error) openai.Error {
	message := e.Message
	if message == "" {
		message = strings.ReplaceAll(string(e.Reason), "_", " ")
	}
	return openai.Error{Error: openai.ErrorDetail{
		Message:           message,
		Type:              typeOf(e.Reason),
		Code:              e.Reason,
		Verdict:           e.Run,
		RetryAfterSeconds: seconds(e.RetryAfter),
		Request:           x.request,
	}}
}

// seconds rounds up to whole seconds, as Retry-After wants them.
func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

var statuses = map[verdict.Reason]int{
	verdict.BadRequest:       http.StatusBadRequest,
	verdict.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	verdict.BodyTooSlow:      http.StatusRequestTimeout,
	verdict.Unauthenticated:  http.StatusUnauthorized,
	verdict.Forbidden:        http.StatusForbidden,
	verdict.UnknownModel:     http.StatusNotFound,
	verdict.UnknownRoute:     http.StatusNotFound,
	verdict.KeyMissing:       http.StatusBadRequest,
	verdict.KeyReused:        http.StatusUnprocessableEntity,
	verdict.ClaimHeld:        http.StatusConflict,
	verdict.ClaimLapsed:      http.StatusConflict,
	verdict.ClaimOutcomeLost: http.StatusConflict,
	verdict.AnswerTooLarge:   http.StatusConflict,
	verdict.RateLimited:      http.StatusTooManyRequests,
	// A client library that retries by itself must not retry this one.
	verdict.Quarantined:      http.StatusUnprocessableEntity,
	verdict.UpstreamRefused:  http.StatusBadGateway,
	verdict.UpstreamLost:     http.StatusBadGateway,
	verdict.UpstreamProtocol: http.StatusBadGateway,
	verdict.UpstreamSilent:   http.StatusGatewayTimeout,
	verdict.DeadlineExceeded: http.StatusGatewayTimeout,
	verdict.Internal:         http.StatusInternalServerError,
}

func statusOf(reason verdict.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

func typeOf(reason verdict.Reason) string {
	switch status := statusOf(reason); {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}
