// Package setting reads the settings of an entry process.
package setting

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"lovageport.example/pkg/declaration"
)

// Listen holds the addresses of the listeners, IP:port.
type Listen struct {
	Callers   string
	Operators string
	// Peers is also the address that other entries call.
	Peers string
}

// Platform is how the platform is reached.
type Platform struct {
	Address    string
	Credential string
	// Timeout bounds a call; DefaultPlatformTimeout if zero.
	Timeout declaration.Duration `toml:",omitempty"`
}

// Seed is a peer to call before the VM list is known.
type Seed struct {
	Name    string
	Zone    string
	Address string
}

// Peers is how other entries are reached.
type Peers struct {
	// Secret is shared by all entries.
	Secret string
	Seeds  []Seed `toml:",omitempty"`
	// HeartbeatInterval is DefaultHeartbeatInterval if zero.
	HeartbeatInterval declaration.Duration `toml:",omitempty"`
}

// Operators is who may call before any operator is declared.
type Operators struct {
	// BootstrapKeyHash is the SHA-256 sum, in hex, of a key that may do all.
	BootstrapKeyHash string `toml:",omitempty"`
}

// Requests bounds callers' requests.
type Requests struct {
	// Timeout is how long a request may take if its caller states nothing.
	Timeout declaration.Duration `toml:",omitempty"`
	// QueueTimeout is how long a request may wait for its place.
	QueueTimeout declaration.Duration `toml:",omitempty"`
	// BodyTimeout is how long a body may take to arrive.
	BodyTimeout declaration.Duration `toml:",omitempty"`
	// MaxBodyBytes bounds a body.
	MaxBodyBytes int64 `toml:",omitempty"`
	// MaxQueue bounds the requests that wait for one model or service.
	MaxQueue int `toml:",omitempty"`
}

// Drain bounds the graceful stop.
type Drain struct {
	// Timeout is how long requests in flight may take to end.
	Timeout declaration.Duration `toml:",omitempty"`
	// Notice is how long the balancer is given to see that health has turned
	// before new requests are refused.
	Notice declaration.Duration `toml:",omitempty"`
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:",omitempty"`
}

// Entry are those of one process.
type Entry struct {
	// Name tells the entry from all others.
	Name string
	// Zone is its availability zone.
	Zone      string
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Operators Operators `toml:",omitempty"`
	Requests  Requests  `toml:",omitempty"`
	Drain     Drain     `toml:",omitempty"`
	Log       Log       `toml:",omitempty"`
}

// Defaults of settings that may be left out.
const (
	DefaultPlatformTimeout   = time.Second
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultRequestTimeout    = time.Minute
	DefaultQueueTimeout      = 2 * time.Second
	DefaultBodyTimeout       = 5 * time.Second
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxQueue          = 4096
	DefaultDrainTimeout      = 30 * time.Second
	DefaultDrainNotice       = 2 * time.Second
)

// Error lists the faults of a settings file.
type Error struct{ Faults []declaration.Fault }

// Error returns one fault a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// LoadEntry reads, checks and completes the settings of a file. The error is an
// [Error] if the file can be read but not used.
func LoadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("setting: %w", err)
	}
	return ParseEntry(declaration.File{Name: path, Text: text})
}

// ParseEntry is Load for a text.
func ParseEntry(file declaration.File) (*Entry, error) {
	s := &Entry{}
	if faults := declaration.DecodeStrict(file, s); len(faults) > 0 {
		return nil, &Error{faults}
	}
	if faults := s.check(file); len(faults) > 0 {
		return nil, &Error{faults}
	}
	s.complete()
	return s, nil
}

// check returns all faults of the settings.
func (s *Entry) check(file declaration.File) []declaration.Fault {
	c := &checker{file: file}
	c.text("", "Name", s.Name)
	c.text("", "Zone", s.Zone)
	c.address("Listen", "Callers", s.Listen.Callers)
	c.address("Listen", "Operators", s.Listen.Operators)
	c.address("Listen", "Peers", s.Listen.Peers)
	c.address("Platform", "Address", s.Platform.Address)
	c.text("Platform", "Credential", s.Platform.Credential)
	c.text("Peers", "Secret", s.Peers.Secret)
	for _, seed := range s.Peers.Seeds {
		c.address("Peers", "Seeds", seed.Address)
		c.text("Peers", "Seeds", seed.Name)
	}
	c.duration("Platform", "Timeout", s.Platform.Timeout)
	c.duration("Peers", "HeartbeatInterval", s.Peers.HeartbeatInterval)
	c.duration("Requests", "Timeout", s.Requests.Timeout)
	c.duration("Requests", "QueueTimeout", s.Requests.QueueTimeout)
	c.duration("Requests", "BodyTimeout", s.Requests.BodyTimeout)
	c.duration("Drain", "Timeout", s.Drain.Timeout)
	c.duration("Drain", "Notice", s.Drain.Notice)
	c.require(s.Requests.MaxBodyBytes >= 0, "Requests", "MaxBodyBytes", "must not be negative")
	c.require(s.Requests.MaxQueue >= 0, "Requests", "MaxQueue", "must not be negative")
	if s.Log.Level != "" {
		_, err := zapcore.ParseLevel(s.Log.Level)
		c.require(err == nil, "Log", "Level", "%q is no level: use debug, info, warn or error", s.Log.Level)
	}
	return c.faults
}

// checker gathers the faults of a file.
type checker struct {
	file   declaration.File
	faults []declaration.Fault
}

func (c *checker) require(ok bool, table, key, format string, args ...any) {
	if ok {
		return
	}
	path := key
	if table != "" {
		path = table + "." + key
	}
	c.faults = append(c.faults, declaration.Fault{
		File:    c.file.Name,
		Line:    lineOf(c.file.Text, table, key),
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// lineOf returns the line of a key; 0 if it is not written.
func lineOf(text []byte, table, key string) int {
	if table != "" {
		return declaration.LineOf(text, "["+table+"]", 0, key)
	}
	for i, line := range strings.Split(string(text), "\n") {
		name, _, assigned := strings.Cut(line, "=")
		if assigned && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}

func (c *checker) text(table, key, value string) {
	c.require(value != "", table, key, "missing")
}

func (c *checker) address(table, key, value string) {
	if value == "" {
		c.text(table, key, value)
		return
	}
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, table, key, "%q is no address of the form IP:port", value)
}

func (c *checker) duration(table, key string, value declaration.Duration) {
	c.require(value.Duration >= 0, table, key, "must not be negative")
}

// complete puts defaults where nothing is set.
func (s *Entry) complete() {
	setDefault(&s.Platform.Timeout, declaration.Span(DefaultPlatformTimeout))
	setDefault(&s.Peers.HeartbeatInterval, declaration.Span(DefaultHeartbeatInterval))
	setDefault(&s.Requests.Timeout, declaration.Span(DefaultRequestTimeout))
	setDefault(&s.Requests.QueueTimeout, declaration.Span(DefaultQueueTimeout))
	setDefault(&s.Requests.BodyTimeout, declaration.Span(DefaultBodyTimeout))
	setDefault(&s.Requests.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Requests.MaxQueue, DefaultMaxQueue)
	setDefault(&s.Drain.Timeout, declaration.Span(DefaultDrainTimeout))
	setDefault(&s.Drain.Notice, declaration.Span(DefaultDrainNotice))
	setDefault(&s.Log.Level, "info")
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
