package gateway

import (
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/zonereport"
	"lovageport.example/internal/protocol/peering"
)

// Kinds of messages to peers; each is a metric label.
const (
	// zoneMessage is sent within a zone.
	zoneMessage = "zone"
	// reportMessage is sent to another zone and holds the load of the own one.
	reportMessage = "report"
	// heartbeatMessage is sent to another zone without load.
	heartbeatMessage = "heartbeat"
)

// recipient is the peer that a message is for.
type recipient struct {
	zone, address string
	// relay is what the peer has last told of the reports.
	relay *peering.RelayNews
	// answers reports whether the message answers a call of the peer.
	answers bool
}

// updateReporting determines whether this gateway reports for its zone.
func (s *state) updateReporting(g *Gateway, now time.Duration) {
	before := s.members.Reporting()
	own := &peering.News{Draining: g.draining.Load(), Retries: peering.RetryNews{Reach: now - s.startedAt}}
	if reporting := s.members.UpdateReporting(own, s.retryAllowance.Window, now); reporting != before {
		g.reporting.Store(reporting)
		s.log.Info("zone reporter changed", zap.Bool("reports", reporting))
	}
}

// addRelay adds what concerns the reports of zones. It sets a sequence if n is to hold the
// sums of the own zone.
func (s *state) addRelay(n *peering.News, to recipient, now time.Duration) {
	n.Relay = peering.RelayNews{Supported: true, Reporter: s.members.Reporting()}
	relays := s.members.RelaysReports()
	switch {
	case !n.OfZone && !relays:
	case !n.OfZone && to.answers && to.relay.Supported:
		n.Relay.Reports = s.zoneReports.For(to.relay.Held, now)
	case !n.OfZone && !to.answers:
		n.Relay.Held = s.zoneReports.Held(now)
	case n.OfZone:
		n.Relay.Wanted = relays && !to.answers && s.zoneReports.IsLate(to.zone, now)
		if s.sendsReport(to, now) {
			// Process restarts do not set the boot time back.
			n.Relay.Sequence = now.Milliseconds() + 1
		}
	}
}

// sendsReport reports whether a peer of another zone is to get the sums of the own zone.
func (s *state) sendsReport(to recipient, now time.Duration) bool {
	switch {
	case !to.relay.Supported, !s.members.RelaysReports():
		return true
	case to.answers && to.relay.Wanted:
		return true
	}
	return s.members.Reporting() && to.relay.Reporter && s.members.TakeReport(to.address, now)
}

// asHeartbeat completes news for another zone that hold no load.
func (s *state) asHeartbeat(n *peering.News, now time.Duration) *peering.News {
	// No build reads news of another zone that are not the sums of it as a report.
	n.OfZone = false
	// Gateways are named within zones and in reports.
	n.Peers = nil
	s.addKnownRetries(n, now)
	return n
}

// buildCounted returns the news for a recipient and counts the message.
func (g *Gateway) buildCounted(s *state, to recipient) *peering.News {
	n := s.newsTo(g, to, g.Now())
	kind := heartbeatMessage
	switch {
	case to.zone == s.zone:
		kind = zoneMessage
	case n.OfZone:
		kind = reportMessage
	}
	g.metrics.peerMessages.WithLabelValues(kind).Inc()
	return n
}

// mergeDirect merges the report that news of a gateway of another zone hold.
func (s *state) mergeDirect(n *peering.News, now time.Duration) {
	l := &peering.ZoneLoad{Reach: n.Retries.Reach, Loads: n.Loads, Services: n.Services, Pipes: n.Pipes, Demand: n.Demand}
	result := s.zoneReports.OfferDirect(n.Zone, n.Address.Address, n.Relay.Sequence, l, now)
	if s.countReport(result) {
		s.applyZoneReport(n, now, now)
	}
}

// mergeRelayed merges the reports of other zones that a peer of the own zone has relayed.
// Their ages count from the boot time asOf.
func (s *state) mergeRelayed(n *peering.News, asOf, now time.Duration) {
	if n.Zone != s.zone {
		return
	}
	for i := range n.Relay.Reports {
		r := &n.Relay.Reports[i]
		if r.Zone == s.zone {
			continue
		}
		load, result := s.zoneReports.Offer(r, s.members.OtherZoneSilence(), asOf, now)
		if !s.countReport(result) {
			continue
		}
		of := &peering.News{OfZone: true, Loads: load.Loads, Services: load.Services, Pipes: load.Pipes, Demand: load.Demand}
		of.Address = peering.Address{Zone: r.Zone, Address: r.Sender}
		of.Retries.Reach = load.Reach
		s.applyZoneReport(of, asOf-r.Age, now)
	}
}

// countReport counts an invalid report, and reports whether the report was taken.
func (s *state) countReport(result zonereport.Result) bool {
	if result == zonereport.Invalid && s.invalidReports != nil {
		s.invalidReports.Add(1)
	}
	return result == zonereport.Taken
}

// applyZoneReport replaces what is known of the load of another zone. n holds the sums
// of the zone as of the boot time madeAt.
func (s *state) applyZoneReport(n *peering.News, madeAt, now time.Duration) {
	s.otherZones.Set(n.Zone, n)
	s.otherRetries.Set(n.Zone, retryReport(n), s.retryAllowance.Window, madeAt)
	s.checkDemand(n)
	s.mergePeerDemand(n.Zone, n, madeAt)
}

// dropOldReports drops the load of zones of which no recent report was received, from a
// gateway there or through one of the own zone. Their retries still count until they leave
// the window.
func (s *state) dropOldReports(now time.Duration) {
	s.zoneReports.Prune(s.members.OtherZoneSilence(), now)
	present := func(zone string) bool {
		_, ok := s.zoneReports.MadeAt(zone)
		return ok
	}
	s.otherZones.Retain(present)
	s.otherRetries.Retain(present, s.retryAllowance.Window, now)
}
