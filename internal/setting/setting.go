// Package setting reads the settings files of entry and gateway processes.
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

// Platform holds the settings for access to the platform.
type Platform struct {
	Address    string
	Credential string
	// Timeout is the timeout of a call; DefaultPlatformTimeout if zero.
	Timeout declaration.Duration `toml:",omitempty"`
}

// Seed is a peer that is called before the list of VMs is known.
type Seed struct {
	Name    string
	Zone    string
	Address string
}

// Peers holds the settings for calls between entries.
type Peers struct {
	// Secret authenticates the entries to each other; all have the same.
	Secret string
	Seeds  []Seed `toml:",omitempty"`
	// HeartbeatInterval is the time between heartbeats;
	// DefaultHeartbeatInterval if zero.
	HeartbeatInterval declaration.Duration `toml:",omitempty"`
}

// Operators says who may call the operators' API before any operator is declared.
type Operators struct {
	// BootstrapKeyHash is the SHA-256 hash, in hexadecimal, of a key that allows
	// every call.
	BootstrapKeyHash string `toml:",omitempty"`
}

// Requests holds the limits of callers' requests.
type Requests struct {
	// Timeout is the timeout of a request whose caller sets none.
	Timeout declaration.Duration `toml:",omitempty"`
	// QueueTimeout is how long a request may wait in the queue.
	QueueTimeout declaration.Duration `toml:",omitempty"`
	// BodyTimeout is how long a body may take to arrive.
	BodyTimeout declaration.Duration `toml:",omitempty"`
	// MaxBodyBytes is the maximum size of a body.
	MaxBodyBytes int64 `toml:",omitempty"`
	// MaxQueue is the maximum number of requests in the queue of one model or
	// service.
	MaxQueue int `toml:",omitempty"`
}

// Drain holds the durations of a graceful shutdown.
type Drain struct {
	// Timeout is how long requests in flight may take to complete.
	Timeout declaration.Duration `toml:",omitempty"`
	// Notice is how long new requests are still accepted after the health check
	// has begun to fail, so that the load balancer can notice it.
	Notice declaration.Duration `toml:",omitempty"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `toml:",omitempty"`
}

// Entry holds the settings of an entry process.
type Entry struct {
	// Name is the unique name of the process.
	Name string
	// Zone is the availability zone of the process.
	Zone      string
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Operators Operators `toml:",omitempty"`
	Requests  Requests  `toml:",omitempty"`
	Drain     Drain     `toml:",omitempty"`
	Limits    Limits    `toml:",omitempty"`
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

// Error holds the faults of a settings file or a declared set.
type Error struct{ Faults []declaration.Fault }

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// LoadEntry reads and checks the settings of an entry and fills in defaults. The
// error is an [Error] if the file can be read but is invalid.
func LoadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("setting: %w", err)
	}
	return ParseEntry(declaration.File{Name: path, Text: text})
}

// ParseEntry is like LoadEntry, but takes the text of the file.
func ParseEntry(file declaration.File) (*Entry, error) {
	s := &Entry{}
	if faults := declaration.DecodeStrict(file, s); len(faults) > 0 {
		return nil, &Error{faults}
	}
	if faults := s.check(file); len(faults) > 0 {
		return nil, &Error{faults}
	}
	s.setDefaults()
	return s, nil
}

// check returns all faults of the settings.
func (s *Entry) check(file declaration.File) []declaration.Fault {
	c := &checker{file: file}
	c.requireText("", "Name", s.Name)
	c.requireText("", "Zone", s.Zone)
	c.requireAddress("Listen", "Callers", s.Listen.Callers)
	c.requireAddress("Listen", "Operators", s.Listen.Operators)
	c.requireAddress("Listen", "Peers", s.Listen.Peers)
	c.requireAddress("Platform", "Address", s.Platform.Address)
	c.requireText("Platform", "Credential", s.Platform.Credential)
	c.requireText("Peers", "Secret", s.Peers.Secret)
	for _, seed := range s.Peers.Seeds {
		c.requireAddress("Peers", "Seeds", seed.Address)
		c.requireText("Peers", "Seeds", seed.Name)
	}
	c.requireNotNegative("Platform", "Timeout", s.Platform.Timeout)
	c.requireNotNegative("Peers", "HeartbeatInterval", s.Peers.HeartbeatInterval)
	c.requireNotNegative("Requests", "Timeout", s.Requests.Timeout)
	c.requireNotNegative("Requests", "QueueTimeout", s.Requests.QueueTimeout)
	c.requireNotNegative("Requests", "BodyTimeout", s.Requests.BodyTimeout)
	c.requireNotNegative("Drain", "Timeout", s.Drain.Timeout)
	c.requireNotNegative("Drain", "Notice", s.Drain.Notice)
	c.require(s.Requests.MaxBodyBytes >= 0, "Requests", "MaxBodyBytes", "must not be negative")
	c.require(s.Requests.MaxQueue >= 0, "Requests", "MaxQueue", "must not be negative")
	s.Limits.check(c)
	if s.Log.Level != "" {
		_, err := zapcore.ParseLevel(s.Log.Level)
		c.require(err == nil, "Log", "Level", "%q is not a log level: use debug, info, warn or error", s.Log.Level)
	}
	return c.faults
}

// checker collects the faults of a settings file.
type checker struct {
	file   declaration.File
	faults []declaration.Fault
}

// require adds a fault for a key of a table unless ok is true. The table is empty for
// a key at the top level.
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

// lineOf returns the line number of a key, counted from 1. If the key is absent, it
// returns the line of the table's header, or 0 if there is none.
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

func (c *checker) requireText(table, key, value string) {
	c.require(value != "", table, key, "missing")
}

// requireAddress requires the form IP:port.
func (c *checker) requireAddress(table, key, value string) {
	if value == "" {
		c.requireText(table, key, value)
		return
	}
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, table, key, "%q is no address of the form IP:port", value)
}

func (c *checker) requireNotNegative(table, key string, value declaration.Duration) {
	c.require(value.Duration >= 0, table, key, "must not be negative")
}

// setDefaults sets unset fields to their defaults.
func (s *Entry) setDefaults() {
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

// setDefault sets value to fallback if it is the zero value.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
