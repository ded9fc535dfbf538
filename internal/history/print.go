package history

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"lovageport.example/pkg/verdict"
)

// Events and keys that a story reads.
const (
	answeredEvent = "request answered"
	failedEvent   = "request failed"
	placeEvent    = "place given"

	tookKey      = "took"
	statusKey    = "status"
	reasonKey    = "reason"
	verdictKey   = "verdict"
	pauseKey     = "longest_pause"
	firstKey     = "first_event"
	predictedKey = "predicted_first"
	attemptsKey  = "attempts"
	upstreamKey  = "upstream"
)

// upstreamKeys are the keys whose values name upstreams, with commas between.
var upstreamKeys = [...]string{upstreamKey, "at_fault", "chain"}

// Print writes a story: a line for each event, those about the request marked,
// and what became of it.
func (s *Timeline) Print(w io.Writer) error {
	fmt.Fprintf(w, "request %s, arrived %s\n\n", s.Request, s.Start.Format(time.RFC3339Nano))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range s.Events {
		mark := ""
		if m.Request() == s.Request {
			mark = "*"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", offset(m.Time.Sub(s.Start)), mark, m.who(), m.Name, m.details())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s\n", s.Outcome())
	return err
}

// who names the process, and how many others saw the same.
func (m *TimelineEvent) who() string {
	if m.OtherObservers == 0 {
		return m.Gateway
	}
	return fmt.Sprintf("%s +%d", m.Gateway, m.OtherObservers)
}

// offset formats a time relative to the start of the request.
func offset(d time.Duration) string { return fmt.Sprintf("%+.3fs", d.Seconds()) }

// details are the fields but the request's ID.
func (e *Event) details() string {
	var b strings.Builder
	for _, f := range e.Fields {
		if f.Key == requestKey || f.Value == "" {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		value := f.Value
		if strings.ContainsAny(value, " \"") {
			value = fmt.Sprintf("%q", value)
		}
		b.WriteString(f.Key + "=" + value)
	}
	return b.String()
}

// Outcome says in a few lines what became of the request and where to look.
func (s *Timeline) Outcome() string {
	e := s.End
	if !s.Ended() {
		return "outcome: no line says how it ended: the process was killed, the request is still at work, or the line was dropped (see the counter of dropped lines)"
	}
	if e.Name == answeredEvent {
		return fmt.Sprintf("outcome: answered with status %s after %s: first event after %s%s, longest pause %s, attempts %s",
			e.Value(statusKey), e.Value(tookKey), e.Value(firstKey), s.expected(), e.Value(pauseKey), e.Value(attemptsKey))
	}
	reason := verdict.Reason(e.Value(reasonKey))
	return fmt.Sprintf("outcome: failed with status %s after %s: %s (%s)\nhint: %s",
		e.Value(statusKey), e.Value(tookKey), reason, e.Value(verdictKey), Hint(reason))
}

// expected says when the first event was expected by the first place that was
// given; empty if no line tells.
func (s *Timeline) expected() string {
	for _, m := range s.Events {
		if m.Request() != s.Request || m.Name != placeEvent {
			continue
		}
		predicted := m.duration(predictedKey)
		if predicted == 0 {
			return ""
		}
		return fmt.Sprintf(" (expected after %v)", (m.Time.Sub(s.Start) + predicted).Round(time.Millisecond))
	}
	return ""
}

// Hint says what a reason means and which lines show more.
func Hint(r verdict.Reason) string {
	switch r {
	case verdict.DeadlineUnmeetable, verdict.QueueFull, verdict.UpstreamBusy:
		return "there was no room in time: fill in 'place given' tells how full the path was; look for 'layers of a zone' with whole=false and for 'upstream gone'"
	case verdict.HeldOff:
		return "all upstreams that could take it had asked for no requests: 'upstream holds off requests' says for how long, retry_after when the first takes them again"
	case verdict.DeadlineExceeded:
		return "the route's timeout passed: attempts and pauses tell whether the upstreams were slow or one of them failed before"
	case verdict.RetryLimit, verdict.RetryBudget:
		return "it was not tried again: the last 'attempt failed' has the cause, the route or the budget for retries the limit"
	case verdict.UpstreamLost, verdict.UpstreamSilent, verdict.UpstreamRefused, verdict.UpstreamProtocol:
		return "an upstream failed: at_fault names it, and the lines about it say what else was seen of it"
	case verdict.NoUpstream, verdict.NoChain:
		return "no upstream could take it: look for 'upstream left alone', 'upstream gone' and 'layers of a zone'"
	case verdict.Unauthenticated, verdict.Forbidden, verdict.UnknownRoute, verdict.RateLimited:
		return "the configuration says so: 'configuration in force' has its version, configuration_age how long ago it was confirmed"
	case verdict.NotReady, verdict.PlatformDown:
		return "what the process knew was too old: look for 'store lost' and 'peers changed'"
	case verdict.Draining:
		return "the process was stopping: look for 'drain started'"
	case verdict.Quarantined:
		return "upstreams crashed under it again and again: look for 'upstream crashed'"
	case verdict.CallerGone:
		return "the caller left first"
	}
	return "the lines above are all that is known"
}
