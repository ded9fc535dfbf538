package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"lovageport.example/platform/platformtest"
)

// Bounds of the promises.
const (
	// configurationBound is how long after its acknowledgement a configuration
	// is in force everywhere, and drainBound the same for an upstream's leaving.
	configurationBound = 3 * time.Second
	drainBound         = 3 * time.Second
	// backSlack is how long a gateway that has served by a configuration may
	// still answer by the one before: requests overtake each other.
	backSlack = 250 * time.Millisecond
	// crossTime is how long after it was sent a call may find its connection
	// closed that it has crossed with the close.
	crossTime = 200 * time.Millisecond
	// lateSlack is by how much an answer may miss its deadline.
	lateSlack = 500 * time.Millisecond
)

// run is a call that reached an upstream.
type run struct {
	platformtest.Request
	server int
}

// checker holds what callers have got against what upstreams have seen.
type checker struct {
	site *site
	// planned says that nothing happened but planned work.
	planned bool
	calls   []*call
	// runs are those of each call, by ID.
	runs map[string][]run
}

// check checks all calls that have ended.
func (s *site) check(calls []*call, planned bool) {
	c := &checker{site: s, planned: planned, calls: calls, runs: make(map[string][]run)}
	known := make(map[string]bool, len(calls))
	for _, k := range calls {
		known[k.id] = true
	}
	for i, u := range s.servers {
		if u.MaxHeld() > platformtest.MaxLayersPerEngine {
			s.found("an engine holds no more layers than fit", u.Instance)
		}
		for _, r := range u.Requests() {
			c.runs[r.ID] = append(c.runs[r.ID], run{r, i})
			if !known[r.ID] {
				s.found("upstreams run what callers sent", fmt.Sprintf("%q at %s with %v", r.ID, u.Instance, r.Header))
			}
			if r.Chain != "" && !r.CoversAllLayers() {
				s.found("a chain runs every layer once", r.Chain)
			}
		}
	}
	for _, k := range calls {
		c.checkAnswer(k)
		c.checkRuns(k)
		c.checkKey(k)
		if planned {
			c.checkCalm(k)
		}
	}
	c.checkNeverBack()
	c.checkRetries()
	c.checkSaidLeaving()
	if planned {
		c.checkLeaves()
		c.checkHoldOffs()
	}
}

func (c *checker) found(promise string, k *call) {
	c.site.found(promise, fmt.Sprintf("%s at %s after %v: status %d, error %v, %d runs, key %s, sent %s, body %.80q",
		k.id, k.gateway.name, k.ended.Sub(k.sent).Round(time.Millisecond), k.status, k.err, len(c.runs[k.id]), k.key, k.sent.Format("15:04:05.000"), k.body))
}

// checkAnswer checks that a success is the upstream's own, and whole.
func (c *checker) checkAnswer(k *call) {
	whole := platformtest.EventText(1, streamEvents)
	switch {
	case k.status != http.StatusOK:
		return
	case !platformtest.FromUpstream(k.header):
		c.found("a success is an upstream's", k)
	case k.kind == streamKind && k.err == nil && k.body != whole:
		c.found("a stream is whole and in order", k)
	case k.kind == streamKind && !strings.HasPrefix(whole, k.body):
		c.found("the events of a cut stream are in order", k)
	case k.kind != streamKind && k.err == nil && !slices.ContainsFunc(c.runs[k.id], func(r run) bool {
		return k.body == platformtest.ServiceText(k.path(), c.site.servers[r.server].Instance)
	}):
		c.found("an answer is that of the upstream that ran the call", k)
	}
}

// checkRuns checks how often a call ran.
func (c *checker) checkRuns(k *call) {
	if k.kind != bookKind {
		return
	}
	runs := len(c.runs[k.id])
	if runs > 1 {
		c.found("what may not be repeated runs once", k)
	}
	switch k.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			c.found("a refusal that says not run is true", k)
		}
	}
}

// inForce returns when a key was added and removed; removed is zero if it still
// holds.
func (s *site) inForce(key string) (added, removed time.Time) {
	for i, v := range s.versions {
		if v.key != key {
			continue
		}
		if i+1 < len(s.versions) {
			removed = s.versions[i+1].at
		}
		return v.at, removed
	}
	return time.Time{}, time.Time{}
}

