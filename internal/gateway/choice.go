package gateway

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// ChoicePath is the path on the metrics listener at which a gateway tells where a
// request would go.
const ChoicePath = "/choice"

// Choice says where a gateway would send a request now, and why. Times are in
// milliseconds, and costs in those of the selection.
type Choice struct {
	Gateway string `json:"gateway"`
	Zone    string `json:"zone"`
	Route   string `json:"route"`
	Account string `json:"account,omitempty"`
	Service string `json:"service"`
	// Target are the chosen upstreams with their layers, in order; empty if Refusal
	// says why there are none now. A refused request may be queued.
	Target  []ChosenStage `json:"target"`
	Refusal string        `json:"refusal,omitempty"`
	// PredictedFirst is the expected time until the first event; 0 if unknown.
	PredictedFirst float64 `json:"predicted_first_ms"`
	// Waiting is the number of queued requests of the service, which go first.
	Waiting    int                `json:"waiting"`
	Candidates []CandidateCost    `json:"candidates"`
	Excluded   []ExcludedUpstream `json:"excluded"`
	// ConfigurationAge and ListAge are the times since the configuration and the list of
	// upstreams were last confirmed, and PeerReportAge that since the oldest report of a
	// live peer; -1 if there is none.
	ConfigurationAge float64 `json:"configuration_age_ms"`
	ListAge          float64 `json:"list_age_ms"`
	PeerReportAge    float64 `json:"peer_report_age_ms"`
}

// ChosenStage is a chosen upstream; From and To are its layers, 0 without engine.
type ChosenStage struct {
	Upstream string `json:"upstream"`
	From     int    `json:"from"`
	To       int    `json:"to"`
}

// CandidateCost is an upstream that may be chosen, with the terms of its cost.
type CandidateCost struct {
	Upstream string `json:"upstream"`
	Zone     string `json:"zone"`
	From     int    `json:"from"`
	To       int    `json:"to"`
	// Cost is the sum of Terms, for all layers of the upstream and without the random
	// part.
	Cost  float64            `json:"cost"`
	Terms map[string]float64 `json:"terms"`
	// Fill is the fraction of its memory, or of its slots without engine, that is in
	// use with the request.
	Fill float64 `json:"fill"`
	// CachedTokens, CachedProbability and CachedAge describe the prefix that it probably
	// caches.
	CachedTokens      int     `json:"cached_tokens,omitempty"`
	CachedProbability float64 `json:"cached_probability,omitempty"`
	CachedAge         float64 `json:"cached_age_ms,omitempty"`
}

// ExcludedUpstream is an upstream of the service that is not considered.
type ExcludedUpstream struct {
	Upstream string `json:"upstream"`
	Reason   string `json:"reason"`
}

// errUnknownName is wrapped by the errors for names that the configuration lacks.
var errUnknownName = errors.New("not in the configuration in force")

// choiceRequest returns the request that the parameters of a question describe.
func choiceRequest(t *routing.Table, p url.Values, now time.Duration) (*request, error) {
	q := &request{arrived: now, deadline: now + defaultTimeout}
	i := slices.IndexFunc(t.Routes, func(r *routing.Route) bool { return r.Name == p.Get("route") })
	if i < 0 {
		return nil, fmt.Errorf("route %q: %w", p.Get("route"), errUnknownName)
	}
	q.route = t.Routes[i]
	q.rank = min(q.route.Priority, lowestRank)
	if q.account = p.Get("account"); q.account != "" {
		i := slices.IndexFunc(t.Accounts, func(a *routing.Account) bool { return a.Name == q.account })
		if i < 0 {
			return nil, fmt.Errorf("account %q: %w", q.account, errUnknownName)
		}
		if own := t.Accounts[i].Priority; own != nil {
			q.rank = min(*own, lowestRank)
		}
	}
	for name, to := range map[string]*int{"prompt": &q.PromptTokens, "answer": &q.ExpectedOutputTokens} {
		if p.Get(name) == "" {
			continue
		}
		n, err := strconv.Atoi(p.Get(name))
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%s: %q is no number of tokens", name, p.Get(name))
		}
		*to = n
	}
	for _, text := range p["part"] {
		part, err := parsePart(text)
		if err != nil {
			return nil, err
		}
		q.Prefix = append(q.Prefix, part)
	}
	q.service = q.route.Backend("")
	if service := p.Get("service"); service != "" {
		if !slices.ContainsFunc(q.route.Backends, func(b routing.Backend) bool { return b.Service == service }) {
			return nil, fmt.Errorf("service %q of route %q: %w", service, q.route.Name, errUnknownName)
		}
		q.service = service
	}
	q.accepted = t.Services[q.service]
	q.tokens = expectedTokens(&q.Request, q.accepted)
	return q, nil
}

