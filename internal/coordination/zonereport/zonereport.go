// Package zonereport holds the newest load report of each other zone and decides which
// of them a gateway of the same zone lacks.
//
// A few gateways of each zone exchange the load of their zones, and the gateways of a zone
// relay it among themselves. If every gateway sent it to those of the other zones, the
// traffic between zones would grow with the load and the number of gateways.
//
// Times are durations since boot.
package zonereport

import (
	"cmp"
	"slices"
	"time"

	"lovageport.example/internal/coordination/cluster"
	"lovageport.example/internal/protocol/peering"
)

const (
	// minGain is by how much a report must be newer than the one that a peer holds to be
	// relayed to it. It bounds the bytes within a zone, whichever number of reporters
	// the other zones have, and exceeds what the ages of one report differ by after hops.
	minGain = 600 * time.Millisecond
	// LateAfter is the age above which a gateway asks those of other zones for the sums
	// of their zone. Reports that arrive are younger: they are made every 0.8 s and take
	// two to four calls within the zone. The retry allowance takes retries of the last
	// 2 s to be unknown to peers.
	LateAfter = 2 * cluster.OtherZoneInterval
	// restartedAfter is the age of the held report above which one with a lower sequence
	// of the same sender is taken: its VM was replaced.
	restartedAfter = 2500 * time.Millisecond
)

// held is a report with the boot time at which it was made.
type held struct {
	zone, sender string
	sequence     int64
	madeAt       time.Duration
	load         *peering.ZoneLoad
	// packed is the encoded load; nil until it is first relayed if it came from the
	// sender itself.
	packed []byte
}

// Reports holds the newest report of each zone. Its zero value is empty. It is not safe
// for concurrent use.
type Reports struct {
	byZone map[string]*held
}

// Result is what became of a report.
type Result int

// Results.
const (
	// Taken means that the report is the newest of its zone.
	Taken Result = iota
	// Older means that it is not, or too old.
	Older
	// Invalid means that it cannot be used.
	Invalid
)

// Offer takes a report that a peer of the own zone has relayed if it is valid, not older
// than maxAge, and newer than the one held of its zone, and returns its load. Its age
// counts from the boot time asOf.
func (rs *Reports) Offer(r *peering.ZoneReport, maxAge, asOf, now time.Duration) (*peering.ZoneLoad, Result) {
	if r.Check() != nil || r.Age > now {
		return nil, Invalid
	}
	latest := &held{zone: r.Zone, sender: r.Sender, sequence: r.Sequence, madeAt: asOf - r.Age, packed: r.Packed}
	if now-latest.madeAt > maxAge || !rs.isNewest(latest) {
		return nil, Older
	}
	load, err := r.Unpack()
	if err != nil {
		return nil, Invalid
	}
	latest.load = load
	rs.set(latest)
	return load, Taken
}

// OfferDirect takes a report that arrives from its sender now if it is newer than the one
// held of its zone.
func (rs *Reports) OfferDirect(zone, sender string, sequence int64, load *peering.ZoneLoad, now time.Duration) Result {
	latest := &held{zone: zone, sender: sender, sequence: sequence, madeAt: now, load: load}
	switch {
	case load.Check() != nil:
		return Invalid
	case !rs.isNewest(latest):
		return Older
	}
	rs.set(latest)
	return Taken
}

func (rs *Reports) set(latest *held) {
	if rs.byZone == nil {
		rs.byZone = make(map[string]*held)
	}
	rs.byZone[latest.zone] = latest
}

// isNewest reports whether h is newer than the report held of its zone, if one is.
func (rs *Reports) isNewest(h *held) bool {
	known := rs.byZone[h.zone]
	return known == nil || h.isNewer(known)
}

// isNewer reports whether h was made after other. The sequence decides between reports of
// one sender: a message that was delayed would seem newer than it is.
func (h *held) isNewer(other *held) bool {
	if h.sender != other.sender || h.sequence == 0 || other.sequence == 0 {
		return h.madeAt >= other.madeAt
	}
	return h.sequence > other.sequence || h.madeAt-other.madeAt > restartedAfter
}

// MadeAt returns when the newest report of a zone was made; the bool is false if none is
// held.
func (rs *Reports) MadeAt(zone string) (time.Duration, bool) {
	h := rs.byZone[zone]
	if h == nil {
		return 0, false
	}
	return h.madeAt, true
}

// IsLate reports whether no report of a zone is held that is recent enough.
func (rs *Reports) IsLate(zone string, now time.Duration) bool {
	at, ok := rs.MadeAt(zone)
	return !ok || now-at > LateAfter
}

// Prune drops the reports that are older than maxAge.
func (rs *Reports) Prune(maxAge, now time.Duration) {
	for zone, h := range rs.byZone {
		if now-h.madeAt > maxAge {
			delete(rs.byZone, zone)
		}
	}
}

// Held returns the zones and ages of the reports that are held, ordered by zone.
func (rs *Reports) Held(now time.Duration) []peering.HeldReport {
	var out []peering.HeldReport
	for zone, h := range rs.byZone {
		out = append(out, peering.HeldReport{Zone: zone, Milliseconds: (now - h.madeAt).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b peering.HeldReport) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

// For returns the reports that a peer lacks, given those that it holds, ordered by zone.
func (rs *Reports) For(peer []peering.HeldReport, now time.Duration) []peering.ZoneReport {
	ages := make(map[string]time.Duration, len(peer))
	for _, p := range peer {
		ages[p.Zone] = time.Duration(p.Milliseconds) * time.Millisecond
	}
	var out []peering.ZoneReport
	for zone, h := range rs.byZone {
		if age, ok := ages[zone]; ok && now-h.madeAt > age-minGain {
			continue
		}
		if h.packed == nil {
			packed, err := h.load.Pack()
			if err != nil {
				continue
			}
			h.packed = packed
		}
		out = append(out, peering.ZoneReport{Zone: zone, Sender: h.sender, Sequence: h.sequence, Age: max(0, now-h.madeAt), Packed: h.packed})
	}
	slices.SortFunc(out, func(a, b peering.ZoneReport) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
