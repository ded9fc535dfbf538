package declaration

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"strings"
)

// Bounds of declared values.
const (
	// MaxNameBytes bounds the length of a name.
	MaxNameBytes = 80
	// MaxPriority is the highest priority of a client account.
	MaxPriority = 9
	// MaxLayers bounds the layers of a model.
	MaxLayers = 1024
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// checker gathers the faults of a set and knows the names declared in it.
type checker struct {
	faults    []Fault
	models    map[string]Model
	pipelines map[string]bool
	upstreams map[string]Upstream
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.fault(path, format, args...)
	}
}

// names checks the names of one kind and that each is declared once.
func names[T any](c *checker, kind string, objects []T, name func(*T) string) {
	seen := make(map[string]int)
	for i := range objects {
		at := fmt.Sprintf("%s[%d].Name", kind, i)
		n := name(&objects[i])
		c.require(len(n) <= MaxNameBytes && namePattern.MatchString(n), at,
			"%q is no name: use a-z, 0-9, '.', '_' and '-', at most %d bytes", n, MaxNameBytes)
		if first, ok := seen[n]; ok {
			c.fault(at, "%q is declared already by %s[%d]", n, kind, first)
			continue
		}
		seen[n] = i
	}
}

// Check returns every fault of the set.
func (s *Set) Check() []Fault {
	c := &checker{
		models:    make(map[string]Model),
		pipelines: make(map[string]bool),
		upstreams: make(map[string]Upstream),
	}
	names(c, "Models", s.Models, func(m *Model) string { return m.Name })
	names(c, "Pipelines", s.Pipelines, func(p *Pipeline) string { return p.Name })
	names(c, "Upstreams", s.Upstreams, func(u *Upstream) string { return u.Name })
	names(c, "Loans", s.Loans, func(l *Loan) string { return l.Name })
	names(c, "Accounts", s.Accounts, func(a *Account) string { return a.Name })
	names(c, "Services", s.Services, func(v *Service) string { return v.Name })
	names(c, "Operators", s.Operators, func(o *Operator) string { return o.Name })
	c.checkModels(s.Models)
	c.checkPipelines(s.Pipelines)
	c.checkUpstreams(s.Upstreams)
	c.checkLoans(s.Loans)
	c.checkLinks(s.Links)
	c.checkAccounts(s.Accounts)
	c.checkServices(s.Services)
	c.checkOperators(s.Operators)
	return c.faults
}

func (c *checker) checkModels(models []Model) {
	for i, m := range models {
		at := fmt.Sprintf("Models[%d].", i)
		c.require(m.Layers >= 1 && m.Layers <= MaxLayers, at+"Layers", "must be 1 to %d", MaxLayers)
		c.require(m.MaxOutputTokens >= 1, at+"MaxOutputTokens", "must be at least 1")
		c.models[m.Name] = m
	}
}

func (c *checker) checkPipelines(pipelines []Pipeline) {
	for i, p := range pipelines {
		_, ok := c.models[p.Model]
		c.require(ok, fmt.Sprintf("Pipelines[%d].Model", i), "no model %q", p.Model)
		c.pipelines[p.Name] = true
	}
}

func (c *checker) checkUpstreams(upstreams []Upstream) {
	addresses := make(map[string]string)
	for i, u := range upstreams {
		at := fmt.Sprintf("Upstreams[%d].", i)
		c.require(u.Owner != "", at+"Owner", "missing")
		c.require(u.Zone != "", at+"Zone", "missing")
		c.require(u.Slots >= 1, at+"Slots", "must be at least 1")
		_, err := netip.ParseAddrPort(u.Address)
		c.require(err == nil, at+"Address", "%q is no address of the form IP:port", u.Address)
		if other, ok := addresses[u.Address]; ok && err == nil {
			c.fault(at+"Address", "%s is the address of upstream %q too", u.Address, other)
		}
		addresses[u.Address] = u.Name
		c.checkUpstreamKind(at, u)
		c.upstreams[u.Name] = u
	}
}