// explainChoice returns where a request would go now. Nothing is reserved.
func (s *state) explainChoice(q *request, now time.Duration) *Choice {
	c := &Choice{
		Zone: s.zone, Route: q.route.Name, Account: q.account, Service: q.service, Waiting: s.queue.Len(q.service),
		Target: []ChosenStage{}, Candidates: []CandidateCost{}, Excluded: []ExcludedUpstream{},
		ListAge: toMS(now - s.listedAt), PeerReportAge: -1,
	}
	c.PeerReportAge = s.oldestReportAge(now)
	pool := s.poolOf(q)
	c.Excluded = append(c.Excluded, s.unusedUpstreams(pool, q.service, now)...)
	var to target
	err := error(verdict.Refuse(verdict.NoUpstream, "no upstream of %s is in service", q.service))
	switch {
	case pool == nil:
	case pool.layers != nil:
		to, err = s.selectChain(pool, q, now)
		s.addChainCandidates(c, pool, q, now)
	default:
		to, err = s.selectUpstream(pool, q, now)
		s.addCallCandidates(c, pool, now)
	}
	if err != nil {
		c.Refusal = verdict.Of(err).Error()
		return c
	}
	c.PredictedFirst = toMS(to.predictedFirst)
	for i := range to.stageCount() {
		stage := ChosenStage{Upstream: to.stage(i).Instance}
		if to.hasEngine() {
			stage.From, stage.To = to.chain[i].Layers.From, to.chain[i].Layers.To
		}
		c.Target = append(c.Target, stage)
	}
	return c
}

// addChainCandidates adds the engines of a pool, the cheapest first.
func (s *state) addChainCandidates(c *Choice, p *servicePool, q *request, now time.Duration) {
	cached, _ := s.findCached(p, q, now)
	for _, t := range p.layers.Explain(s.chainQuery(p, q, nil, now)) {
		if t.Load.Excluded {
			continue
		}
		e := cached[t.Upstream.Instance]
		c.Candidates = append(c.Candidates, CandidateCost{
			Upstream: t.Upstream.Instance, Zone: t.Upstream.Zone, From: t.Upstream.Held.From, To: t.Upstream.Held.To, Cost: t.Total, Fill: t.Fill,
			CachedTokens: e.Tokens, CachedProbability: e.Probability, CachedAge: toMS(e.Age),
			Terms: nonZero(map[string]float64{
				"step": t.Step, "memory": t.Memory, "overhead": t.Overhead, "backlog": t.Backlog, "capacity": t.Capacity,
				"entry": t.Entry, "slots": t.Slots, "prefix": -t.Prefix,
			}),
		})
	}
	sortCandidates(c)
}

// addCallCandidates adds the upstreams of a pool without engine, the cheapest first.
func (s *state) addCallCandidates(c *Choice, p *servicePool, now time.Duration) {
	for _, u := range p.members {
		if s.health.Excluded(u.Instance, now) || !s.mayBegin(u, now) {
			continue
		}
		slots := (float64(s.loadOf(u.Instance).requests+1) + s.peerLoad(u.Instance).Requests) / float64(u.Slots)
		terms := map[string]float64{
			"slots":    slots,
			"latency":  float64(s.health.MeanLatency(u.Instance, now)) / float64(latencyCostUnit),
			"failures": failureCost * s.health.FailureRate(u.Instance, now),
		}
		if u.Zone != s.zone {
			terms["zone"] = crossZoneCost
		}
		if s.isLimited(u) {
			terms["limit"] = -limitedCredit
		}
		cost := 0.0
		for _, term := range terms {
			cost += term
		}
		c.Candidates = append(c.Candidates, CandidateCost{Upstream: u.Instance, Zone: u.Zone, Cost: cost, Fill: slots, Terms: nonZero(terms)})
	}
	sortCandidates(c)
}

func sortCandidates(c *Choice) {
	slices.SortStableFunc(c.Candidates, func(a, b CandidateCost) int { return cmp.Compare(a.Cost, b.Cost) })
}

