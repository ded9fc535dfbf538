package declaration

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"strings"
)

// Limits of declared values.
const (
	// MaxNameBytes is the maximum length of a name.
	MaxNameBytes = 80
	// MaxPriority is the highest priority of a client account.
	MaxPriority = 9
	// MaxLayers is the maximum number of layers of a model.
	MaxLayers = 1024
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// checker collects the faults of a set and the objects that have been checked, to
// which later objects refer.
type checker struct {
	faults    []Fault
	models    map[string]Model
	pipelines map[string]bool
	upstreams map[string]Upstream
}

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// require adds a fault unless ok is true.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.addFault(path, format, args...)
	}
}

// checkNames checks that the names of the objects of one kind are valid and unique.
func checkNames[T any](c *checker, kind string, objects []T, name func(*T) string) {
	seen := make(map[string]int)
	for i := range objects {
		path := fmt.Sprintf("%s[%d].Name", kind, i)
		n := name(&objects[i])
		c.require(len(n) <= MaxNameBytes && namePattern.MatchString(n), path,
			"%q is no name: use a-z, 0-9, '.', '_' and '-', at most %d bytes", n, MaxNameBytes)
		if first, ok := seen[n]; ok {
			c.addFault(path, "%q is declared already by %s[%d]", n, kind, first)
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
	checkNames(c, "Models", s.Models, func(m *Model) string { return m.Name })
	checkNames(c, "Pipelines", s.Pipelines, func(p *Pipeline) string { return p.Name })
	checkNames(c, "Upstreams", s.Upstreams, func(u *Upstream) string { return u.Name })
	checkNames(c, "Loans", s.Loans, func(l *Loan) string { return l.Name })
	checkNames(c, "Accounts", s.Accounts, func(a *Account) string { return a.Name })
	checkNames(c, "Services", s.Services, func(v *Service) string { return v.Name })
	checkNames(c, "Operators", s.Operators, func(o *Operator) string { return o.Name })
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
		prefix := fmt.Sprintf("Models[%d].", i)
		c.require(m.Layers >= 1 && m.Layers <= MaxLayers, prefix+"Layers", "must be 1 to %d", MaxLayers)
		c.require(m.MaxOutputTokens >= 1, prefix+"MaxOutputTokens", "must be at least 1")
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
		prefix := fmt.Sprintf("Upstreams[%d].", i)
		c.require(u.Owner != "", prefix+"Owner", "missing")
		c.require(u.Zone != "", prefix+"Zone", "missing")
		c.require(u.Slots >= 1, prefix+"Slots", "must be at least 1")
		_, err := netip.ParseAddrPort(u.Address)
		c.require(err == nil, prefix+"Address", "%q is no address of the form IP:port", u.Address)
		if other, ok := addresses[u.Address]; ok && err == nil {
			c.addFault(prefix+"Address", "%s is the address of upstream %q too", u.Address, other)
		}
		addresses[u.Address] = u.Name
		c.checkUpstreamKind(prefix, u)
		c.upstreams[u.Name] = u
	}
}

func (c *checker) checkUpstreamKind(prefix string, u Upstream) {
	switch u.Kind {
	case PlainService:
		c.require(len(u.Held) == 0, prefix+"Held", "a plain service holds no layers")
	case Engine:
		c.require(len(u.Held) > 0, prefix+"Held", "an engine must hold layers")
		c.require(u.LayersPerSecond > 0, prefix+"LayersPerSecond", "must be above 0")
	default:
		c.addFault(prefix+"Kind", "%q is neither %q nor %q", u.Kind, Engine, PlainService)
	}
	for _, h := range u.Held {
		m, ok := c.models[h.Model]
		if !ok {
			c.addFault(prefix+"Held", "no model %q", h.Model)
			continue
		}
		c.require(h.From >= 0 && h.From < h.To && h.To <= m.Layers, prefix+"Held",
			"[%d, %d) is no range within the %d layers of %q", h.From, h.To, m.Layers, h.Model)
	}
}

func (c *checker) checkLoans(loans []Loan) {
	for i, l := range loans {
		prefix := fmt.Sprintf("Loans[%d].", i)
		c.require(l.UnconfirmedUse.Duration >= 0, prefix+"UnconfirmedUse", "must not be negative")
		for _, name := range l.Upstreams {
			u, ok := c.upstreams[name]
			c.require(ok, prefix+"Upstreams", "no upstream %q", name)
			c.require(!ok || u.Owner == l.Owner, prefix+"Upstreams", "upstream %q belongs to %q, not to %q", name, u.Owner, l.Owner)
		}
		for _, name := range l.Pipelines {
			c.require(c.pipelines[name], prefix+"Pipelines", "no pipeline %q", name)
		}
	}
}

func (c *checker) checkLinks(links []Link) {
	for i, l := range links {
		prefix := fmt.Sprintf("Links[%d].", i)
		c.require(l.From != "" && l.To != "", prefix+"From", "both availability zones must be named")
		c.require(l.Latency.Duration >= 0, prefix+"Latency", "must not be negative")
	}
}

func (c *checker) checkAccounts(accounts []Account) {
	hashes := make(map[string]string)
	for i, a := range accounts {
		prefix := fmt.Sprintf("Accounts[%d].", i)
		c.require(a.Priority >= 0 && a.Priority <= MaxPriority, prefix+"Priority", "must be 0 to %d", MaxPriority)
		c.require(a.MaxInFlight >= 0, prefix+"MaxInFlight", "must not be negative")
		c.require(a.RequestsPerSecond >= 0, prefix+"RequestsPerSecond", "must not be negative")
		for _, h := range a.KeyHashes {
			c.checkHash(prefix+"KeyHashes", h)
			if other, ok := hashes[h]; ok {
				c.addFault(prefix+"KeyHashes", "account %q has the same key", other)
			}
			hashes[h] = a.Name
		}
	}
}

func (c *checker) checkServices(services []Service) {
	for i, s := range services {
		prefix := fmt.Sprintf("Services[%d].", i)
		c.require(s.Timeout.Duration > 0, prefix+"Timeout", "must be above 0")
		c.require(len(s.Upstreams) > 0, prefix+"Upstreams", "missing")
		for _, name := range s.Upstreams {
			u, ok := c.upstreams[name]
			c.require(ok, prefix+"Upstreams", "no upstream %q", name)
			c.require(!ok || u.Kind == PlainService, prefix+"Upstreams", "upstream %q is no plain service", name)
		}
		for _, o := range s.Operations {
			c.require(o.Method != "" && strings.ToUpper(o.Method) == o.Method, prefix+"Operations", "%q is no method", o.Method)
			_, err := path.Match(o.Path, "/")
			c.require(err == nil && strings.HasPrefix(o.Path, "/"), prefix+"Operations", "%q is no path that starts with /", o.Path)
		}
	}
}

func (c *checker) checkOperators(operators []Operator) {
	for i, o := range operators {
		prefix := fmt.Sprintf("Operators[%d].", i)
		c.checkHash(prefix+"KeyHash", o.KeyHash)
		c.require(o.Admin || len(o.Owners) > 0, prefix+"Owners", "an operator must be Admin or act for an owner")
	}
}

// sha256HexLen is the length of a SHA-256 hash in hexadecimal.
const sha256HexLen = 64

func (c *checker) checkHash(path, hash string) {
	_, err := hex.DecodeString(hash)
	c.require(err == nil && len(hash) == sha256HexLen, path, "%q is no SHA-256 sum in hex", hash)
}
