package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"lovageport.example/platform/platformtest"
)

// Bounds on the calls to an upstream that states a limit: from limitStable after it
// first stated it, it gets in no limitWindow more than limitShare times what the limit
// allows in it and limitExtra calls. Counted are processes that have forwarded an answer
// with the limit limitDelay before or earlier.
const (
	limitStable = 3 * time.Second
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitExtra  = 5
	limitDelay  = 500 * time.Millisecond
)

// Extent of limits.
const (
	minLimit, maxLimit        = 0.3, 3.0
	minLimitLength            = 8 * time.Second
	maxLimitLength            = 12 * time.Second
	maxLimitStart             = time.Second
	limitStream        uint64 = 1 << 41
	limitedUpstreams          = 2
)

// limitPeriod is a period in which an upstream stated a limit.
type limitPeriod struct {
	upstream int
	rate     float64
	from, to time.Time
}

// drawLimits draws upstreams that state limits. The random source is its own, so that the
// other actions of a seed stay what they are.
func drawLimits(p Config, system *system) []action {
	s := &scheduler{rng: rand.New(rand.NewPCG(p.Seed, limitStream)), system: system}
	var out []action
	for _, i := range s.rng.Perm(len(system.upstreams))[:limitedUpstreams] {
		rate, length := minLimit+s.rng.Float64()*(maxLimit-minLimit), s.drawDuration(minLimitLength, maxLimitLength)
		out = append(out, action{
			description: fmt.Sprintf("limit %s to %.2f a second for %v", system.upstreams[i].Instance, rate, length),
			at:          s.drawDuration(0, maxLimitStart),
			run:         func() { system.limit(i, rate, length) },
		})
	}
	return out
}

// limit makes an upstream state a limit for a time.
func (s *system) limit(upstream int, rate float64, length time.Duration) {
	s.upstreams[upstream].SetLimit(strconv.FormatFloat(rate, 'f', 2, 64))
	from := time.Now()
	time.Sleep(length)
	s.upstreams[upstream].SetLimit("")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitPeriods = append(s.limitPeriods, limitPeriod{upstream, rate, from, time.Now()})
}

// checkLimits checks that upstreams get no more than they state.
func (c *checker) checkLimits() {
	sender := make(map[string]process, len(c.calls))
	for _, k := range c.calls {
		sender[k.id] = k.process()
	}
	for _, l := range c.system.limitPeriods {
		u := c.system.upstreams[l.upstream]
		var named time.Time
		knows := make(map[process]time.Time)
		for _, k := range c.calls {
			if platformtest.LimitedInstance(k.header) != u.Instance || k.ended.Before(l.from) || k.ended.After(l.to) {
				continue
			}
			if at, known := knows[k.process()]; !known || k.ended.Before(at) {
				knows[k.process()] = k.ended
			}
			if named.IsZero() || k.ended.Before(named) {
				named = k.ended
			}
		}
		var counted []time.Time
		for _, r := range u.Requests() {
			from, known := sender[r.ID]
			at, informed := knows[from]
			if known && informed && !r.At.Before(at.Add(limitDelay)) && !r.At.Before(named.Add(limitStable)) && r.At.Before(l.to) {
				counted = append(counted, r.At)
			}
		}
		slices.SortFunc(counted, time.Time.Compare)
		c.system.limitedCalls += len(counted)
		most := 0
		for i, at := range counted {
			end, _ := slices.BinarySearchFunc(counted, at.Add(limitWindow), time.Time.Compare)
			most = max(most, end-i)
		}
		if allowed := limitShare*l.rate*limitWindow.Seconds() + limitExtra; float64(most) > allowed {
			c.system.reportViolation("an upstream that states a limit gets no more calls", fmt.Sprintf("%d calls to %s in %v, %.1f allowed", most, u.Instance, limitWindow, allowed))
		}
	}
}
