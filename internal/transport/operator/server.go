// Package operator serves the operators' API together with health and metrics
// endpoints. The API uses the Connect protocol, so that generated clients, gRPC
// and curl with JSON can all call it.
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

// Paths of the endpoints besides the API.
const (
	// HealthPath returns 200 while the process serves requests.
	HealthPath = "/healthz"
	// ReadyPath returns 200 while the load balancer should send requests here,
	// and 503 otherwise.
	ReadyPath = "/readyz"
	// MetricsPath serves metrics for Prometheus.
	MetricsPath = "/metrics"
)

// maxMessageBytes limits a request message. The largest holds all declared files.
const maxMessageBytes = 64 << 20

// Propagation describes how far a withdrawal of upstreams, or its return, has
// reached the entries.
type Propagation struct {
	// InForceAt names the entries that apply it; NotReached those that could not
	// be told.
	InForceAt  []string
	NotReached []string
	// Stored reports whether the platform has stored it.
	Stored bool
}

// Status is the state of an entry and its view of peers and upstreams.
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

// Backend carries out the requests of operators.
type Backend struct {
	// Authenticate returns the operator of a key.
	Authenticate func(key string) (*declaration.Operator, error)
	// Accepted returns the accepted configuration.
	Accepted func() configuration.Snapshot
	// Apply replaces the accepted configuration if it has the expected
	// generation. It also reports whether the change had been applied before.
	Apply func(ctx context.Context, changeID, operator string, expectedGeneration int64, set declaration.Set) (configuration.Change, bool, error)
	// Withdraw takes upstreams out of use and Return puts them back. They report
	// which entries apply that.
	Withdraw func(ctx context.Context, o *declaration.Operator, changeID string, upstreams []string) (Propagation, error)
	Return   func(ctx context.Context, o *declaration.Operator, upstreams []string) (Propagation, error)
	// Status returns the state of the entry.
	Status func() Status
	// Drain starts to drain the entry and returns the number of requests in
	// flight.
	Drain func() int
}

// Server handles the HTTP requests of operators.
type Server struct {
	Backend Backend
	// Metrics serves [MetricsPath].
	Metrics http.Handler
	// Ready reports whether the load balancer should send requests here.
	Ready func() bool
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
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// maxHeaderBytes limits the head of a request.
const maxHeaderBytes = 32 << 10

// service implements the generated interface OperatorServiceHandler.
type service struct{ backend Backend }

// authenticate returns the operator whose key a call carries.
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

// authenticateAdmin is like authenticate and fails unless the operator is an
// admin.
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

// Apply replaces the declared configuration with the files of the request.
func (s *service) Apply(ctx context.Context, request *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	o, err := s.authenticateAdmin(request.Header())
	if err != nil {
		return nil, err
	}
	message := request.Msg
	if message.ChangeId == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("change_id is missing"))
	}
	set, faults := declaration.Parse(declaredFiles(message.Files))
	if len(faults) > 0 {
		return connect.NewResponse(&operatorv1.ApplyResponse{Faults: faultMessages(faults)}), nil
	}
	change, repeated, err := s.backend.Apply(ctx, message.ChangeId, o.Name, message.ExpectedGeneration, set)
	if err != nil {
		return nil, applyError(err)
	}
	return connect.NewResponse(&operatorv1.ApplyResponse{Generation: change.Generation, Repeated: repeated}), nil
}

// applyError maps an error of Apply to a Connect code that tells the client how
// to proceed: Aborted to resolve a conflict first, InvalidArgument to use another
// ID, Unknown if the change may have been applied, Unavailable to try again.
func applyError(err error) error {
	var conflict *configuration.ConflictError
	var notSent *store.NotSentError
	switch {
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, configuration.ErrChangeReused):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, configuration.ErrUnknownOutcome):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.As(err, &notSent):
		return connect.NewError(connect.CodeUnavailable, errors.New("the platform is out of reach; nothing has changed"))
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

func declaredFiles(in []*operatorv1.File) []declaration.File {
	out := make([]declaration.File, 0, len(in))
	for _, f := range in {
		out = append(out, declaration.File{Name: f.Name, Text: f.Text})
	}
	return out
}

func faultMessages(faults []declaration.Fault) []*operatorv1.Fault {
	out := make([]*operatorv1.Fault, 0, len(faults))
	for _, f := range faults {
		out = append(out, &operatorv1.Fault{File: f.File, Line: int32(f.Line), Path: f.Path, Message: f.Message})
	}
	return out
}

// Get returns the accepted configuration as TOML.
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

// Diff returns what applying the files of the request would change.
func (s *service) Diff(_ context.Context, request *connect.Request[operatorv1.DiffRequest]) (*connect.Response[operatorv1.DiffResponse], error) {
	if _, err := s.authenticateAdmin(request.Header()); err != nil {
		return nil, err
	}
	set, faults := declaration.Parse(declaredFiles(request.Msg.Files))
	accepted := s.backend.Accepted()
	response := &operatorv1.DiffResponse{Generation: accepted.Head.Generation, Faults: faultMessages(faults)}
	if len(faults) > 0 {
		return connect.NewResponse(response), nil
	}
	for _, d := range configuration.Diff(accepted.Set, set) {
		response.Changes = append(response.Changes, &operatorv1.Change{Kind: d.Kind, Name: d.Name, Action: d.Action})
	}
	return connect.NewResponse(response), nil
}

// Withdraw takes upstreams out of use.
func (s *service) Withdraw(ctx context.Context, request *connect.Request[operatorv1.WithdrawRequest]) (*connect.Response[operatorv1.WithdrawResponse], error) {
	o, err := s.authenticate(request.Header())
	if err != nil {
		return nil, err
	}
	if request.Msg.ChangeId == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("change_id is missing"))
	}
	return propagationResponse(s.backend.Withdraw(ctx, o, request.Msg.ChangeId, request.Msg.Upstreams))
}

// Return puts withdrawn upstreams back into use.
func (s *service) Return(ctx context.Context, request *connect.Request[operatorv1.ReturnRequest]) (*connect.Response[operatorv1.WithdrawResponse], error) {
	o, err := s.authenticate(request.Header())
	if err != nil {
		return nil, err
	}
	return propagationResponse(s.backend.Return(ctx, o, request.Msg.Upstreams))
}

func propagationResponse(propagation Propagation, err error) (*connect.Response[operatorv1.WithdrawResponse], error) {
	if err != nil {
		return nil, withdrawError(err)
	}
	return connect.NewResponse(&operatorv1.WithdrawResponse{
		InForceAt:  propagation.InForceAt,
		NotReached: propagation.NotReached,
		Stored:     propagation.Stored,
	}), nil
}

func withdrawError(err error) error {
	switch verdict.Of(err).Reason {
	case verdict.Forbidden:
		return connect.NewError(connect.CodePermissionDenied, err)
	case verdict.BadRequest:
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// Status returns the state of this entry and of its peers and upstreams.
func (s *service) Status(_ context.Context, request *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	if _, err := s.authenticate(request.Header()); err != nil {
		return nil, err
	}
	return connect.NewResponse(statusMessage(s.backend.Status())), nil
}

func statusMessage(status Status) *operatorv1.StatusResponse {
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

// Drain starts to drain this entry and returns the number of requests in flight.
func (s *service) Drain(_ context.Context, request *connect.Request[operatorv1.DrainRequest]) (*connect.Response[operatorv1.DrainResponse], error) {
	if _, err := s.authenticateAdmin(request.Header()); err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.DrainResponse{InFlight: int32(s.backend.Drain())}), nil
}
