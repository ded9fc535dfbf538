// Package catalog indexes an accepted configuration for the lookups that
// serving a request needs.
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

// Candidate is an upstream of a pool and a range of layers that it can run.
type Candidate struct {
	Upstream *declaration.Upstream
	Range    declaration.LayerRange
	// UnconfirmedUse is how long an entry of another availability zone may use
	// the upstream without having heard of the platform, by the terms of the
	// loan.
	UnconfirmedUse time.Duration
}

// Pool is the set of upstreams that can serve a model or a plain service. A
// plain service is treated as a model with a single layer.
type Pool struct {
	Name       string
	Layers     int
	Candidates []Candidate
	// Boundaries are the layers at which a candidate's range starts or ends,
	// sorted and without duplicates.
	Boundaries []int
}

// Slots returns the total number of slots of the candidates.
func (p *Pool) Slots() int {
	sum := 0
	for _, c := range p.Candidates {
		sum += c.Upstream.Slots
	}
	return sum
}

// Catalog is an indexed configuration. It is immutable and may be used by many
// goroutines.
type Catalog struct {
	Snapshot configuration.Snapshot

	upstreams map[string]*declaration.Upstream
	models    map[string]*declaration.Model
	services  map[string]*declaration.Service
	accounts  map[string]*declaration.Account
	operators map[string]*declaration.Operator
	pools     map[string]*Pool
	links     map[link]time.Duration
}

type link struct{ from, to string }

// servicePoolPrefix separates the pool names of services from those of models.
const servicePoolPrefix = "service/"

// New indexes an accepted configuration.
func New(accepted configuration.Snapshot) *Catalog {
	set := &accepted.Set
	c := &Catalog{
		Snapshot:  accepted,
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
		// A link applies in both directions unless the reverse is declared too.
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
		c.pools[set.Models[i].Name].computeBoundaries()
	}
}

// addLoan adds the upstreams of an accepted loan to the pools of the models
// that the loan's pipelines serve. modelOf maps pipelines to models.
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
			if !models[h.Model] || pool.contains(u.Name, h.LayerRange) {
				continue
			}
			pool.Candidates = append(pool.Candidates, Candidate{u, h.LayerRange, term})
		}
	}
}

func (p *Pool) contains(upstream string, r declaration.LayerRange) bool {
	return slices.ContainsFunc(p.Candidates, func(c Candidate) bool {
		return c.Upstream.Name == upstream && c.Range == r
	})
}

func (p *Pool) computeBoundaries() {
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
		pool := &Pool{Name: servicePoolPrefix + s.Name, Layers: 1, Boundaries: []int{0, 1}}
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

// Generation returns the generation of the configuration; 0 for an empty one.
func (c *Catalog) Generation() int64 { return c.Snapshot.Head.Generation }

// Model returns the model of that name and its pool. It returns false if none
// is declared.
func (c *Catalog) Model(name string) (*declaration.Model, *Pool, bool) {
	m, ok := c.models[name]
	return m, c.pools[name], ok
}

// Service returns the plain service of that name and its pool. It returns
// false if none is declared.
func (c *Catalog) Service(name string) (*declaration.Service, *Pool, bool) {
	s, ok := c.services[name]
	return s, c.pools[servicePoolPrefix+name], ok
}

// Pool returns the pool whose [Pool.Name] is name. It returns false if there is
// none.
func (c *Catalog) Pool(name string) (*Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Upstream returns the upstream of that name. It returns false if none is
// declared.
func (c *Catalog) Upstream(name string) (*declaration.Upstream, bool) {
	u, ok := c.upstreams[name]
	return u, ok
}

// Account returns the client account that an API key belongs to. It returns
// false for an unknown key.
func (c *Catalog) Account(key string) (*declaration.Account, bool) {
	a, ok := c.accounts[HashKey(key)]
	return a, ok
}

// Operator returns the operator that a key belongs to. It returns false for an
// unknown key.
func (c *Catalog) Operator(key string) (*declaration.Operator, bool) {
	o, ok := c.operators[HashKey(key)]
	return o, ok
}

// Latency returns the one-way latency between two availability zones; 0 if no
// link between them is declared.
func (c *Catalog) Latency(from, to string) time.Duration {
	return c.links[link{from, to}]
}

// HashKey returns the SHA-256 sum of a key in hex, the form in which keys are
// declared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FindOperation returns the declared operation of a service that matches the
// method and path of a call. It returns false if none does.
func FindOperation(s *declaration.Service, method, callPath string) (declaration.Operation, bool) {
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
