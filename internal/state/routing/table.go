package routing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageport.example/internal/state/fleet"
)

// Kind determines whether a request may be sent more than once.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once per request ID.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events. They run at most
	// once unless their route is resumable.
	Stream
)

// Backend is a service that receives a share of a route's requests, in
// proportion to its weight.
type Backend struct {
	Service string
	Weight  int
}

// Route maps the requests of a host and path prefix to backends and holds the
// rules that apply to them.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the answer to a request begins.
	Timeout time.Duration
	// Objective is the latency objective for an answer; for streams, for the
	// first event.
	Objective time.Duration
	// Priority orders requests when capacity is short; 0 is served first.
	Priority int
	Backends []Backend
	// MaxUpstreams is the largest number of upstreams that one request may run
	// on.
	MaxUpstreams int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue on another upstream after their last event.
	Resumable bool
	// MaxPause is the latency objective for the time between two events.
	MaxPause time.Duration
}

// Repeatable reports whether a request of the route may be run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Backend returns the name of the service that the request with an ID is sent
// to. The choice is a hash of the ID, so that all gateways choose alike.
func (r *Route) Backend(request string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	offset := int(xxhash.Sum64String(request) % uint64(total))
	for _, b := range r.Backends {
		if offset < b.Weight {
			return b.Service
		}
		offset -= b.Weight
	}
	return r.Backends[0].Service
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine describes the upstreams if they are engines that hold layers; nil
	// for a plain service.
	Engine *fleet.Engine
}

// RunsLike reports whether a request that was accepted for one of the services may
// run as one of the other: both are plain, or have a model of as many layers. Either
// may be nil, for a service that a table does not describe.
func (s *Service) RunsLike(other *Service) bool {
	if s == nil || other == nil {
		return s == other
	}
	if s.Engine == nil || other.Engine == nil {
		return s.Engine == other.Engine
	}
	return s.Engine.Layers == other.Engine.Layers
}

// Account is a client account and its API keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides that of the route unless it is nil.
	Priority *int
}

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Accounts []*Account
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// Prepare validates the table and builds its indexes. It must be called once
// before the table is used.
func (t *Table) Prepare() error {
	if t.Version <= 0 {
		return errors.New("routing: table version must be positive")
	}
	t.byHost = make(map[string][]*Route)
	t.byKey = make(map[string]*Account)
	for _, r := range t.Routes {
		if len(r.Backends) == 0 {
			return fmt.Errorf("routing: route %q has no backends", r.Name)
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, a := range t.Accounts {
		for _, key := range a.Keys {
			t.byKey[key] = a
		}
	}
	return nil
}

// Match returns the route of a host whose prefix is the longest one of the
// path. A port in host is ignored, and so is its case. It returns false if no
// route matches.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of a route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Accounts) > 0 && !r.Public }

// Account returns the client account that an API key belongs to. It returns
// false for an unknown key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.byKey[key]
	return a, ok
}
