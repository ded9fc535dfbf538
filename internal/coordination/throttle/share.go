package throttle

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Gateway is a gateway that may hold a part of a limit.
type Gateway struct {
	Address, Zone string
}

// Use is the number of requests in flight that began at an upstream, as far as a gateway
// knows: its own, and those of the others.
type Use struct {
	Own, Others float64
}

// Number of the gateways that hold a part of a limit: holdersPerRate for each request per
// second, and holdersBeside. Each of them may spend what it has saved up at any moment, so
// that more would exceed a low limit.
const (
	holdersPerRate = 0.75
	holdersBeside  = 1.5
)

// holderCount returns how many of a number of gateways hold a part of a rate.
func holderCount(rate float64, gateways int) int {
	return min(gateways, max(1, int(holdersPerRate*rate+holdersBeside)))
}

// holds reports whether a gateway is among the holders of parts of an upstream. Gateways of
// its zone come first, and in a zone the order is that of rendezvous hashing, so that all
// gateways find the same ones and few change when a gateway comes or goes.
func holds(self Gateway, gateways []Gateway, instance, zone string, holders int) bool {
	if holders >= len(gateways) {
		return true
	}
	before := 0
	own := hashOf(self, instance)
	for _, g := range gateways {
		if g.Address != self.Address && precedes(g, self, zone, hashOf(g, instance), own) {
			before++
		}
	}
	return before < holders
}

func precedes(a, b Gateway, zone string, hashA, hashB uint64) bool {
	if near := a.Zone == zone; near != (b.Zone == zone) {
		return near
	}
	return cmp.Or(cmp.Compare(hashA, hashB), cmp.Compare(a.Address, b.Address)) < 0
}

func hashOf(g Gateway, instance string) uint64 {
	return xxhash.Sum64String(g.Address + " " + instance)
}

// evenShare is the part of a rate that is divided evenly between the holders, so that one
// that has nothing in flight can begin at once. The rest is divided in proportion to use, to
// which each adds useFloor and all of them at least useFloorSum, so that single requests do
// not change the parts much.
const (
	evenShare   = 0.4
	useFloor    = 0.5
	useFloorSum = 2.0
)

// part returns the part of a rate that one of the holders may use.
func part(rate float64, u Use, holders int) float64 {
	even := 1 / float64(holders)
	floor := max(useFloor, useFloorSum*even)
	return rate * (evenShare*even + (1-evenShare)*(u.Own+floor)/(u.Own+u.Others+floor*float64(holders)))
}

// SetGateways sets the gateways that are alive, including this one, and the number of those
// that were heard in the last minute, also including it. While some of them are not alive,
// they may only be cut off, and use the part of the limits that is theirs.
func (l *Limits) SetGateways(self Gateway, alive []Gateway, heard int) {
	l.self = self
	l.heard = max(heard, len(alive), 1)
	if slices.Equal(l.alive, alive) {
		return
	}
	l.alive = slices.Clone(alive)
	for _, e := range l.entries {
		e.holdsKnown = false
	}
}

// aliveShare returns the part of the gateways that are alive.
func (l *Limits) aliveShare() float64 {
	return float64(max(1, len(l.alive))) / float64(max(1, l.heard))
}
