// Package operator serves the operators' API over Connect, so that generated
// clients, gRPC and curl with JSON can all call it, with health and metrics
// beside it.
package operator

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/membership"
	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/state/store"
	"lovageport.example/pkg/declaration"
	operatorv1 "lovageport.example/pkg/operatorapi/v1"
	"lovageport.example/pkg/operatorapi/v1/operatorv1connect"
	"lovageport.example/pkg/verdict"
)

// Paths beside the API.
const (
	// HealthPath answers 200 as long as the process serves.
	HealthPath = "/healthz"
	// ReadyPath answers 200 as long as the balancer should send requests.
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
)

// maxMessageBytes bounds a call: a whole declared set.
const maxMessageBytes = 64 << 20

// Spread says who has taken in a withdrawal.
type Spread struct {
	InForceAt  []string
	NotReached []string
	Stored     bool
}

// Status is what an entry knows of itself and others.
type Status struct {
	Entry             string
	Zone              string
	Version           string
	Generation        int64
	Ready             bool
	Draining          bool
	PlatformReachable bool
	InFlight          int
	Queued            int
	Peers             []membership.Peer
	Upstreams         []dispatch.UpstreamStatus
}

// Backend does what operators ask for.
type Backend struct {
	Authenticate func(key string) (*declaration.Operator, error)
	Accepted     func() configuration.Accepted
	Apply        func(ctx context.Context, id, by string, expected int64, set declaration.Set) (configuration.Change, bool, error)
	Withdraw     func(ctx context.Context, o *declaration.Operator, id string, upstreams []string) (Spread, error)
	Return       func(ctx context.Context, o *declaration.Operator, upstreams []string) (Spread, error)
	Status       func() Status
	Drain        func() int
}

// Server serves operators.
type Server struct {
	Backend Backend
	Metrics http.Handler
	Ready   func() bool
}

// HTTP returns the HTTP server for operators.
func (s *Server) HTTP() *http.Server {
	router := chi.NewRouter()
	path, handler := operatorv1connect.NewOperatorServiceHandler(&service{s.Backend}, connect.WithReadMaxBytes(maxMessageBytes))
	router.Mount(path, handler)
	router.Get(HealthPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get(ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	router.Handle(MetricsPath, s.Metrics)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           router,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       time.Minute,
	}
}

// service implements the generated interface.
type service struct{ backend Backend }

// authenticate finds the operator of a call.
func (s *service) authenticate(header http.Header) (*declaration.Operator, error) {
	key, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("no operator key"))
	}
	o, err := s.backend.Authenticate(key)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnauthenticated, err)
	}
	return o, nil
}

// authenticateAdmin is authenticate for calls that only admins may make.
func (s *service) authenticateAdmin(header http.Header) (*declaration.Operator, error) {
	o, err := s.authenticate(header)
	if err != nil {
		return nil, err
	}
	if !o.Admin {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.New("only an admin may do this"))
	}
	return o, nil
}

// Apply implements the API.
func (s *service) Apply(ctx context.Context, request *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	o, err := s.authenticateAdmin(request.Header())
	if err != nil {
		return nil, err
	}
	message := request.Msg
	if message.ChangeId == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("change_id is missing"))
	}
	set, faults := declaration.Parse(files(message.Files))
	if len(faults) > 0 {
		return connect.NewResponse(&operatorv1.ApplyResponse{Faults: wireFaults(faults)}), nil
	}
	change, repeated, err := s.backend.Apply(ctx, message.ChangeId, o.Name, message.ExpectedGeneration, set)
	if err != nil {
		return nil, applyError(err)
	}
	return connect.NewResponse(&operatorv1.ApplyResponse{Generation: change.Generation, Repeated: repeated}), nil
}

