package cluster

import (
	"time"

	"lovageport.example/internal/protocol/peering"
)

// reportersPerZone is the number of gateways that report the load of their zone to the
// others. The second one covers the time until the failure of the first is noticed.
const reportersPerZone = 2

// minReportPause is the least time between two reports to the same gateway. It is less
// than OtherZoneInterval since calls come from both sides, at times that vary by a round.
const minReportPause = 3 * OtherZoneInterval / 4

// Ranks of gateways as reporters of their zone. The lowest is preferred.
const (
	// countsWindow is that of a gateway whose counts go back for the whole window of the
	// retry allowance. The others would make the zone's counts seem to shrink.
	countsWindow = iota
	justStarted
	leaving
)

// reporterRank returns the rank of the gateway that has sent n as reporter.
func reporterRank(n *peering.News, window time.Duration) int {
	switch {
	case n.Draining:
		return leaving
	case n.Retries.Reach < window:
		return justStarted
	}
	return countsWindow
}

// UpdateReporting determines whether this gateway reports for its zone: whether it is one
// of the first by address among the live gateways of the zone of the best rank whose
// builds relay reports. own is the state that this gateway reports of itself, and window
// that of the retry allowance.
//
// Gateways that don't hear each other may all report. Receivers use the newest report.
func (ms *Members) UpdateReporting(own *peering.News, window, now time.Duration) bool {
	rank, before := reporterRank(own, window), 0
	for _, m := range ms.Alive(now) {
		if m.Zone != ms.Self.Zone || !m.News.Relay.Supported {
			continue
		}
		other := reporterRank(&m.News, window)
		if other < rank || other == rank && m.Address.Address < ms.Self.Address {
			before++
		}
	}
	ms.reporting = before < reportersPerZone
	return ms.reporting
}

// RelaysReports reports whether there are so many gateways that only reporters send load
// between zones. Among fewer, the calls between zones are few, and relayed reports would
// be older than those in each call.
func (ms *Members) RelaysReports() bool { return len(ms.ordered) >= manyGateways }

// Reporting reports whether this gateway reports for its zone.
func (ms *Members) Reporting() bool { return ms.reporting }

// isReporterPair reports whether this gateway and a member report to each other.
func (ms *Members) isReporterPair(m *Member) bool {
	return ms.reporting && ms.RelaysReports() && m.Zone != ms.Self.Zone && m.News.Relay.Reporter
}

// TakeReport reports whether the gateway at an address is due to be sent a report, and
// schedules the next one if so.
func (ms *Members) TakeReport(address string, now time.Duration) bool {
	m := ms.byAddress[address]
	if m == nil || m.reportedAt > 0 && now-m.reportedAt < minReportPause {
		return false
	}
	m.reportedAt = now
	return true
}

// OtherZoneSilence returns the time of silence after which a gateway of another zone no
// longer counts as alive.
func (ms *Members) OtherZoneSilence() time.Duration {
	if ms.recount {
		ms.countZones()
	}
	return otherZoneAliveTime + OtherZoneInterval*time.Duration(max(1, ms.otherZones/fullRatePeers)-1)
}
