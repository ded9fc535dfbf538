package gateway

import (
	"context"
	"time"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// configurationMargin is the part of the bound on configurations reserved for the time
// between the arrival of a request and the check of the table's age.
const configurationMargin = 100 * time.Millisecond

// currentAge is the age of the table up to which no newer one can have been
// acknowledged for as long as the users' bound. An older table does not prove that a
// route or a key does not exist.
func (g *Gateway) currentAge() time.Duration {
	return g.Settings.Bounds.Configuration.Duration - configurationMargin
}

// tableIsCurrent reports whether the table is young enough to be served by.
func (g *Gateway) tableIsCurrent() bool {
	age, known := g.routing.Age(g.Now())
	return known && age < g.currentAge()
}

// Timing of the wait for a fresh configuration.
const (
	// refreshTimeout bounds the wait of a request. The store answers within
	// milliseconds; a large configuration takes longer over a slow link.
	refreshTimeout  = 500 * time.Millisecond
	refreshInterval = 10 * time.Millisecond
)

// refreshTable has the configuration confirmed and waits for that, or until the store
// was read although that confirms nothing. It does not try while the store is known to
// have failed. After a VM was suspended or has lost its peers its knowledge is old but can
// be refreshed at once.
func (g *Gateway) refreshTable(ctx context.Context) {
	if g.tableWatchFailed.Load() {
		return
	}
	began := g.Now()
	g.tableWatcher.wakeUp()
	for waited := time.Duration(0); waited < refreshTimeout; waited += refreshInterval {
		if !loop.Sleep(ctx, refreshInterval) || g.tableIsCurrent() || time.Duration(g.tableReadAt.Load()) >= began {
			return
		}
	}
}

// authorize finds the route of a request and the client account of its key,
// according to what is known at a boot time.
func (g *Gateway) authorize(q *request, t *routing.Table, now time.Duration) error {
	q.tableVersion = t.Version
	q.tableAge, _ = g.routing.Age(now)
	// A route or key may be missing from an old table because it was added
	// later.
	deny := func(reason verdict.Reason, message string) error {
		if q.tableAge > g.currentAge() {
			return verdict.RefuseUntil(g.readiness().RetryDelay(repairRetryAfter), verdict.NotReady, "the configuration is %v old", q.tableAge)
		}
		return verdict.Refuse(reason, "%s", message)
	}
	route, ok := t.Match(q.http.Host, q.http.URL.Path)
	if !ok {
		return deny(verdict.UnknownRoute, "no route")
	}
	q.route = route
	q.rank = min(route.Priority, lowestRank)
	if !t.NeedsKey(route) {
		return nil
	}
	account, ok := t.Account(q.Key)
	if !ok {
		return deny(verdict.Unauthenticated, "unknown key")
	}
	if q.tableAge > g.maxTableAge() {
		return verdict.RefuseUntil(g.readiness().RetryDelay(repairRetryAfter), verdict.NotReady, "the configuration is %v old: the key may have been revoked", q.tableAge)
	}
	q.account = account.Name
	if account.Priority != nil {
		q.rank = min(*account.Priority, lowestRank)
	}
	return nil
}
