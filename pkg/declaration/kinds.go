package declaration

import (
	"fmt"
	"time"
)

// Duration is a time span written with its unit, such as "2s". It is a struct
// so that the TOML library does not take a bare number for nanoseconds.
type Duration struct{ time.Duration }

// Span returns d as a Duration.
func Span(d time.Duration) Duration { return Duration{d} }

// UnmarshalText accepts a span with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("declaration: %q is no duration with a unit, such as \"2s\"", text)
	}
	d.Duration = span
	return nil
}

// MarshalText returns the span with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// LayerRange is the half-open range [From, To) of a model's layers.
type LayerRange struct {
	From int
	To   int
}

// Held names layers of a model that an upstream holds.
type Held struct {
	Model string
	LayerRange
}

// Model is a model whose layers are spread over upstreams.
type Model struct {
	Name string
	// Layers is the count of layers.
	Layers int
	// MaxOutputTokens bounds one answer.
	MaxOutputTokens int
}

// Pipeline serves a model with the upstreams that accepted loans bring.
type Pipeline struct {
	Name  string
	Model string
}

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// The upstream kinds.
const (
	Engine       UpstreamKind = "engine"
	PlainService UpstreamKind = "service"
)

// Upstream is a VM of a team that runs an engine or a plain service.
type Upstream struct {
	Name string
	// Owner is the team that lends the upstream.
	Owner string
	// Zone is the upstream's availability zone.
	Zone string
	Kind UpstreamKind
	// Address is host:port by IP number.
	Address string
	// Accelerator names the hardware, for operators.
	Accelerator string `toml:",omitempty"`
	// Slots is how many requests the upstream runs at a time.
	Slots int
	// LayersPerSecond is how many layers of one token the accelerator runs in
	// a second for one stream.
	LayersPerSecond float64 `toml:",omitempty"`
	// Held lists the layers that the upstream holds.
	Held []Held `toml:",omitempty"`
}

// Loan is a team's consent to the use of its upstreams by pipelines.
type Loan struct {
	Name      string
	Owner     string
	Upstreams []string
	// Pipelines may use the upstreams.
	Pipelines []string
	// Accepted says that the operators take the loan on its terms.
	Accepted bool
	// UnconfirmedUse is how long an entry of another availability zone may go
	// on using the upstreams without word from the platform or from a peer
	// that has it. Zero takes DefaultUnconfirmedUse.
	UnconfirmedUse Duration `toml:",omitempty"`
}

// DefaultUnconfirmedUse is the UnconfirmedUse of a loan that states none.
const DefaultUnconfirmedUse = 10 * time.Second

// Link is the path between two availability zones.
type Link struct {
	From string
	To   string
	// Latency is one way.
	Latency Duration
}

// Account is a client account.
type Account struct {
	Name string
	// KeyHashes are the SHA-256 sums, in hex, of the API keys.
	KeyHashes []string
	// Priority is 0 to 9; higher goes first.
	Priority int
	// MaxInFlight bounds the requests in flight at one entry; 0 is no bound.
	MaxInFlight int `toml:",omitempty"`
	// RequestsPerSecond bounds the rate at one entry; 0 is no bound.
	RequestsPerSecond float64 `toml:",omitempty"`
}

// Operation is one call of a plain service.
type Operation struct {
	Method string
	// Path is the path below the service's route; * matches one segment.
	Path string
	// Repeatable says that running the call twice does no harm.
	Repeatable bool `toml:",omitempty"`
}

// Service is a plain service and its operations.
type Service struct {
	Name       string
	Upstreams  []string
	Operations []Operation
	// Timeout bounds one call.
	Timeout Duration
	// EchoesAttempt says that the upstreams send the header Lovageport-Attempt
	// back; an answer without it is then refused.
	EchoesAttempt bool `toml:",omitempty"`
}

// Operator is a person or program that may call the operators' API.
type Operator struct {
	Name string
	// KeyHash is the SHA-256 sum, in hex, of the operator's key.
	KeyHash string
	// Owners are the teams on whose behalf the operator may withdraw.
	Owners []string `toml:",omitempty"`
	// Admin may apply configuration and withdraw on behalf of every team.
	Admin bool `toml:",omitempty"`
}

// Set is a whole set of declared objects.
type Set struct {
	Models    []Model    `toml:",omitempty"`
	Pipelines []Pipeline `toml:",omitempty"`
	Upstreams []Upstream `toml:",omitempty"`
	Loans     []Loan     `toml:",omitempty"`
	Links     []Link     `toml:",omitempty"`
	Accounts  []Account  `toml:",omitempty"`
	Services  []Service  `toml:",omitempty"`
	Operators []Operator `toml:",omitempty"`
}
