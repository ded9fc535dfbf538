package health

import "time"

const (
	// linkSuspectTime is how long a link between zones is avoided after a fault.
	linkSuspectTime = 1200 * time.Millisecond
	// lossWindow is the time within which the unreachable upstreams of a zone are
	// counted.
	lossWindow = time.Second
	// minZoneLosses is the number of upstreams of a zone that must be unreachable
	// within lossWindow for the link to be suspected.
	minZoneLosses = 2
)

// link identifies the connection between two availability zones, where a < b.
type link struct{ a, b string }

func linkBetween(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

// loss records that an upstream could not be reached.
type loss struct {
	instance string
	at       time.Duration
}

// Links tracks the network links between availability zones that are suspected
// to be down. In its zero value none is suspected. It is not safe for concurrent
// use.
type Links struct {
	suspectUntil map[link]time.Duration
	// losses holds the losses within lossWindow by the zone of the upstreams.
	losses map[string][]loss
}

// MarkSuspect records a possible fault of the link between two zones. It reports
// whether the link was not suspected until now.
func (l *Links) MarkSuspect(a, b string, now time.Duration) bool {
	if a == b {
		return false
	}
	if l.suspectUntil == nil {
		l.suspectUntil = make(map[link]time.Duration)
	}
	isNew := !l.Suspected(a, b, now)
	l.suspectUntil[linkBetween(a, b)] = now + linkSuspectTime
	return isNew
}

// RecordLoss records that an upstream in zone could not be reached from the zone
// from. It reports whether that makes the link between them newly suspect: if
// several upstreams are unreachable at once, the link is the likely cause.
func (l *Links) RecordLoss(from, zone, instance string, now time.Duration) bool {
	if from == zone {
		return false
	}
	if l.losses == nil {
		l.losses = make(map[string][]loss)
	}
	recent := []loss{{instance, now}}
	for _, other := range l.losses[zone] {
		if other.instance != instance && now-other.at < lossWindow {
			recent = append(recent, other)
		}
	}
	l.losses[zone] = recent
	return len(recent) >= minZoneLosses && l.MarkSuspect(from, zone, now)
}

// Suspected reports whether the link between two zones should be avoided.
func (l *Links) Suspected(a, b string, now time.Duration) bool {
	return a != b && now < l.suspectUntil[linkBetween(a, b)]
}