// nonZero returns the terms other than 0.
func nonZero(terms map[string]float64) map[string]float64 {
	for name, term := range terms {
		if term == 0 {
			delete(terms, name)
		}
	}
	return terms
}

// unusedUpstreams returns the listed upstreams of a service that get no requests, with
// the reasons, ordered by instance.
func (s *state) unusedUpstreams(p *servicePool, service string, now time.Duration) []ExcludedUpstream {
	var out []ExcludedUpstream
	for instance, u := range s.upstreams {
		if u.Service != service {
			continue
		}
		if reason := s.unusedReason(p, u, now); reason != "" {
			out = append(out, ExcludedUpstream{instance, reason})
		}
	}
	slices.SortFunc(out, func(a, b ExcludedUpstream) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// unusedReason returns why an upstream gets no requests; empty if it does.
func (s *state) unusedReason(p *servicePool, u *fleet.Upstream, now time.Duration) string {
	hold := s.health.HoldOff(u.Instance)
	switch {
	case u.State == fleet.Draining && s.withheld[u.Instance] != nil:
		return "withheld since the store was restored"
	case u.State == fleet.Draining:
		return "draining"
	case u.State != fleet.Serving:
		return "its entry is unusable"
	case s.isLeaving(u):
		return "it has announced its shutdown"
	case p == nil:
		return "no upstream of its service is in service"
	case !slices.ContainsFunc(p.members, func(m *fleet.Upstream) bool { return m.Instance == u.Instance }):
		return "another upstream is registered at its address since"
	case s.health.ConfirmedDown(u.Instance):
		return "known to have ended"
	case s.health.ExcludedForFault(u.Instance, now):
		return "left alone after a fault"
	case now < hold.Work:
		return fmt.Sprintf("it has asked for no work for %v more", (hold.Work - now).Round(time.Millisecond))
	case p.layers == nil && now < hold.Calls:
		return fmt.Sprintf("it has asked for no calls for %v more", (hold.Calls - now).Round(time.Millisecond))
	case p.layers != nil && u.Held.Len() <= 0:
		return "it holds no layers"
	}
	return s.limitReason(p, u, now)
}

// oldestReportAge returns the age of the oldest report of load by a peer of the own zone or
// by another zone, in milliseconds; -1 if there is none.
func (s *state) oldestReportAge(now time.Duration) float64 {
	oldest := -1.0
	for _, m := range s.members.Alive(now) {
		at := m.LastHeard
		if m.Zone != s.zone {
			// Its messages may hold no load.
			var reported bool
			if at, reported = s.zoneReports.MadeAt(m.Zone); !reported {
				continue
			}
		}
		oldest = max(oldest, toMS(now-at))
	}
	return oldest
}

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// serveChoice answers where the request that the parameters describe would go.
func (g *Gateway) serveChoice(w http.ResponseWriter, r *http.Request) {
	t := g.routing.Table()
	if t == nil {
		http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
		return
	}
	now := g.Now()
	q, err := choiceRequest(t, r.URL.Query(), now)
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, errUnknownName) {
			status = http.StatusNotFound
		}
		http.Error(w, err.Error(), status)
		return
	}
	var c *Choice
	if !g.control.Do(func(s *state) { c = s.explainChoice(q, now) }) {
		http.Error(w, "the process ends", http.StatusServiceUnavailable)
		return
	}
	c.Gateway = g.Settings.Name
	age, _ := g.routing.Age(now)
	c.ConfigurationAge = toMS(age)
	w.Header().Set("Content-Type", "application/json")
	// If the write fails the caller has gone.
	_ = json.NewEncoder(w).Encode(c)
}

// metricsHandler returns the handler of the metrics listener.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ChoicePath, g.serveChoice)
	mux.Handle("/", g.metrics.handler())
	return mux
}

// parsePart parses a part of a prompt in the form ID:TOKENS.
func parsePart(text string) (relay.PromptPart, error) {
	id, length, _ := strings.Cut(text, ":")
	n, err := strconv.Atoi(length)
	if id == "" || err != nil || n <= 0 {
		return relay.PromptPart{}, fmt.Errorf("part: %q is not ID:TOKENS", text)
	}
	return relay.PromptPart{ID: strings.ToLower(id), Tokens: n}, nil
}
