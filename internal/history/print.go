package history

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"lovageport.example/pkg/verdict"
)

// Names of events and keys that a timeline reads.
const (
	answeredEvent  = "request answered"
	failedEvent    = "request failed"
	placementEvent = "place given"

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

// upstreamKeys are the keys whose values are names of upstreams, separated by commas.
var upstreamKeys = [...]string{upstreamKey, "at_fault", "chain"}

// Print writes a line for each event, with a mark for those about the request, and
// the outcome of the request.
func (t *Timeline) Print(w io.Writer) error {
	fmt.Fprintf(w, "request %s, arrived %s\n\n", t.Request, t.Start.Format(time.RFC3339Nano))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, e := range t.Events {
		mark := ""
		if e.Request() == t.Request {
			mark = "*"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", formatOffset(e.Time.Sub(t.Start)), mark, e.observers(), e.Name, e.details())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s\n", t.Outcome())
	return err
}

// observers returns the name of the process that logged the event and the number of
// others that logged the same.
func (e *TimelineEvent) observers() string {
	if e.OtherObservers == 0 {
		return e.Gateway
	}
	return fmt.Sprintf("%s +%d", e.Gateway, e.OtherObservers)
}

// formatOffset formats a time relative to the start of the request.
func formatOffset(d time.Duration) string { return fmt.Sprintf("%+.3fs", d.Seconds()) }

// details formats the fields that are not empty, without the request's ID.
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

// Outcome describes the outcome of the request. If the request failed, it adds a hint
// where to look for the cause.
func (t *Timeline) Outcome() string {
	e := t.End
	if !t.Ended() {
		return "outcome: no line says how it ended: the process was killed, the request is still at work, or the line was dropped (see the counter of dropped lines)"
	}
	if e.Name == answeredEvent {
		return fmt.Sprintf("outcome: answered with status %s after %s: first event after %s%s, longest pause %s, attempts %s",
			e.Value(statusKey), e.Value(tookKey), e.Value(firstKey), t.expectedFirstEvent(), e.Value(pauseKey), e.Value(attemptsKey))
	}
	reason := verdict.Reason(e.Value(reasonKey))
	return fmt.Sprintf("outcome: failed with status %s after %s: %s (%s)\nhint: %s",
		e.Value(statusKey), e.Value(tookKey), reason, e.Value(verdictKey), Hint(reason))
}

// expectedFirstEvent returns when the first event was expected according to the
// request's first placement; empty if no line has a prediction.
func (t *Timeline) expectedFirstEvent() string {
	for _, e := range t.Events {
		if e.Request() != t.Request || e.Name != placementEvent {
			continue
		}
		predicted := e.duration(predictedKey)
		if predicted == 0 {
			return ""
		}
		return fmt.Sprintf(" (expected after %v)", (e.Time.Sub(t.Start) + predicted).Round(time.Millisecond))
	}
	return ""
}

// Hint explains a reason and names the events that show more.
func Hint(r verdict.Reason) string {
	switch r {
	case verdict.DeadlineUnmeetable, verdict.QueueFull, verdict.UpstreamBusy:
		return "no capacity became free in time: fill in 'place given' shows how full the path was; look for 'layers of a zone' with whole=false and for 'upstream gone'"
	case verdict.HeldOff:
		return "all upstreams that could serve it had asked to hold off requests: 'upstream holds off requests' shows for how long, retry_after when the first accepts requests again"
	case verdict.UpstreamLimited:
		return "all upstreams that could serve it state how many requests they take, and this gateway's part of that was used up: 'upstream limit' shows the limits, the parts and who told, retry_after when the next request may be sent"
	case verdict.DeadlineExceeded:
		return "the route's timeout expired: attempts and pauses show whether the upstreams were slow or one of them had failed"
	case verdict.RetryLimit, verdict.RetryBudget:
		return "it was not retried: the last 'attempt failed' shows the cause; the limit is that of the route or the retry budget"
	case verdict.UpstreamLost, verdict.UpstreamSilent, verdict.UpstreamRefused, verdict.UpstreamProtocol:
		return "an upstream failed: at_fault names it, and the lines about it show what else was observed"
	case verdict.NoUpstream, verdict.NoChain:
		return "no upstream could serve it: look for 'upstream left alone', 'upstream gone' and 'layers of a zone'"
	case verdict.Unauthenticated, verdict.Forbidden, verdict.UnknownRoute, verdict.RateLimited:
		return "the configuration requires it: 'configuration in force' shows its version, configuration_age how long ago it was confirmed"
	case verdict.NotReady, verdict.PlatformDown:
		return "the data of the process was too old: look for 'store lost' and 'peers changed'"
	case verdict.Draining:
		return "the process was stopping: look for 'drain started'"
	case verdict.Quarantined:
		return "upstreams crashed repeatedly while they ran it: look for 'upstream crashed'"
	case verdict.CallerGone:
		return "the caller disconnected before the response ended"
	}
	return "the logs show no more than the lines above"
}
