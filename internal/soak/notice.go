package soak

import (
	"fmt"
	"time"

	"lovageport.example/platform/platformtest"
)

// Bounds of what upstreams ask for with a refusal.
const (
	// holdOffSlack is how long after it a gateway may still call, and
	// holdOffCalls how often until the time that was asked for has passed.
	holdOffSlack = 500 * time.Millisecond
	holdOffCalls = 2
)

// process is one start of a gateway.
type process struct {
	gateway     *gateway
	incarnation int
}

func (k *call) process() process { return process{k.gateway, k.incarnation} }

// checkSaidLeaving checks that a gateway that has passed on the answer of an
// upstream that says it leaves sends it nothing new.
func (c *checker) checkSaidLeaving() {
	for _, l := range c.site.leaves {
		instance := c.site.servers[l.server].Instance
		told := make(map[process]time.Time)
		for _, k := range c.calls {
			if platformtest.LeavingInstance(k.header) != instance || k.ended.Before(l.from) || k.ended.After(l.to) {
				continue
			}
			if at, known := told[k.process()]; !known || k.ended.Before(at) {
				told[k.process()] = k.ended
			}
		}
		for _, k := range c.calls {
			at, known := told[k.process()]
			if !known || k.sent.Before(at.Add(drainBound)) {
				continue
			}
			for _, r := range c.runs[k.id] {
				if r.server == l.server && r.At.Before(l.to) {
					c.found("an upstream that says it leaves gets nothing new", k)
				}
			}
		}
	}
}

// checkHoldOffs checks that a gateway leaves alone an upstream that has refused
// and asked for no requests.
func (c *checker) checkHoldOffs() {
	sender := make(map[string]process, len(c.calls))
	for _, k := range c.calls {
		sender[k.id] = k.process()
	}
	for i, u := range c.site.servers {
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
			if !known || !c.site.upUntil(i, r.At, r.At.Add(r.Wait)) {
				continue
			}
			calls := 0
			for _, a := range arrivals {
				if a.from == from && a.at.After(r.At.Add(holdOffSlack)) && a.at.Before(r.At.Add(r.Wait)) {
					calls++
				}
			}
			if calls > holdOffCalls {
				c.site.found("an upstream that asks for no requests gets none", fmt.Sprintf("%d calls of %s at %s within %v of %s", calls, from.gateway.name, u.Instance, r.Wait, r.At.Format("15:04:05.000")))
			}
		}
	}
}

// upUntil says whether an upstream was not started anew in a time.
func (s *site) upUntil(server int, from, to time.Time) bool {
	for _, l := range s.leaves {
		if l.server == server && l.to.After(from) && l.to.Before(to) {
			return false
		}
	}
	return true
}
