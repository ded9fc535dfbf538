package declaration

import (
	"fmt"
	"time"
)

// Duration is a duration that is written with its unit, such as "2s". It is a
// struct because the TOML library would read a bare number as nanoseconds.
type Duration struct{ time.Duration }

// Span returns d as a Duration.
func Span(d time.Duration) Duration { return Duration{d} }

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("declaration: %q is no duration with a unit, such as \"2s\"", text)
	}
	d.Duration = parsed
	return nil
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// LayerRange is the half-open range [From, To) of a model's layers.
type LayerRange struct {
	From int
	To   int
}

// Held is a range of layers of a model that an upstream holds.
type Held struct {
	Model string
	LayerRange
}

// Model is a model whose layers may be spread over several upstreams.
type Model struct {
	Name string
	// Layers is the number of layers.
	Layers int
	// MaxOutputTokens is the maximum number of tokens in one response.
	MaxOutputTokens int
}

// Pipeline serves a model on the upstreams that accepted loans allow it to use.
type Pipeline struct {
	Name  string
	Model string
}

// UpstreamKind distinguishes engines from plain services.
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
	// Address is IP:port.
	Address string
	// Accelerator is the name of the hardware, for the information of operators.
	Accelerator string `toml:",omitempty"`
	// Slots is the maximum number of concurrent requests.
	Slots int
	// LayersPerSecond is how many layers the accelerator computes per second for
	// a single stream, one token at a time.
	LayersPerSecond float64 `toml:",omitempty"`
	// Held lists the layers that the upstream holds.
	Held []Held `toml:",omitempty"`
}

// Loan is a team's consent to the use of its upstreams by pipelines.
type Loan struct {
	Name      string
	Owner     string
	Upstreams []string
	// Pipelines are the pipelines that may use the upstreams.
	Pipelines []string
	// Accepted reports whether the operators have accepted the loan.
	Accepted bool
	// UnconfirmedUse is how long an entry in another availability zone may keep
	// using the upstreams without confirmation from the platform, or from a
	// peer that has confirmation. If it is zero, DefaultUnconfirmedUse applies.
	UnconfirmedUse Duration `toml:",omitempty"`
}

// DefaultUnconfirmedUse is the UnconfirmedUse of a loan that does not set it.
const DefaultUnconfirmedUse = 10 * time.Second

// Link is the network path between two availability zones.
type Link struct {
	From string
	To   string
	// Latency is the one-way latency.
	Latency Duration
}

// Account is a client account.
type Account struct {
	Name string
	// KeyHashes are the SHA-256 hashes, in hexadecimal, of the API keys.
	KeyHashes []string
	// Priority is 0 to 9; higher goes first.
	Priority int
	// MaxInFlight bounds the requests in flight at one entry; 0 is no bound.
	MaxInFlight int `toml:",omitempty"`
	// RequestsPerSecond bounds the rate at one entry; 0 is no bound.
	RequestsPerSecond float64 `toml:",omitempty"`
}

// Operation is a call that a plain service offers.
type Operation struct {
	Method string
	// Path is the path below the service's route; * matches one segment.
	Path string
	// Repeatable reports whether running the call twice does no harm.
	Repeatable bool `toml:",omitempty"`
}

// Service is a plain service and its operations.
type Service struct {
	Name       string
	Upstreams  []string
	Operations []Operation
	// Timeout is the timeout of one call.
	Timeout Duration
	// EchoesAttempt reports whether the upstreams return the header
	// Lovageport-Attempt. If so, a response without it is rejected. If not, each
	// call has a connection of its own, since a response on one that is kept
	// could be that of another call.
	EchoesAttempt bool `toml:",omitempty"`
}

// Operator is a person or program that may call the operators' API.
type Operator struct {
	Name string
	// KeyHash is the SHA-256 hash, in hexadecimal, of the operator's key.
	KeyHash string
	// Owners are the teams whose upstreams the operator may withdraw.
	Owners []string `toml:",omitempty"`
	// Admin reports whether the operator may apply configurations and withdraw
	// the upstreams of every team.
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
