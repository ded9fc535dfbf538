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

// Kind says what may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once for each request ID.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events; they run at most once unless
	// their route is resumable.
	Stream
)

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path go, and on what terms.
type Route struct {
	Name string
	Host string
	// Prefix is the start of the path; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth; for
	// streams, the time to the first event.
	Objective time.Duration
	// Priority ranks the route; 0 goes first.
	Priority int
	Backends []Backend
	// MaxUpstreams is the most upstreams that one request may run on.
	MaxUpstreams int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// MaxPause is the longest pause between events that is still on time.
	MaxPause time.Duration
}

// Repeatable says whether a request of the route may be run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Backend returns the service that a request goes to. All processes choose the
// same one for the same request.
func (r *Route) Backend(request string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	point := int(xxhash.Sum64String(request) % uint64(total))
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return r.Backends[0].Service
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is set if the upstreams are engines that hold layers.
	Engine *fleet.Engine
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority replaces that of the route if it is set.
	Priority *int
}

// Limits bound what callers may send.
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

// Prepare checks the table and makes its indexes. It must be called once,
// before the table is used.
func (t *Table) Prepare() error {
	if t.Version <= 0 {
		return errors.New("routing: table without version")
	}
	t.byHost = make(map[string][]*Route)
	t.byKey = make(map[string]*Account)
	for _, r := range t.Routes {
		if len(r.Backends) == 0 {
			return fmt.Errorf("routing: route %s has no service", r.Name)
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

// Match returns the route with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey says whether requests of a route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Accounts) > 0 && !r.Public }

// Account returns the client account that holds a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.byKey[key]
	return a, ok
}
