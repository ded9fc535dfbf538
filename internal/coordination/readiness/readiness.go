// Package readiness decides whether a gateway should receive callers.
//
// A gateway must refuse API keys once its configuration is too old. If only its
// own availability zone is partitioned, gateways in other zones can still serve
// its callers. It then reports itself unready early enough for the load balancer
// to move the callers before they would be refused.
package readiness

import "time"

const (
	// balancerDelay is the time until the load balancer sends new connections
	// elsewhere. It checks once a second and acts on two equal answers.
	balancerDelay = 2200 * time.Millisecond
	// closeLeadTime is how long before the configuration gets too old callers are
	// told to open a new connection.
	closeLeadTime = time.Second
)

// State describes the configuration and the connectivity of a gateway.
type State struct {
	// HasConfiguration is set if there is a configuration. Age is the time since
	// it was last confirmed to be current, and MaxAge the age up to which keys may
	// be served by it.
	HasConfiguration bool
	Age, MaxAge      time.Duration
	// ZoneIsolated is set if gateways in other zones were heard earlier but none
	// is heard now.
	ZoneIsolated bool
}

// Ready reports whether the gateway should receive new connections.
func (s State) Ready() bool {
	limit := s.MaxAge
	if s.ZoneIsolated {
		limit -= balancerDelay
	}
	return s.HasConfiguration && s.Age < limit
}

// ShouldCloseConnections reports whether callers should be told to close their
// connections so that the load balancer moves them to another zone.
func (s State) ShouldCloseConnections() bool {
	return s.ZoneIsolated && s.HasConfiguration && s.Age >= s.MaxAge-closeLeadTime
}

// RetryDelay returns how long a caller should wait that was refused because the
// configuration is too old. The delay is usual if no other zone can serve the
// caller.
func (s State) RetryDelay(usual time.Duration) time.Duration {
	if !s.ZoneIsolated || !s.HasConfiguration {
		return usual
	}
	// A new connection goes to another zone once the load balancer has noticed.
	unready := s.Age - (s.MaxAge - balancerDelay)
	return min(usual, max(0, balancerDelay-unready))
}
