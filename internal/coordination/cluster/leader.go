package cluster

import (
	"time"

	"lovageport.example/internal/protocol/peering"
)

// MaxListAge is the age up to which a gateway's list of upstreams counts as fresh
// when gateways are ranked for placing layers.
const MaxListAge = 2500 * time.Millisecond

// IsPlacementLeader reports whether this gateway places the layers of a zone. n
// is the state that this gateway reports of itself.
//
// The leader is the first gateway by address among the live ones of the best
// rank: those in the zone that follow the list of upstreams in the store, then
// those in the zone with a fresh list from peers, then those elsewhere that
// follow the list, and last the others in the zone. Thus a zone that is
// partitioned from the store continues on its own. Gateways that don't hear each
// other may both be leaders; their orders can't conflict since each order is
// conditional on the number of orders before it.
func (ms *Members) IsPlacementLeader(zone string, n *peering.News, now time.Duration) bool {
	own := rank(n, zone)
	if own == ineligible {
		return false
	}
	for _, m := range ms.Alive(now) {
		other := rank(&m.News, zone)
		if other < own || other == own && m.Address.Address < ms.Self.Address {
			return false
		}
	}
	return true
}

// Ranks of gateways as placement leaders of a zone. The lowest is preferred.
const (
	followsInZone = iota
	freshInZone
	followsElsewhere
	staleInZone
	ineligible
)

// rank returns the rank of the gateway that has sent n as placement leader of a
// zone.
func rank(n *peering.News, zone string) int {
	fresh := n.ListAge >= 0 && n.ListAge < MaxListAge
	inZone := n.Zone == zone
	switch {
	case n.Draining || n.ListAge < 0:
		return ineligible
	case inZone && fresh && n.Follows:
		return followsInZone
	case inZone && fresh:
		return freshInZone
	case fresh && n.Follows:
		return followsElsewhere
	case inZone:
		return staleInZone
	}
	return ineligible
}

// IsFirst reports whether this gateway is the first by address of the live gateways
// that are not leaving.
func (ms *Members) IsFirst(now time.Duration) bool {
	for _, m := range ms.Alive(now) {
		if m.Address.Address < ms.Self.Address && !m.News.Draining {
			return false
		}
	}
	return true
}
