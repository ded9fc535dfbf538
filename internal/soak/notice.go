package soak

import (
	"fmt"
	"time"

	"lovageport.example/platform/platformtest"
)

// Limits on calls to an upstream that has asked for a pause.
const (
	// holdOffDelay is how long after the refusal a gateway may still call the
	// upstream. maxCallsDuringHoldOff is how often it may do so between then
	// and the end of the pause.
	holdOffDelay          = 500 * time.Millisecond
	maxCallsDuringHoldOff = 2
)

// process identifies one process of a gateway.
type process struct {
	gateway     *gateway
	incarnation int
}

func (k *call) process() process { return process{k.gateway, k.incarnation} }

// checkAnnouncedLeaves checks that a gateway that has forwarded a response in
// which an upstream announces that it leaves sends that upstream no new
// calls.
func (c *checker) checkAnnouncedLeaves() {
	for _, l := range c.system.leavePeriods {
		instance := c.system.upstreams[l.upstream].Instance
		announced := make(map[process]time.Time)
		for _, k := range c.calls {
			if platformtest.LeavingInstance(k.header) != instance || k.ended.Before(l.from) || k.ended.After(l.to) {
				continue
			}
			if at, known := announced[k.process()]; !known || k.ended.Before(at) {
				announced[k.process()] = k.ended
			}
		}
		for _, k := range c.calls {
			at, known := announced[k.process()]
			if !known || k.sent.Before(at.Add(drainBound)) {
				continue
			}
			for _, r := range c.executions[k.id] {
				if r.upstream == l.upstream && r.At.Before(l.to) {
					c.report("an upstream that announced its leaving gets no new calls", k)
				}
			}
		}
	}
}

// checkHoldOffs checks that a gateway does not call an upstream that has
// refused a call and asked for a pause, except as holdOffDelay and
// maxCallsDuringHoldOff allow.
func (c *checker) checkHoldOffs() {
	sender := make(map[string]process, len(c.calls))
	for _, k := range c.calls {
		sender[k.id] = k.process()
	}
	for i, u := range c.system.upstreams {
		type arrival struct {
			from process
			at   time.Time
		}
		var arrivals []arrival
		for _, r := range u.Requests() {
			arrivals = append(arrivals, arrival{sender[r.ID], r.At})
		}
		for _, r := range u.Refusals() {
			if from, known := sender[r.Request]; known {
				arrivals = append(arrivals, arrival{from, r.At})
			}
		}
		for _, r := range u.Refusals() {
			from, known := sender[r.Request]
			if !known || !c.system.notRestarted(i, r.At, r.At.Add(r.Wait)) {
				continue
			}
			calls := 0
			for _, a := range arrivals {
				if a.from == from && a.at.After(r.At.Add(holdOffDelay)) && a.at.Before(r.At.Add(r.Wait)) {
					calls++
				}
			}
			if calls > maxCallsDuringHoldOff {
				c.system.reportViolation("an upstream that asked for a pause gets no calls", fmt.Sprintf("%d calls of %s at %s within %v of %s", calls, from.gateway.name, u.Instance, r.Wait, r.At.Format("15:04:05.000")))
			}
		}
	}
}

// notRestarted reports whether an upstream was not restarted between from and
// to.
func (s *system) notRestarted(upstream int, from, to time.Time) bool {
	for _, l := range s.leavePeriods {
		if l.upstream == upstream && l.to.After(from) && l.to.Before(to) {
			return false
		}
	}
	return true
}
