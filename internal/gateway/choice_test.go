package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// newChoiceState returns a state with a route, an account and a third engine that drains.
func newChoiceState(t *testing.T) *state {
	s, _ := newPrefixState(t, time.Minute)
	s.table.Routes = []*routing.Route{{Name: "r", Kind: routing.Stream, MaxUpstreams: 2, Backends: []routing.Backend{{Service: "llm", Weight: 1}}}}
	s.table.Accounts = []*routing.Account{{Name: "x"}}
	s.upstreams["d"] = &fleet.Upstream{Instance: "d", Address: "d", Service: "llm", Zone: "a", State: fleet.Draining, Accelerator: "big", Held: fleet.Range{From: 0, To: 10}}
	s.rebuildPools()
	return s
}

var choiceParameters = url.Values{"route": {"r"}, "account": {"x"}, "prompt": {"200"}, "answer": {"10"}, "part": {"P:160"}}

// TestChoiceIsWhatARequestGets guards against an explanation of another choice than
// that of a request, and against one that counts as load.
func TestChoiceIsWhatARequestGets(t *testing.T) {
	c := qt.New(t)
	s := newChoiceState(t)
	first := assignPrefixed(t, s, time.Second)
	s.recordPrefix(first.prefix, true, 0, 200*time.Millisecond, 3*time.Second)
	now := 10 * time.Second
	q, err := choiceRequest(s.table, choiceParameters, now)
	c.Assert(err, qt.IsNil)
	before := *s.loadOf(first.upstream.Instance)
	got := s.explainChoice(q, now)
	c.Check(s.loadOf(first.upstream.Instance).requests, qt.Equals, before.requests)
	c.Check(s.loadOf(first.upstream.Instance).prefillBacklog, qt.Equals, before.prefillBacklog)
	c.Check(q.history().attempts, qt.Equals, 0)
	c.Check(got.Refusal, qt.Equals, "")
	c.Check(got.PredictedFirst, qt.Equals, 72.0)
	c.Check(got.ListAge, qt.Equals, 9000.0)
	c.Check(got.PeerReportAge, qt.Equals, -1.0)
	c.Check(got.Excluded, qt.DeepEquals, []ExcludedUpstream{{"d", "draining"}})
	c.Assert(got.Candidates, qt.HasLen, 2)
	c.Check(got.Candidates[0].CachedTokens, qt.Equals, 160)
	c.Check(got.Candidates[0].CachedAge, qt.Equals, 7000.0)
	c.Check(got.Candidates[0].Terms["prefix"] < 0, qt.IsTrue)
	c.Check(got.Candidates[1].Terms["prefix"], qt.Equals, 0.0)
	c.Assert(got.Target, qt.DeepEquals, []ChosenStage{{got.Candidates[0].Upstream, 0, 10}})
	c.Check(assignPrefixed(t, s, now).upstream.Instance, qt.Equals, got.Target[0].Upstream)
}

// TestChoiceNamesExclusions checks the reasons for which upstreams are not considered.
func TestChoiceNamesExclusions(t *testing.T) {
	c := qt.New(t)
	s := newChoiceState(t)
	now := 10 * time.Second
	s.health.RecordFault("e", health.Stalled, now)
	s.health.HoldOffWork(s.upstreams["f"].Incarnation(), 2*time.Second, now)
	q, err := choiceRequest(s.table, choiceParameters, now)
	c.Assert(err, qt.IsNil)
	got := s.explainChoice(q, now)
	c.Check(got.Excluded, qt.DeepEquals, []ExcludedUpstream{
		{"d", "draining"}, {"e", "left alone after a fault"}, {"f", "it has asked for no work for 2s more"},
	})
	c.Check(got.Candidates, qt.HasLen, 0)
	c.Check(got.Target, qt.HasLen, 0)
	c.Check(got.Refusal, qt.Not(qt.Equals), "")
}

