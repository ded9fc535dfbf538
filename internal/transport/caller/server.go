package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"lovageport.example/internal/protocol/openai"
	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// HTTP header fields that are specific to this API.
const (
	RequestHeader = "Lovageport-Request"
	VerdictHeader = "Lovageport-Verdict"
	// TimeoutHeader is how long the caller waits at most, as a Go duration such
	// as "10s".
	TimeoutHeader = "Lovageport-Timeout"
	// IdempotencyKeyHeader identifies a call that must run at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// ReplayedHeader marks a response that was stored for an earlier call with
	// the same idempotency key.
	ReplayedHeader = "Lovageport-Replayed"
)

// Timeouts and size limits of connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// MaxHeaderBytes limits the head of a request.
	MaxHeaderBytes = 32 << 10
	maxKeyBytes    = 256
	// writeTimeout is how long a caller may block a write of a response.
	writeTimeout = 10 * time.Second
)

// GenerateRequest is a request to generate text.
type GenerateRequest struct {
	// RequestID identifies the request in responses and logs.
	RequestID string
	Account   *declaration.Account
	Body      *openai.Request
	// Prompt is the text given to the model.
	Prompt    string
	MaxTokens int
	Timeout   time.Duration
}

// Sink receives the tokens of a response as they are generated. more reports
// whether the next token is already available, so that both can be sent in one
// write. An error means that the caller has disconnected.
type Sink func(token string, more bool) error

// GenerateResult describes a response that is complete.
type GenerateResult struct {
	Tokens       int
	FinishReason string
}

// InvokeRequest is a call of a plain service.
type InvokeRequest struct {
	RequestID string
	Account   *declaration.Account
	Service   string
	Method    string
	// Path is the path below the service's route; Query is the undecoded query
	// string.
	Path           string
	Query          string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	Timeout        time.Duration
}

// InvokeResponse is the response to an [InvokeRequest].
type InvokeResponse struct {
	upstream.Response
	Verdict verdict.Run
	// Replayed reports whether the response was stored for an earlier call with
	// the same idempotency key.
	Replayed bool
}

// Backend carries out the requests of callers.
type Backend struct {
	// NewRequest returns the ID of a new request, or an error to refuse it.
	NewRequest func() (string, error)
	// Authenticate returns the client account of an API key.
	Authenticate func(key string) (*declaration.Account, error)
	// Models returns the names of the models.
	Models func() []string
	// Generate generates a response and passes each token to sink as it is
	// made.
	Generate func(ctx context.Context, g *GenerateRequest, sink Sink) (GenerateResult, error)
	// Invoke calls a plain service.
	Invoke func(ctx context.Context, i *InvokeRequest) (*InvokeResponse, error)
	// OnError is called for each refusal and error.
	OnError func(requestID string, account string, err *verdict.Error)
}

// Server handles the HTTP requests of callers.
type Server struct {
	Backend Backend
	// Timeout is the default and the maximum time for a request.
	Timeout time.Duration
	// BodyTimeout is the maximum time to receive a request body.
	BodyTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// BodyMemory limits what the bodies of requests take together, in bytes; 0 for no
	// limit. The first [buffer.FreeBytes] of each do not count.
	BodyMemory int64

	// bodies bounds the memory of bodies; HTTP sets its limit.
	bodies buffer.Budget
}

// HTTP returns the HTTP server for callers.
func (s *Server) HTTP() *http.Server {
	s.bodies.Max = s.BodyMemory
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
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

func unknownRoute(_ http.ResponseWriter, r *http.Request, _ *exchange) error {
	return verdict.Refuse(verdict.UnknownRoute, "no route %s %s", r.Method, r.URL.Path)
}

// exchange is the state of one HTTP request.
type exchange struct {
	requestID string
	account   *declaration.Account
	timeout   time.Duration
	// body is what the body takes of the memory of bodies.
	body buffer.Share
}

// handler handles a request. Its error becomes the response.
type handler func(w http.ResponseWriter, r *http.Request, x *exchange) error

// handle returns an HTTP handler that authenticates the request, calls h and
// writes the error that h returns.
func (s *Server) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{}
		defer x.body.Release()
		err := s.prepare(w, r, x)
		if err == nil {
			err = h(w, r, x)
		}
		if err != nil {
			s.writeError(w, x, err)
		}
	}
}