func (c *checker) checkUpstreamKind(at string, u Upstream) {
	switch u.Kind {
	case PlainService:
		c.require(len(u.Held) == 0, at+"Held", "a plain service holds no layers")
	case Engine:
		c.require(len(u.Held) > 0, at+"Held", "an engine must hold layers")
		c.require(u.LayersPerSecond > 0, at+"LayersPerSecond", "must be above 0")
	default:
		c.fault(at+"Kind", "%q is neither %q nor %q", u.Kind, Engine, PlainService)
	}
	for _, h := range u.Held {
		m, ok := c.models[h.Model]
		if !ok {
			c.fault(at+"Held", "no model %q", h.Model)
			continue
		}
		c.require(h.From >= 0 && h.From < h.To && h.To <= m.Layers, at+"Held",
			"[%d, %d) is no range within the %d layers of %q", h.From, h.To, m.Layers, h.Model)
	}
}

func (c *checker) checkLoans(loans []Loan) {
	for i, l := range loans {
		at := fmt.Sprintf("Loans[%d].", i)
		c.require(l.UnconfirmedUse.Duration >= 0, at+"UnconfirmedUse", "must not be negative")
		for _, name := range l.Upstreams {
			u, ok := c.upstreams[name]
			c.require(ok, at+"Upstreams", "no upstream %q", name)
			c.require(!ok || u.Owner == l.Owner, at+"Upstreams", "upstream %q belongs to %q, not to %q", name, u.Owner, l.Owner)
		}
		for _, name := range l.Pipelines {
			c.require(c.pipelines[name], at+"Pipelines", "no pipeline %q", name)
		}
	}
}

func (c *checker) checkLinks(links []Link) {
	for i, l := range links {
		at := fmt.Sprintf("Links[%d].", i)
		c.require(l.From != "" && l.To != "", at+"From", "both availability zones must be named")
		c.require(l.Latency.Duration >= 0, at+"Latency", "must not be negative")
	}
}

func (c *checker) checkAccounts(accounts []Account) {
	hashes := make(map[string]string)
	for i, a := range accounts {
		at := fmt.Sprintf("Accounts[%d].", i)
		c.require(a.Priority >= 0 && a.Priority <= MaxPriority, at+"Priority", "must be 0 to %d", MaxPriority)
		c.require(a.MaxInFlight >= 0, at+"MaxInFlight", "must not be negative")
		c.require(a.RequestsPerSecond >= 0, at+"RequestsPerSecond", "must not be negative")
		for _, h := range a.KeyHashes {
			c.checkHash(at+"KeyHashes", h)
			if other, ok := hashes[h]; ok {
				c.fault(at+"KeyHashes", "account %q has the same key", other)
			}
			hashes[h] = a.Name
		}
	}
}

func (c *checker) checkServices(services []Service) {
	for i, s := range services {
		at := fmt.Sprintf("Services[%d].", i)
		c.require(s.Timeout.Duration > 0, at+"Timeout", "must be above 0")
		c.require(len(s.Upstreams) > 0, at+"Upstreams", "missing")
		for _, name := range s.Upstreams {
			u, ok := c.upstreams[name]
			c.require(ok, at+"Upstreams", "no upstream %q", name)
			c.require(!ok || u.Kind == PlainService, at+"Upstreams", "upstream %q is no plain service", name)
		}
		for _, o := range s.Operations {
			c.require(o.Method != "" && strings.ToUpper(o.Method) == o.Method, at+"Operations", "%q is no method", o.Method)
			_, err := path.Match(o.Path, "/")
			c.require(err == nil && strings.HasPrefix(o.Path, "/"), at+"Operations", "%q is no path that starts with /", o.Path)
		}
	}
}

func (c *checker) checkOperators(operators []Operator) {
	for i, o := range operators {
		at := fmt.Sprintf("Operators[%d].", i)
		c.checkHash(at+"KeyHash", o.KeyHash)
		c.require(o.Admin || len(o.Owners) > 0, at+"Owners", "an operator must be Admin or act for an owner")
	}
}

// sha256HexBytes is the length of a SHA-256 sum in hex.
const sha256HexBytes = 64

func (c *checker) checkHash(at, hash string) {
	_, err := hex.DecodeString(hash)
	c.require(err == nil && len(hash) == sha256HexBytes, at, "%q is no SHA-256 sum in hex", hash)
}