// TestChoiceRefusesUnknownNames guards against an answer about another request than the
// one meant.
func TestChoiceRefusesUnknownNames(t *testing.T) {
	s := newChoiceState(t)
	for _, x := range []struct {
		parameter, value, want string
		unknown                bool
	}{
		{"route", "nowhere", `route "nowhere": not in the configuration in force`, true},
		{"account", "nobody", `account "nobody": not in the configuration in force`, true},
		{"service", "other", `service "other" of route "r": not in the configuration in force`, true},
		{"prompt", "many", `prompt: "many" is no number of tokens`, false},
		{"answer", "-1", `answer: "-1" is no number of tokens`, false},
		{"part", "p", `part: "p" is not ID:TOKENS`, false},
	} {
		p := url.Values{}
		for name, values := range choiceParameters {
			p[name] = values
		}
		p.Set(x.parameter, x.value)
		_, err := choiceRequest(s.table, p, time.Second)
		qt.Check(t, err, qt.ErrorMatches, x.want)
		qt.Check(t, errors.Is(err, errUnknownName), qt.Equals, x.unknown)
	}
}

// TestChoiceOverHTTP checks the statuses by which the command tells a wrong name from a
// gateway that knows no configuration, and that the metrics are served as before.
func TestChoiceOverHTTP(t *testing.T) {
	c := qt.New(t)
	s := newChoiceState(t)
	g := &Gateway{Settings: testSettings(), Log: s.log, Now: func() time.Duration { return time.Minute }, control: loop.New[state]()}
	g.metrics = newMetrics(g)
	g.control.State = *s
	go g.control.Run(t.Context())
	server := httptest.NewServer(g.metricsHandler())
	defer server.Close()
	get := func(path string, p url.Values) (int, *Choice) {
		response, err := http.Get(server.URL + path + "?" + p.Encode())
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		out := &Choice{}
		if response.StatusCode == http.StatusOK && path == ChoicePath {
			c.Assert(json.NewDecoder(response.Body).Decode(out), qt.IsNil)
		}
		return response.StatusCode, out
	}
	status, _ := get(ChoicePath, choiceParameters)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(s.table.Prepare(), qt.IsNil)
	g.routing.Adopt(s.table)
	status, got := get(ChoicePath, choiceParameters)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(got.Gateway, qt.Equals, "g")
	c.Check(got.Target, qt.HasLen, 1)
	c.Check(got.Candidates, qt.HasLen, 2)
	status, _ = get(ChoicePath, url.Values{"route": {"nowhere"}})
	c.Check(status, qt.Equals, http.StatusNotFound)
	status, _ = get(ChoicePath, url.Values{"route": {"r"}, "prompt": {"x"}})
	c.Check(status, qt.Equals, http.StatusBadRequest)
	status, _ = get("/metrics", nil)
	c.Check(status, qt.Equals, http.StatusOK)
}

// TestChoiceTellsAgeOfLoad guards against the age of a peer's last message in place of that
// of the load that it has reported: messages between zones may hold none.
func TestChoiceTellsAgeOfLoad(t *testing.T) {
	s := newChoiceState(t)
	now := 10 * time.Second
	news := &peering.News{Version: peering.Version, Address: peering.Address{Gateway: "g2", Zone: "b", Address: "g2:1"}, OfZone: true}
	s.mergeNews(news, now-time.Second)
	news.OfZone = false
	s.mergeNews(news, now)
	q, err := choiceRequest(s.table, choiceParameters, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.explainChoice(q, now).PeerReportAge, qt.Equals, 1000.0)
}

// TestChoiceWithoutPool guards against a wrong reason for the upstreams of a service of
// which none is in service.
func TestChoiceWithoutPool(t *testing.T) {
	s := newChoiceState(t)
	now := 10 * time.Second
	q, err := choiceRequest(s.table, choiceParameters, now)
	qt.Assert(t, err, qt.IsNil)
	delete(s.pools, "llm")
	for _, x := range s.explainChoice(q, now).Excluded {
		qt.Check(t, x.Upstream == "d" || x.Reason == "no upstream of its service is in service", qt.IsTrue, qt.Commentf("%v", x))
	}
}
