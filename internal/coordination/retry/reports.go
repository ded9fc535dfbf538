package retry

import (
	"slices"
	"time"
)

// Report is what a process tells its peers of its requests and retries, or of those
// of all processes in its zone.
type Report struct {
	// Sender identifies the process.
	Sender string
	// Reach is how far back the counts go; 0 if the sender does not say, which
	// stands for the whole window. A process knows nothing of the time before its
	// start.
	Reach time.Duration
	// Counts holds the counts by service.
	Counts map[string]Counts
}

const (
	// reportLife is the time for which a report is better than one that reaches
	// less far back. Zones exchange reports more often than that.
	reportLife = 2500 * time.Millisecond
	// sameStartTolerance is by how much the start of a process may seem to change
	// with the time that its reports take. It is shorter than a restart.
	sameStartTolerance = 450 * time.Millisecond
)

// receivedReport is a report with its boot times.
type receivedReport struct {
	Report
	at time.Duration
	// since is the time before which the sender knows nothing; 0 if the report
	// covers the whole window.
	since time.Duration
}

// knowsLess reports whether the sender began to count later than that of other.
func (r *receivedReport) knowsLess(other *receivedReport) bool {
	return r.since > 0 && r.since > other.since+sameStartTolerance
}

// reportSource is a process or a zone.
type reportSource struct {
	latest receivedReport
	// silent is set if the source is no longer heard.
	silent bool
	// former holds the last reports of senders that have ended since, or of
	// which later ones know nothing.
	former []receivedReport
}

// Reports holds the latest reports of peers by source, a process or a zone. What a
// source has sent counts until it leaves the window, also if the source is no longer
// heard or has started again. The zero value is empty. Reports is not safe for
// concurrent use. Times are durations since boot.
type Reports struct {
	sources map[string]*reportSource
}

// Set records a report of a source.
func (rs *Reports) Set(source string, r Report, window, now time.Duration) {
	latest := receivedReport{Report: r, at: now}
	if r.Reach > 0 && r.Reach < window {
		latest.since = now - r.Reach
	}
	s := rs.sources[source]
	if s == nil {
		if rs.sources == nil {
			rs.sources = make(map[string]*reportSource)
		}
		rs.sources[source] = &reportSource{latest: latest}
		return
	}
	sameSender := r.Sender == s.latest.Sender
	switch {
	case latest.knowsLess(&s.latest) && !sameSender && now-s.latest.at < reportLife:
		return
	case latest.knowsLess(&s.latest):
		s.former = append(s.former, s.latest)
	case sameSender:
		// A report that took longer makes its sender seem to have started later.
		latest.since = min(latest.since, s.latest.since)
	}
	s.latest, s.silent = latest, false
}

// Retain marks the sources for which present returns false as no longer heard, and
// drops the reports that have left the window.
func (rs *Reports) Retain(present func(source string) bool, window, now time.Duration) {
	expired := func(r receivedReport) bool { return now-r.at >= window }
	for name, s := range rs.sources {
		s.silent = !present(name)
		s.former = slices.DeleteFunc(s.former, expired)
		if s.silent && expired(s.latest) && len(s.former) == 0 {
			delete(rs.sources, name)
		}
	}
}

// Heard returns the sum over the sources that are heard, for a service.
func (rs *Reports) Heard(service string) Counts {
	var sum Counts
	for _, s := range rs.sources {
		if !s.silent {
			sum = sum.Add(s.latest.Counts[service])
		}
	}
	return sum
}

// Gone returns the retries of the last window by senders that are no longer heard.
// Their requests do not count: their callers have turned to others.
func (rs *Reports) Gone(service string) float64 {
	var sum float64
	for _, s := range rs.sources {
		if s.silent {
			sum += s.latest.Counts[service].Retries
		}
		for _, r := range s.former {
			sum += r.Counts[service].Retries
		}
	}
	return sum
}

// AddServices adds the services with requests or retries to a set.
func (rs *Reports) AddServices(to map[string]bool) {
	for _, s := range rs.sources {
		s.latest.addServices(to)
		for i := range s.former {
			s.former[i].addServices(to)
		}
	}
}

func (r *receivedReport) addServices(to map[string]bool) {
	for service, c := range r.Counts {
		if c != (Counts{}) {
			to[service] = true
		}
	}
}

// Age returns the age of the oldest report among the latest of the sources that are
// heard.
func (rs *Reports) Age(now time.Duration) time.Duration {
	oldest := now
	for _, s := range rs.sources {
		if !s.silent {
			oldest = min(oldest, s.latest.at)
		}
	}
	return now - oldest
}