// applyError gives an error the code that says what to do next.
func applyError(err error) error {
	var conflict *configuration.ConflictError
	var unsent *store.NotSentError
	switch {
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, configuration.ErrUnknownOutcome):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.As(err, &unsent):
		return connect.NewError(connect.CodeUnavailable, errors.New("the platform is out of reach; nothing has changed"))
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

func files(in []*operatorv1.File) []declaration.File {
	out := make([]declaration.File, 0, len(in))
	for _, f := range in {
		out = append(out, declaration.File{Name: f.Name, Text: f.Text})
	}
	return out
}

func wireFaults(faults []declaration.Fault) []*operatorv1.Fault {
	out := make([]*operatorv1.Fault, 0, len(faults))
	for _, f := range faults {
		out = append(out, &operatorv1.Fault{File: f.File, Line: int32(f.Line), Path: f.Path, Message: f.Message})
	}
	return out
}

// Get implements the API.
func (s *service) Get(_ context.Context, request *connect.Request[operatorv1.GetRequest]) (*connect.Response[operatorv1.GetResponse], error) {
	if _, err := s.authenticateAdmin(request.Header()); err != nil {
		return nil, err
	}
	accepted := s.backend.Accepted()
	text, err := declaration.Format(accepted.Set)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	response := &operatorv1.GetResponse{Generation: accepted.Head.Generation, Toml: text}
	if n := len(accepted.Head.Changes); n > 0 {
		response.ChangeId = accepted.Head.Changes[n-1].ID
		response.Operator = accepted.Head.Changes[n-1].Operator
	}
	return connect.NewResponse(response), nil
}

// Diff implements the API.
func (s *service) Diff(_ context.Context, request *connect.Request[operatorv1.DiffRequest]) (*connect.Response[operatorv1.DiffResponse], error) {
	if _, err := s.authenticateAdmin(request.Header()); err != nil {
		return nil, err
	}
	set, faults := declaration.Parse(files(request.Msg.Files))
	accepted := s.backend.Accepted()
	response := &operatorv1.DiffResponse{Generation: accepted.Head.Generation, Faults: wireFaults(faults)}
	if len(faults) > 0 {
		return connect.NewResponse(response), nil
	}
	for _, d := range configuration.Diff(accepted.Set, set) {
		response.Changes = append(response.Changes, &operatorv1.Change{Kind: d.Kind, Name: d.Name, Action: d.Action})
	}
	return connect.NewResponse(response), nil
}

// Withdraw implements the API.
func (s *service) Withdraw(ctx context.Context, request *connect.Request[operatorv1.WithdrawRequest]) (*connect.Response[operatorv1.WithdrawResponse], error) {
	o, err := s.authenticate(request.Header())
	if err != nil {
		return nil, err
	}
	if request.Msg.ChangeId == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("change_id is missing"))
	}
	return spreadResponse(s.backend.Withdraw(ctx, o, request.Msg.ChangeId, request.Msg.Upstreams))
}

// Return implements the API.
func (s *service) Return(ctx context.Context, request *connect.Request[operatorv1.ReturnRequest]) (*connect.Response[operatorv1.WithdrawResponse], error) {
	o, err := s.authenticate(request.Header())
	if err != nil {
		return nil, err
	}
	return spreadResponse(s.backend.Return(ctx, o, request.Msg.Upstreams))
}

func spreadResponse(spread Spread, err error) (*connect.Response[operatorv1.WithdrawResponse], error) {
	if err != nil {
		return nil, refusalError(err)
	}
	return connect.NewResponse(&operatorv1.WithdrawResponse{
		InForceAt:  spread.InForceAt,
		NotReached: spread.NotReached,
		Stored:     spread.Stored,
	}), nil
}

func refusalError(err error) error {
	switch verdict.Of(err).Reason {
	case verdict.Forbidden:
		return connect.NewError(connect.CodePermissionDenied, err)
	case verdict.BadRequest:
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// Status implements the API.
func (s *service) Status(_ context.Context, request *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	if _, err := s.authenticate(request.Header()); err != nil {
		return nil, err
	}
	return connect.NewResponse(wireStatus(s.backend.Status())), nil
}

func wireStatus(status Status) *operatorv1.StatusResponse {
	out := &operatorv1.StatusResponse{
		Entry:             status.Entry,
		Zone:              status.Zone,
		Version:           status.Version,
		Generation:        status.Generation,
		Ready:             status.Ready,
		Draining:          status.Draining,
		PlatformReachable: status.PlatformReachable,
		InFlight:          int32(status.InFlight),
		Queued:            int32(status.Queued),
	}
	for _, p := range status.Peers {
		out.Peers = append(out.Peers, &operatorv1.Peer{
			Name:         p.Name,
			Zone:         p.Zone,
			Generation:   p.Generation,
			SilentMillis: time.Since(p.LastHeard).Milliseconds(),
		})
	}
	for _, u := range status.Upstreams {
		out.Upstreams = append(out.Upstreams, &operatorv1.UpstreamStatus{
			Name:     u.Upstream.Name,
			Owner:    u.Upstream.Owner,
			Zone:     u.Upstream.Zone,
			State:    string(u.Status),
			InFlight: int32(u.InFlight),
			Slots:    int32(u.Upstream.Slots),
		})
	}
	return out
}

// Drain implements the API.
func (s *service) Drain(_ context.Context, request *connect.Request[operatorv1.DrainRequest]) (*connect.Response[operatorv1.DrainResponse], error) {
	if _, err := s.authenticateAdmin(request.Header()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.DrainResponse{InFlight: int32(s.backend.Drain())}), nil
}
