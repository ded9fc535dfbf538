// Package catalog indexes an accepted configuration for the use of requests.
// A [Catalog] never changes once it is built.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"
	"time"

	"lovageport.example/internal/state/configuration"
	"lovageport.example/pkg/declaration"
)

// Candidate is an upstream with the layers that it may run in a pool.
type Candidate struct {
	Upstream *declaration.Upstream
	Range    declaration.LayerRange
	// UnconfirmedUse is the term of the loan.
	UnconfirmedUse time.Duration
}

// Pool is what a request is routed within: the upstreams of a model or of a
// plain service. A plain service counts as a model of one layer.
type Pool struct {
	Name       string
	Layers     int
	Candidates []Candidate
	// Boundaries are the layers at which a stage may start or end, sorted.
	Boundaries []int
}

// Slots returns the sum of the candidates' slots.
func (p *Pool) Slots() int {
	sum := 0
	for _, c := range p.Candidates {
		sum += c.Upstream.Slots
	}
	return sum
}

// Catalog is an indexed configuration.
type Catalog struct {
	Accepted configuration.Accepted

	upstreams map[string]*declaration.Upstream
	models    map[string]*declaration.Model
	services  map[string]*declaration.Service
	accounts  map[string]*declaration.Account
	operators map[string]*declaration.Operator
	pools     map[string]*Pool
	links     map[link]time.Duration
}

type link struct{ from, to string }

// servicePrefix keeps the pools of services apart from those of models.
const servicePrefix = "service/"

// New indexes an accepted configuration.
func New(accepted configuration.Accepted) *Catalog {
	set := &accepted.Set
	c := &Catalog{
		Accepted:  accepted,
		upstreams: make(map[string]*declaration.Upstream, len(set.Upstreams)),
		models:    make(map[string]*declaration.Model, len(set.Models)),
		services:  make(map[string]*declaration.Service, len(set.Services)),
		accounts:  make(map[string]*declaration.Account, len(set.Accounts)),
		operators: make(map[string]*declaration.Operator, len(set.Operators)),
		pools:     make(map[string]*Pool),
		links:     make(map[link]time.Duration, 2*len(set.Links)),
	}
	for i := range set.Upstreams {
		c.upstreams[set.Upstreams[i].Name] = &set.Upstreams[i]
	}
	for i := range set.Accounts {
		for _, hash := range set.Accounts[i].KeyHashes {
			c.accounts[hash] = &set.Accounts[i]
		}
	}
	for i := range set.Operators {
		c.operators[set.Operators[i].KeyHash] = &set.Operators[i]
	}
	for _, l := range set.Links {
		c.links[link{l.From, l.To}] = l.Latency.Duration
		if _, ok := c.links[link{l.To, l.From}]; !ok {
			c.links[link{l.To, l.From}] = l.Latency.Duration
		}
	}
	c.indexModels(set)
	c.indexServices(set)
	return c
}

func (c *Catalog) indexModels(set *declaration.Set) {
	for i := range set.Models {
		m := &set.Models[i]
		c.models[m.Name] = m
		c.pools[m.Name] = &Pool{Name: m.Name, Layers: m.Layers}
	}
	modelOf := make(map[string]string, len(set.Pipelines))
	for _, p := range set.Pipelines {
		modelOf[p.Name] = p.Model
	}
	for _, l := range set.Loans {
		if l.Accepted {
			c.addLoan(l, modelOf)
		}
	}
	for i := range set.Models {
		c.pools[set.Models[i].Name].findBoundaries()
	}
}

// addLoan adds the upstreams of a loan to the pools of its pipelines' models.
func (c *Catalog) addLoan(l declaration.Loan, modelOf map[string]string) {
	term := l.UnconfirmedUse.Duration
	if term == 0 {
		term = declaration.DefaultUnconfirmedUse
	}
	models := make(map[string]bool)
	for _, name := range l.Pipelines {
		models[modelOf[name]] = true
	}
	for _, name := range l.Upstreams {
		u := c.upstreams[name]
		for _, h := range u.Held {
			pool := c.pools[h.Model]
			if !models[h.Model] || pool.has(u.Name, h.LayerRange) {
				continue
			}
			pool.Candidates = append(pool.Candidates, Candidate{u, h.LayerRange, term})
		}
	}
}

func (p *Pool) has(upstream string, r declaration.LayerRange) bool {
	return slices.ContainsFunc(p.Candidates, func(c Candidate) bool {
		return c.Upstream.Name == upstream && c.Range == r
	})
}

func (p *Pool) findBoundaries() {
	for _, c := range p.Candidates {
		p.Boundaries = append(p.Boundaries, c.Range.From, c.Range.To)
	}
	slices.Sort(p.Boundaries)
	p.Boundaries = slices.Compact(p.Boundaries)
}

func (c *Catalog) indexServices(set *declaration.Set) {
	for i := range set.Services {
		s := &set.Services[i]
		c.services[s.Name] = s
		pool := &Pool{Name: servicePrefix + s.Name, Layers: 1, Boundaries: []int{0, 1}}
		for _, name := range s.Upstreams {
			pool.Candidates = append(pool.Candidates, Candidate{
				Upstream:       c.upstreams[name],
				Range:          declaration.LayerRange{From: 0, To: 1},
				UnconfirmedUse: declaration.DefaultUnconfirmedUse,
			})
		}
		c.pools[pool.Name] = pool
	}
}

// Generation returns the generation of the configuration.
func (c *Catalog) Generation() int64 { return c.Accepted.Head.Generation }

// Model returns a model and its pool.
func (c *Catalog) Model(name string) (*declaration.Model, *Pool, bool) {
	m, ok := c.models[name]
	return m, c.pools[name], ok
}

// Service returns a plain service and its pool.
func (c *Catalog) Service(name string) (*declaration.Service, *Pool, bool) {
	s, ok := c.services[name]
	return s, c.pools[servicePrefix+name], ok
}

// Pool returns the pool of a name, as in [Pool].
func (c *Catalog) Pool(name string) (*Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Upstream returns an upstream.
func (c *Catalog) Upstream(name string) (*declaration.Upstream, bool) {
	u, ok := c.upstreams[name]
	return u, ok
}

// Account returns the client account of an API key.
func (c *Catalog) Account(key string) (*declaration.Account, bool) {
	a, ok := c.accounts[HashKey(key)]
	return a, ok
}

// Operator returns the operator of a key.
func (c *Catalog) Operator(key string) (*declaration.Operator, bool) {
	o, ok := c.operators[HashKey(key)]
	return o, ok
}

// Latency returns the one-way latency between two availability zones.
func (c *Catalog) Latency(from, to string) time.Duration {
	return c.links[link{from, to}]
}

// HashKey returns the hash by which a key is declared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Operation finds the declared operation of a service for a call.
func Operation(s *declaration.Service, method, callPath string) (declaration.Operation, bool) {
	for _, o := range s.Operations {
		if o.Method != method || strings.Count(o.Path, "/") != strings.Count(callPath, "/") {
			continue
		}
		if matched, err := path.Match(o.Path, callPath); err == nil && matched {
			return o, true
		}
	}
	return declaration.Operation{}, false
}
