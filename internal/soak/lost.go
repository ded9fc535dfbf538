package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"lovageport.example/platform/platformtest"
)

// besideMargin is how long after its acknowledgement a configuration counts as beside
// what happens.
const besideMargin = time.Second

// Cuts counts streams that began and ended without their end.
type Cuts struct {
	Cut int
	// Time is the time in which they were counted.
	Time time.Duration
}

// wasCut reports whether a stream began and ended without its end.
func (k *call) wasCut() bool {
	return k.kind == streamKind && k.status == http.StatusOK && (k.err != nil || k.body != platformtest.EventText(1, k.events))
}

// describeCut describes a stream that was cut.
func (s *system) describeCut(k *call) string {
	since := k.ended.Sub(s.began).Round(time.Millisecond)
	took := k.ended.Sub(k.sent).Round(time.Millisecond)
	return fmt.Sprintf("%v %s to process %d%s after %v, %d events of %d, %d executions%s, beside a configuration: %v, %v",
		since, k.id, k.incarnation, k.sinceStop(), took, strings.Count(k.body, "\n\n"), k.events, k.executions, s.describeEnds(k), s.isBeside(k.ended), k.err)
}

// describeEnds tells which upstreams a call had reached, and how long after the end of
// the call the gateway closed its streams there, if it did. The upstreams themselves
// break off no stream, except those that crash.
func (s *system) describeEnds(k *call) string {
	var b strings.Builder
	for _, u := range s.upstreams {
		for _, r := range u.Requests() {
			if r.ID != k.id {
				continue
			}
			fmt.Fprintf(&b, ", %s from %v", u.Instance, r.At.Sub(k.sent).Round(time.Millisecond))
			if at := u.DisconnectedAt(k.id); !at.IsZero() {
				fmt.Fprintf(&b, " closed by the gateway %v after the end", at.Sub(k.ended).Round(time.Millisecond))
			}
		}
	}
	return b.String()
}

// countCuts counts the streams that were cut from the sending of a configuration
// until besideMargin after its acknowledgement, and those that were cut at other
// times.
func (s *system) countCuts(calls []*call) (beside, outside Cuts) {
	if len(calls) == 0 {
		return beside, outside
	}
	from, to := calls[0].sent, calls[0].ended
	for _, k := range calls {
		if k.sent.Before(from) {
			from = k.sent
		}
		if k.ended.After(to) {
			to = k.ended
		}
		switch {
		case !k.wasCut():
		case s.isBeside(k.ended):
			beside.Cut++
		default:
			outside.Cut++
		}
	}
	beside.Time = s.besideTime(from, to)
	outside.Time = to.Sub(from) - beside.Time
	return beside, outside
}

// isBeside reports whether a time is beside a configuration.
func (s *system) isBeside(at time.Time) bool {
	for _, v := range s.versions {
		if !at.Before(v.sent) && !at.After(v.at.Add(besideMargin)) {
			return true
		}
	}
	return false
}

// besideTime returns how much of the time between from and to is beside a
// configuration. The versions are in the order of their sending.
func (s *system) besideTime(from, to time.Time) time.Duration {
	var sum time.Duration
	for _, v := range s.versions {
		begin, end := v.sent, v.at.Add(besideMargin)
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		if end.After(begin) {
			sum += end.Sub(begin)
			from = end
		}
	}
	return sum
}

const (
	// lateStop is how long after SIGTERM a process may cut off streams: in the last
	// sixth of the grace period.
	lateStop = stopGracePeriod * 5 / 6
	// lateStopStart is how long after SIGTERM such a stream may have been sent.
	lateStopStart = 3 * time.Second
)

// mayBeCut reports whether a call may be cut off in planned maintenance: if no process
// accepted its connection, and a long stream also at its deadline or because the
// process that served it has to end. Other calls end long before either.
func (c *checker) mayBeCut(k *call) bool {
	if len(c.executions[k.id]) == 0 && !k.gateway.callerProxy.refusedAt(k.conn).Before(k.sent) {
		return true
	}
	if k.timeout != longCallTimeout {
		return false
	}
	if k.ended.Sub(k.sent) >= k.timeout {
		// A stream that waits for a stage which has ended must get another one in time.
		return !c.system.releases
	}
	stop, ok := k.gateway.stopRequestedOf(k.incarnation)
	return ok && k.ended.After(stop.Add(lateStop)) && !k.sent.After(stop.Add(lateStopStart))
}

// wasDropped reports whether a call had reached an upstream when its connection ended
// without an answer, after which the client sent it again by itself.
func (c *checker) wasDropped(k *call) bool {
	if len(k.resent) == 0 {
		return false
	}
	for _, r := range c.executions[k.id] {
		if r.At.Before(k.resent[0]) {
			return true
		}
	}
	return false
}
