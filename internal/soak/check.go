package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"lovageport.example/platform/platformtest"
)

// Limits that the checks apply.
const (
	// configurationBound is how long after the store has acknowledged a
	// configuration all gateways must use it. drainBound is how long after an
	// upstream begins to leave it may still get new calls.
	configurationBound = 3 * time.Second
	drainBound         = 3 * time.Second
	// staleConfigurationTolerance is how long after a response by a newer
	// configuration a process may still respond by an older one, because
	// calls overtake each other.
	staleConfigurationTolerance = 250 * time.Millisecond
	// connectionCloseRace is how soon after it was sent a call may find its
	// connection closed because the gateway closed it at the same time.
	connectionCloseRace = 200 * time.Millisecond
	// deadlineTolerance is how long after its deadline a call may still be
	// answered.
	deadlineTolerance = 500 * time.Millisecond
)

// execution is a request that reached the upstream with the given index.
type execution struct {
	platformtest.Request
	upstream int
}

// checker compares what callers received with what upstreams recorded.
type checker struct {
	system *system
	// maintenanceOnly is set if the run had planned maintenance but no
	// faults.
	maintenanceOnly bool
	calls           []*call
	// executions holds the requests that reached upstreams, by the ID of
	// their call.
	executions map[string][]execution
}

// check checks all calls that have ended and records the violated guarantees.
func (s *system) check(calls []*call, maintenanceOnly bool) {
	c := &checker{system: s, maintenanceOnly: maintenanceOnly, calls: calls, executions: make(map[string][]execution)}
	known := make(map[string]bool, len(calls))
	for _, k := range calls {
		known[k.id] = true
	}
	for i, u := range s.upstreams {
		if u.MaxHeld() > platformtest.MaxLayersPerEngine {
			s.reportViolation("an engine holds no more layers than its capacity", u.Instance)
		}
		for _, r := range u.Requests() {
			c.executions[r.ID] = append(c.executions[r.ID], execution{r, i})
			if !known[r.ID] {
				s.reportViolation("upstreams run only calls that callers sent", fmt.Sprintf("%q at %s with %v", r.ID, u.Instance, r.Header))
			}
			if r.Chain != "" && !r.CoversAllLayers() {
				s.reportViolation("a chain runs every layer once", r.Chain)
			}
		}
	}
	for _, k := range calls {
		k.executions = len(c.executions[k.id])
		c.checkResponse(k)
		c.checkExecutions(k)
		c.checkKey(k)
		if maintenanceOnly {
			c.checkUndisturbed(k)
		}
	}
	c.checkConfigurationOrder()
	c.checkRetryBudget()
	c.checkAnnouncedLeaves()
	if maintenanceOnly {
		c.checkListedLeaves()
		c.checkHoldOffs()
		c.checkLimits()
	}
}

// report records that a call violated a guarantee.
func (c *checker) report(guarantee string, k *call) {
	c.system.reportViolation(guarantee, fmt.Sprintf("%s at %s took %v: status %d, error %v, %d executions, key %s, sent %s to process %d%s, body %.80q",
		k.id, k.gateway.name, k.ended.Sub(k.sent).Round(time.Millisecond), k.status, k.err, len(c.executions[k.id]), k.key, k.sent.Format("15:04:05.000"),
		k.incarnation, k.sinceStop(), k.body))
}

// sinceStop tells how long before the call its process had been told to stop, if it
// had.
func (k *call) sinceStop() string {
	stop, ok := k.gateway.stopRequestedOf(k.incarnation)
	if !ok || stop.After(k.sent) {
		return ""
	}
	return fmt.Sprintf(" (told to stop %v before)", k.sent.Sub(stop).Round(time.Millisecond))
}

// checkResponse checks that a successful response comes from an upstream and
// is complete.
func (c *checker) checkResponse(k *call) {
	fullBody := platformtest.EventText(1, k.events)
	switch {
	case k.status != http.StatusOK:
		return
	case !platformtest.FromUpstream(k.header):
		c.report("a successful response comes from an upstream", k)
	case k.kind == streamKind && k.err == nil && k.body != fullBody:
		c.report("a stream is complete and in order", k)
	case k.kind == streamKind && !strings.HasPrefix(fullBody, k.body):
		c.report("the events of a cut-off stream are in order", k)
	case k.kind != streamKind && k.err == nil && !slices.ContainsFunc(c.executions[k.id], func(r execution) bool {
		return k.body == platformtest.ServiceText(k.path(), c.system.upstreams[r.upstream].Instance)
	}):
		c.report("a response comes from the upstream that ran the call", k)
	}
}

// checkExecutions checks that a non-idempotent call reached upstreams at most
// once, and never if the response says that it did not run.
func (c *checker) checkExecutions(k *call) {
	if k.kind != writeKind {
		return
	}
	runs := len(c.executions[k.id])
	if runs > 1 {
		c.report("a non-idempotent call runs at most once", k)
	}
	switch k.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			c.report("a call refused as not run did not run", k)
		}
	}
}