// checkKey checks that removed keys are not served, and valid ones are.
func (c *checker) checkKey(k *call) {
	added, removed := c.site.inForce(k.key)
	bound := revocation
	if c.planned {
		bound = configurationBound
	}
	if !removed.IsZero() && k.sent.After(removed.Add(bound)) && len(c.runs[k.id]) > 0 {
		c.found("a removed key is not served", k)
	}
	denied := k.status == http.StatusUnauthorized || k.status == http.StatusForbidden || k.status == http.StatusNotFound
	if denied && k.key == stableKey {
		c.found("a key that always holds is not denied", k)
	}
	if denied && c.planned && removed.IsZero() && k.sent.After(added.Add(configurationBound)) {
		c.found("a new key is served", k)
	}
}

// checkCalm checks what holds while nothing but planned work happens: no call
// is cut, and all are answered in time.
func (c *checker) checkCalm(k *call) {
	took := k.ended.Sub(k.sent)
	if k.err != nil && (took > crossTime || len(c.runs[k.id]) > 0) {
		c.found("planned work cuts no call", k)
	}
	limit := callWait
	if k.kind != streamKind {
		limit = plainWait
	}
	if took > limit+lateSlack {
		c.found("calls are answered by their deadline", k)
	}
}

// checkNeverBack checks that a process that has served by a configuration goes
// back to none before it.
func (c *checker) checkNeverBack() {
	// newest is the newest configuration that a process has shown, and when.
	type shown struct {
		number int
		at     time.Time
	}
	number := make(map[string]int)
	for _, v := range c.site.versions {
		number[v.key] = v.number
	}
	var served []*call
	for _, k := range c.calls {
		if k.status == http.StatusOK && k.key != stableKey && k.lasted {
			served = append(served, k)
		}
	}
	slices.SortFunc(served, func(a, b *call) int { return a.ended.Compare(b.ended) })
	newest := make(map[process][]shown)
	for _, k := range served {
		p := k.process()
		for _, s := range newest[p] {
			if s.number > number[k.key] && k.sent.After(s.at.Add(backSlack)) {
				c.found("a configuration never goes back", k)
				break
			}
		}
		if n := len(newest[p]); n == 0 || newest[p][n-1].number < number[k.key] {
			newest[p] = append(newest[p], shown{number[k.key], k.ended})
		}
	}
}

// checkRetries checks that retries stay within their share in each window.
func (c *checker) checkRetries() {
	// first and repeats are the times at which calls reached upstreams.
	var first, repeats []time.Time
	for _, runs := range c.runs {
		slices.SortFunc(runs, func(a, b run) int { return a.At.Compare(b.At) })
		for i, r := range runs {
			if i == 0 {
				first = append(first, r.At)
				continue
			}
			repeats = append(repeats, r.At)
		}
	}
	within := func(all []time.Time, from time.Time, length time.Duration) int {
		n := 0
		for _, t := range all {
			if !t.Before(from) && t.Before(from.Add(length)) {
				n++
			}
		}
		return n
	}
	for _, from := range repeats {
		got := within(repeats, from, retryWindow)
		// Requests count in the window, or in the one before it.
		requests := max(within(first, from, retryWindow), within(first, from.Add(-retryWindow), retryWindow))
		if most := retryShare*float64(requests) + retrySlack; float64(got) > most {
			c.site.found("retries keep to their share", fmt.Sprintf("%d of %.0f from %s on", got, most, from.Format("15:04:05.000")))
			return
		}
	}
}

// checkLeaves checks that upstreams that leave get nothing new.
func (c *checker) checkLeaves() {
	for id, runs := range c.runs {
		for _, r := range runs {
			for _, l := range c.site.leaves {
				if l.listed && l.server == r.server && r.At.After(l.from.Add(drainBound)) && r.At.Before(l.to) {
					c.site.found("an upstream that leaves gets nothing new", fmt.Sprintf("%s at %s, %v after it left", id, c.site.servers[r.server].Instance, r.At.Sub(l.from)))
				}
			}
		}
	}
}