// prepare assigns an ID to the request, authenticates its caller and reads its
// timeout.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, x *exchange) error {
	// Prevents request smuggling: a proxy in front that derives the body's length
	// from Content-Length instead would take part of the body for a second
	// request, so the connection must carry no other request.
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	id, err := s.Backend.NewRequest()
	if err != nil {
		return err
	}
	x.requestID = id
	w.Header().Set(RequestHeader, id)
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return verdict.Refuse(verdict.Unauthenticated, "no API key; send Authorization: Bearer KEY")
	}
	if x.account, err = s.Backend.Authenticate(key); err != nil {
		return err
	}
	x.timeout = s.Timeout
	if text := r.Header.Get(TimeoutHeader); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return verdict.Refuse(verdict.BadRequest, "%s: %q is no duration such as 10s", TimeoutHeader, text)
		}
		x.timeout = min(requested, s.Timeout)
	}
	return nil
}

// readBody reads the whole request body within BodyTimeout and MaxBodyBytes. It counts
// for the memory of bodies until the exchange ends.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, x *exchange) ([]byte, error) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.BodyTimeout)); err != nil {
		return nil, verdict.Refuse(verdict.Internal, "no read deadline: %v", err)
	}
	x.body.Budget = &s.bodies
	body, err := buffer.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes), r.ContentLength, math.MaxInt64, &x.body)
	if err == nil {
		return body, control.SetReadDeadline(time.Time{})
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refuse(verdict.BodyTooLarge, "body above %d bytes", s.MaxBodyBytes)
	}
	if errors.Is(err, buffer.ErrExhausted) {
		return nil, verdict.RefuseUntil(time.Second, verdict.BodyMemoryFull, "the bodies of requests take all memory that they may")
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
	// A write error means that the caller has disconnected.
	_, _ = w.Write(text)
	return nil
}

// writeError writes an error response. It aborts a streamed response that has
// started.
func (s *Server) writeError(w http.ResponseWriter, x *exchange, err error) {
	e := verdict.Of(err)
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	s.Backend.OnError(x.requestID, account, e)
	var started *startedError
	if errors.As(err, &started) {
		started.stream.abort(errorBody(x, e))
	}
	w.Header().Set(VerdictHeader, e.Run.String())
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds(e.RetryAfter)))
	}
	_ = writeJSON(w, statusCode(e.Reason), errorBody(x, e))
}

func errorBody(x *exchange, e *verdict.Error) openai.Error {
	message := e.Message
	if message == "" {
		message = strings.ReplaceAll(string(e.Reason), "_", " ")
	}
	return openai.Error{Error: openai.ErrorDetail{
		Message:           message,
		Type:              errorType(e.Reason),
		Code:              e.Reason,
		Verdict:           e.Run,
		RetryAfterSeconds: seconds(e.RetryAfter),
		Request:           x.requestID,
	}}
}

// seconds rounds d up to whole seconds, the unit of Retry-After.
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
	// A status that client libraries do not retry by themselves.
	verdict.Quarantined:      http.StatusUnprocessableEntity,
	verdict.UpstreamRefused:  http.StatusBadGateway,
	verdict.UpstreamLost:     http.StatusBadGateway,
	verdict.UpstreamProtocol: http.StatusBadGateway,
	verdict.AnswerMemoryFull: http.StatusBadGateway,
	verdict.UpstreamSilent:   http.StatusGatewayTimeout,
	verdict.DeadlineExceeded: http.StatusGatewayTimeout,
	verdict.Internal:         http.StatusInternalServerError,
}

func statusCode(reason verdict.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

func errorType(reason verdict.Reason) string {
	switch status := statusCode(reason); {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}