// keyLifetime returns when a key was added and when it was removed. removed
// is zero if the key is still valid.
func (s *system) keyLifetime(key string) (added, removed time.Time) {
	for i, v := range s.versions {
		if v.key != key {
			continue
		}
		if next := i + s.keptVersions; next < len(s.versions) {
			removed = s.versions[next].at
		}
		return v.at, removed
	}
	return time.Time{}, time.Time{}
}

// checkKey checks that calls with a removed key are not served and that calls
// with a valid key are not denied.
func (c *checker) checkKey(k *call) {
	added, removed := c.system.keyLifetime(k.key)
	bound := revocationBound
	if c.maintenanceOnly {
		bound = configurationBound
	}
	if !removed.IsZero() && k.sent.After(removed.Add(bound)) && len(c.executions[k.id]) > 0 {
		c.report("a call with a removed key is not served", k)
	}
	denied := k.status == http.StatusUnauthorized || k.status == http.StatusForbidden || k.status == http.StatusNotFound
	if denied && k.key == stableKey {
		c.report("a call with a key that stays valid is not denied", k)
	}
	if denied && c.maintenanceOnly && removed.IsZero() && k.sent.After(added.Add(configurationBound)) {
		c.report("a call with a new key is served", k)
	}
}

// checkUndisturbed checks what holds in a run without faults: no call is cut
// off, even if the client sent it again unasked, and each one ends by its deadline.
func (c *checker) checkUndisturbed(k *call) {
	took := k.ended.Sub(k.sent)
	if k.err != nil && (k.untilEnd() > connectionCloseRace || len(c.executions[k.id]) > 0) && !c.mayBeCut(k) {
		c.report("planned maintenance cuts off no call", k)
	}
	if c.wasDropped(k) {
		c.report("planned maintenance drops no call that an upstream has", k)
	}
	limit := k.timeout
	if k.kind != streamKind {
		limit = plainServiceTimeout
	}
	if took > limit+deadlineTolerance+c.system.standstill {
		c.report("calls are answered by their deadline", k)
	}
}

// checkConfigurationOrder checks that a process that has responded by one
// configuration does not return to an older one.
func (c *checker) checkConfigurationOrder() {
	// shown is a configuration and the time at which a process was first seen
	// to use it.
	type shown struct {
		number int
		at     time.Time
	}
	// first and last are the numbers of the configurations in which a key is valid.
	first, last := make(map[string]int), make(map[string]int)
	for i, v := range c.system.versions {
		first[v.key] = v.number
		last[v.key] = c.system.versions[min(i+c.system.keptVersions, len(c.system.versions))-1].number
	}
	var served []*call
	for _, k := range c.calls {
		if k.status == http.StatusOK && k.key != stableKey && k.sameProcess {
			served = append(served, k)
		}
	}
	slices.SortFunc(served, func(a, b *call) int { return a.ended.Compare(b.ended) })
	newest := make(map[process][]shown)
	for _, k := range served {
		p := k.process()
		for _, s := range newest[p] {
			if s.number > last[k.key] && k.sent.After(s.at.Add(staleConfigurationTolerance)) {
				c.report("a process does not return to an older configuration", k)
				break
			}
		}
		if n := len(newest[p]); n == 0 || newest[p][n-1].number < first[k.key] {
			newest[p] = append(newest[p], shown{first[k.key], k.ended})
		}
	}
}

// checkRetryBudget checks that retries stay within their share of the
// requests in each window.
func (c *checker) checkRetryBudget() {
	// first and retries are the times at which first attempts and retries
	// reached upstreams.
	var first, retries []time.Time
	for _, runs := range c.executions {
		slices.SortFunc(runs, func(a, b execution) int { return a.At.Compare(b.At) })
		for i, r := range runs {
			if i == 0 {
				first = append(first, r.At)
				continue
			}
			retries = append(retries, r.At)
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
	for _, from := range retries {
		got := within(retries, from, retryWindow)
		// A retry may count against the requests of its own window or of the
		// preceding one.
		requests := max(within(first, from, retryWindow), within(first, from.Add(-retryWindow), retryWindow))
		if limit := retryShare*float64(requests) + float64(c.system.retrySlack); float64(got) > limit {
			c.system.reportViolation("retries stay within their budget", fmt.Sprintf("%d retries, limit %.0f, in the window from %s", got, limit, from.Format("15:04:05.000")))
			return
		}
	}
}

// checkListedLeaves checks that upstreams that are listed as draining get no
// new calls.
func (c *checker) checkListedLeaves() {
	for id, runs := range c.executions {
		for _, r := range runs {
			for _, l := range c.system.leavePeriods {
				if l.listed && l.upstream == r.upstream && r.At.After(l.from.Add(drainBound)) && r.At.Before(l.to) {
					c.system.reportViolation("a leaving upstream gets no new calls", fmt.Sprintf("%s at %s, %v after it began to leave", id, c.system.upstreams[r.upstream].Instance, r.At.Sub(l.from)))
				}
			}
		}
	}
}
