package health

import "time"

// Times of doubts about links.
const (
	// linkPause is how long a link between zones is avoided after a fault.
	linkPause = 1200 * time.Millisecond
	// lossWindow is the time within which losses in one zone are counted.
	lossWindow = time.Second
	// zoneLosses is how many upstreams of a zone must be lost within the
	// window for the link to be doubted.
	zoneLosses = 2
)

// link joins two availability zones, named in order.
type link struct{ a, b string }

func between(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

// loss is an upstream found unreachable.
type loss struct {
	instance string
	at       time.Duration
}

// Links holds doubts about the links between zones. Its zero value doubts
// none.
type Links struct {
	until  map[link]time.Duration
	losses map[string][]loss
}

// Doubt notes a fault on the way between two zones. It says whether the link
// was not doubted until now.
func (l *Links) Doubt(a, b string, now time.Duration) bool {
	if a == b {
		return false
	}
	if l.until == nil {
		l.until = make(map[link]time.Duration)
	}
	news := !l.Doubted(a, b, now)
	l.until[between(a, b)] = now + linkPause
	return news
}

// Lost notes that an upstream of another zone could not be reached from a
// zone. Several such losses at once say that the link is at fault.
func (l *Links) Lost(from, zone, instance string, now time.Duration) bool {
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
	return len(recent) >= zoneLosses && l.Doubt(from, zone, now)
}

// Doubted says whether a link is to be avoided.
func (l *Links) Doubted(a, b string, now time.Duration) bool {
	return a != b && now < l.until[between(a, b)]
}
