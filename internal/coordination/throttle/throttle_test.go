package throttle

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

const start = time.Hour

var upstream = &fleet.Upstream{Instance: "u", Zone: "a", Started: 7}

// fleetOf returns gateways of zones in turn.
func fleetOf(count int, zones ...string) []Gateway {
	out := make([]Gateway, count)
	for i := range out {
		out[i] = Gateway{fmt.Sprint("g", i), zones[i%len(zones)]}
	}
	return out
}

// alone returns the limits of the only gateway.
func alone() *Limits {
	l := &Limits{}
	g := fleetOf(1, "a")
	l.SetGateways(g[0], g, 1)
	return l
}

// takeAll takes what may be sent from a boot time on for a time, and returns how many
// requests that is.
func takeAll(l *Limits, from, length time.Duration) int {
	n := 0
	for at := from; at < from+length; at += 10 * time.Millisecond {
		for l.MayCall("u", at) && n < 1e6 {
			l.Take("u", at)
			n++
		}
	}
	return n
}

// TestStatedRate guards against limits that stop all calls, so that nothing would tell when
// they end, and against rates that are no use in computations.
func TestStatedRate(t *testing.T) {
	const length = 20 * time.Second
	for _, x := range []struct {
		rate        float64
		known       bool
		want        float64
		least, most int
	}{
		{0, true, 0, 1, 3},
		{-3, true, 0, 1, 3},
		{math.Inf(-1), true, 0, 1, 3},
		{0.3, true, 0.3, 5, 7},
		{5, true, 5, 99, 101},
		{1e12, true, maxRate, 1e6, 1e6},
		{math.Inf(1), true, maxRate, 1e6, 1e6},
		{math.NaN(), false, 0, 1e6, 1e6},
	} {
		t.Run(fmt.Sprint(x.rate), func(t *testing.T) {
			c := qt.New(t)
			l := alone()
			c.Check(l.RecordLimit(upstream, x.rate, start), qt.Equals, x.known)
			known, own, ok := l.Part("u", start)
			c.Check(ok, qt.Equals, x.known)
			c.Check(known.Rate, qt.Equals, x.want)
			c.Check(own <= max(x.want, minRate), qt.IsTrue, qt.Commentf("%v", own))
			got := takeAll(l, start, length)
			c.Check(got >= x.least && got <= x.most, qt.IsTrue, qt.Commentf("%d", got))
			if x.known && x.rate < 100 {
				l.Take("u", start+length)
				at := l.NextAt("u", start+length)
				c.Check(l.MayCall("u", at-20*time.Millisecond), qt.IsFalse)
				c.Check(l.MayCall("u", at+time.Millisecond), qt.IsTrue)
			}
		})
	}
}

// TestZeroValue checks that nothing is limited before a limit is known, nor is an upstream
// that states none.
func TestZeroValue(t *testing.T) {
	c := qt.New(t)
	var l Limits
	c.Check(l.Empty(), qt.IsTrue)
	c.Check(l.MayCall("u", start), qt.IsTrue)
	c.Check(l.TakeOwn("u", start), qt.IsTrue)
	l.Take("u", start)
	l.Return("u", start)
	c.Check(l.NextAt("u", start), qt.Equals, start)
	c.Check(l.News(8, true, start), qt.HasLen, 0)
	c.Check(l.RecordNoLimit(upstream, start, start), qt.IsFalse)
	c.Check(l.RecordLimit(upstream, 5, start), qt.IsTrue)
	c.Check(l.Empty(), qt.IsFalse)
	c.Check(l.MayCall("other", start), qt.IsTrue)
	c.Check(takeAll(&l, start, 4*time.Second) <= 22, qt.IsTrue)
}

// TestNewestAnswerHolds guards against an answer or a peer's news that is older than what is
// known and replaces it.
func TestNewestAnswerHolds(t *testing.T) {
	const ms = time.Millisecond
	later := &fleet.Upstream{Instance: "u", Zone: "a", Started: 8}
	limit := func(u *fleet.Upstream, rate float64, lifted bool, at time.Duration) Limit {
		return Limit{Upstream: u.Incarnation(), Rate: rate, Lifted: lifted, At: start + at}
	}
	for _, x := range []struct {
		name   string
		record func(*Limits)
		// rate is the rate that holds afterwards; 0 if none does.
		rate float64
	}{
		{"later answer with another rate", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.RecordLimit(upstream, 9, start+ms)
		}, 9},
		{"call that began after the limit ends it", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.RecordNoLimit(upstream, start+ms, start+20*ms)
		}, 0},
		{"call that began before the limit came does not", func(l *Limits) {
			l.RecordLimit(upstream, 5, start+10*ms)
			l.RecordNoLimit(upstream, start, start+20*ms)
		}, 5},
		{"limit again after its end", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.RecordNoLimit(upstream, start+ms, start+20*ms)
			l.RecordLimit(upstream, 6, start+30*ms)
		}, 6},
		{"older news of a peer do not bring back a lifted limit", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.RecordNoLimit(upstream, start+10*ms, start+20*ms)
			l.Merge(limit(upstream, 5, false, 9*ms), "a", start+30*ms)
		}, 0},
		{"older news of a peer do not bring it back long after", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.RecordNoLimit(upstream, start+10*ms, start+20*ms)
			for at := start; at < start+25*time.Second; at += time.Second {
				l.Prune(noneRestarted, at)
			}
			l.Merge(limit(upstream, 5, false, 9*ms), "a", start+25*time.Second)
		}, 0},
		{"news older than any that counts", func(l *Limits) {
			l.Merge(limit(upstream, 5, false, -lapseTime-ms), "a", start)
		}, 0},
		{"newer news of a peer", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.Merge(limit(upstream, 2, false, ms), "a", start+10*ms)
		}, 2},
		{"newer news of the end", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.Merge(limit(upstream, 5, true, ms), "a", start+10*ms)
		}, 0},
		{"news of the end of an unknown limit, then older ones of the limit", func(l *Limits) {
			l.Merge(limit(upstream, 5, true, ms), "a", start+10*ms)
			l.Merge(limit(upstream, 5, false, 0), "a", start+20*ms)
			l.Merge(limit(upstream, 5, true, ms), "a", start+30*ms)
		}, 0},
		{"end and limit equally old", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.Merge(limit(upstream, 5, true, 0), "a", start+10*ms)
		}, 5},
		{"news from the future count as of now", func(l *Limits) {
			l.Merge(limit(upstream, 5, false, time.Hour), "a", start)
			l.RecordNoLimit(upstream, start+ms, start+2*ms)
		}, 0},
		{"news with an invalid rate", func(l *Limits) {
			l.Merge(limit(upstream, math.NaN(), false, 0), "a", start)
		}, 0},
		{"new incarnation without a limit", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.RecordNoLimit(later, start-ms, start+ms)
		}, 0},
		{"new incarnation with another one", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.RecordLimit(later, 3, start-ms)
		}, 3},
		{"late answer of the former incarnation", func(l *Limits) {
			l.RecordLimit(later, 3, start)
			l.RecordLimit(upstream, 5, start+ms)
			l.RecordNoLimit(upstream, start+2*ms, start+3*ms)
			l.Merge(limit(upstream, 5, false, 4*ms), "a", start+5*ms)
		}, 3},
		{"lapse", func(l *Limits) {
			l.RecordLimit(upstream, 5, start-lapseTime-3*time.Second)
			l.Prune(noneRestarted, start-3*time.Second+ms)
		}, 0},
		{"upstream that has been restarted", func(l *Limits) {
			l.RecordLimit(upstream, 5, start)
			l.Prune(func(u fleet.Incarnation) bool { return u == upstream.Incarnation() }, start)
		}, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			l := alone()
			x.record(l)
			at := start + 30*time.Second
			if x.rate > 0 {
				at = start + time.Second
			}
			known, own, ok := l.Part("u", at)
			qt.Assert(t, ok, qt.Equals, x.rate > 0)
			if ok {
				qt.Check(t, known.Rate, qt.Equals, x.rate)
				qt.Check(t, own, qt.Equals, x.rate)
			}
		})
	}
}

// TestLapseIsNotNews guards against a gateway that was cut off, whose limit has lapsed, and
// that ends the limit at all others when it is back.
func TestLapseIsNotNews(t *testing.T) {
	cut, other := alone(), alone()
	cut.RecordLimit(upstream, 5, start)
	other.RecordLimit(upstream, 5, start)
	now := start
	for ; now <= start+lapseTime+100*time.Millisecond; now += 100 * time.Millisecond {
		if now < start+lapseTime {
			other.RecordLimit(upstream, 5, now)
		}
		cut.Prune(noneRestarted, now)
	}
	known, _, _ := cut.Part("u", now)
	qt.Assert(t, known.Lifted, qt.IsTrue)
	for _, n := range cut.News(8, true, now) {
		qt.Check(t, other.Merge(n, "a", now), qt.IsFalse)
	}
	known, _, ok := other.Part("u", now)
	qt.Check(t, ok && !known.Lifted, qt.IsTrue)
	for _, n := range other.News(8, true, now) {
		qt.Check(t, cut.Merge(n, "a", now), qt.IsTrue)
	}
	known, _, ok = cut.Part("u", now)
	qt.Check(t, ok && !known.Lifted, qt.IsTrue)
}

// noneRestarted reports that no upstream has been restarted.
func noneRestarted(fleet.Incarnation) bool { return false }

// TestLapsedLimitRises guards against all that was held back being sent at once when a
// limit lapses.
func TestLapsedLimitRises(t *testing.T) {
	l := alone()
	l.RecordLimit(upstream, 5, start)
	lapse := start + lapseTime + 50*time.Millisecond
	l.Prune(noneRestarted, lapse)
	qt.Check(t, takeAll(l, lapse, 100*time.Millisecond) <= 3, qt.IsTrue)
	qt.Check(t, takeAll(l, lapse+rampTime, 100*time.Millisecond), qt.Equals, int(1e6))
}

// TestPruneDropsLiftedLimits guards against limits that are kept for ever.
func TestPruneDropsLiftedLimits(t *testing.T) {
	for _, x := range []struct {
		name string
		end  func(l *Limits)
	}{
		{"lifted", func(l *Limits) { l.RecordNoLimit(upstream, start+time.Millisecond, start+time.Second) }},
		{"lapsed", func(*Limits) {}},
	} {
		t.Run(x.name, func(t *testing.T) {
			l := alone()
			l.RecordLimit(upstream, 5, start)
			x.end(l)
			for at := start; at < start+lapseTime+5*time.Second; at += time.Second {
				l.Prune(noneRestarted, at)
			}
			qt.Check(t, l.Empty(), qt.IsTrue)
		})
	}
}

// TestParts guards against parts that add up to more than the limit, and against holders
// that gateways do not agree on.
func TestParts(t *testing.T) {
	for _, count := range []int{1, 2, 6, 12, 60, 110, 330} {
		for _, rate := range []float64{0, 0.3, 0.5, 1, 5, 13.5, 100, 1e6} {
			t.Run(fmt.Sprintf("%d gateways, limit %v", count, rate), func(t *testing.T) {
				c := qt.New(t)
				gateways := fleetOf(count, "a", "b", "c")
				sum, holders, near, used := 0.0, 0, 0, 0.0
				for i := range gateways {
					used += float64(i % 4)
				}
				for i, g := range gateways {
					use := Use{Own: float64(i % 4), Others: used - float64(i%4)}
					l := &Limits{Use: func(string) Use { return use }}
					l.SetGateways(g, gateways, count)
					l.RecordLimit(upstream, rate, start)
					// The use of the past counts as none until it is known.
					_, first, _ := l.Part("u", start)
					c.Check(first <= max(rate, minRate), qt.IsTrue)
					var own float64
					for at := start; at < start+2*newsDelay; at += usageSlot / 2 {
						_, own, _ = l.Part("u", at)
					}
					sum += own
					if own > 0 {
						holders++
						if g.Zone == "a" {
							near++
						}
					}
				}
				c.Check(holders, qt.Equals, holderCount(max(rate, minRate), count))
				c.Check(near, qt.Equals, min(holders, (count+2)/3))
				c.Check(sum <= max(rate, minRate)*1.000001, qt.IsTrue, qt.Commentf("%v", sum))
			})
		}
	}
}

// TestOwnUseKnownFirst guards against parts that add up to several times the limit while
// all gateways begin to call at once, since each knows its own use before that of others.
func TestOwnUseKnownFirst(t *testing.T) {
	const count, rate, late = 12, 100.0, 2 * time.Second
	gateways := fleetOf(count, "a")
	var limits []*Limits
	own := func(at time.Duration) float64 {
		// Calls begin, stay for a while and end at once.
		if at < start+5*time.Second || at > start+12*time.Second {
			return 0
		}
		return 30
	}
	var now time.Duration
	for _, g := range gateways {
		l := &Limits{Use: func(string) Use { return Use{own(now), (count - 1) * own(now-late)} }}
		l.SetGateways(g, gateways, count)
		limits = append(limits, l)
	}
	for now = start; now < start+20*time.Second; now += 50 * time.Millisecond {
		sum := 0.0
		for _, l := range limits {
			l.RecordLimit(upstream, rate, now)
			_, part, _ := l.Part("u", now)
			sum += part
		}
		qt.Assert(t, sum <= 1.01*rate, qt.IsTrue, qt.Commentf("%v after %v", sum, now-start))
	}
}

// TestStartedGateway guards against a gateway that takes more than the limit since it knows
// no use of others yet.
func TestStartedGateway(t *testing.T) {
	const rate = 20.0
	gateways := fleetOf(6, "a", "b")
	inFlight := 0.0
	l := &Limits{Use: func(string) Use { return Use{Own: inFlight} }}
	l.SetGateways(gateways[0], gateways, len(gateways))
	l.RecordLimit(upstream, rate, start)
	for at := start; at < start+4*time.Second; at += 20 * time.Millisecond {
		for l.MayCall("u", at) {
			l.Take("u", at)
			inFlight++
		}
		_, own, _ := l.Part("u", at)
		qt.Assert(t, own <= rate, qt.IsTrue, qt.Commentf("%v after %v", own, at-start))
		if at < start+newsDelay {
			qt.Assert(t, own <= rate/2, qt.IsTrue, qt.Commentf("%v after %v", own, at-start))
		}
	}
}

// TestCutOffGatewaysUseTheirShare guards against parts of the whole limit on both sides of
// a cut.
func TestCutOffGatewaysUseTheirShare(t *testing.T) {
	gateways := fleetOf(12, "a", "b", "c")
	sum, held := 0.0, 0
	for i, g := range gateways {
		half := gateways[i/6*6:][:6]
		l := &Limits{}
		l.SetGateways(g, half, 12)
		l.RecordLimit(upstream, 6, start)
		_, own, _ := l.Part("u", start)
		sum += own
		if own > 0 {
			held++
		}
	}
	qt.Check(t, math.Abs(sum-6) < 1e-6, qt.IsTrue, qt.Commentf("%v", sum))
	qt.Check(t, held, qt.Equals, 2*holderCount(3, 6))
}

// TestOwnCalls guards against calls of a gateway's own that exceed its part, that leave
// nothing to requests, or to which requests leave nothing.
func TestOwnCalls(t *testing.T) {
	const rate, length = 2.0, 30 * time.Second
	gateways := fleetOf(12, "a")
	total := 0
	for _, g := range gateways {
		l := &Limits{}
		l.SetGateways(g, gateways, len(gateways))
		l.RecordLimit(upstream, rate, start)
		requests, own := 0, 0
		for at := start; at < start+length; at += 10 * time.Millisecond {
			if l.TakeOwn("u", at) {
				own++
			}
			if l.MayCall("u", at) {
				l.Take("u", at)
				requests++
			}
		}
		total += requests + own
		_, part, _ := l.Part("u", start+length)
		qt.Check(t, own > 0, qt.Equals, part > 0, qt.Commentf("%d own calls, part %v", own, part))
		qt.Check(t, float64(requests+own) <= part*length.Seconds()+burstFloor+ownDebt, qt.IsTrue)
		if part > 0 {
			qt.Check(t, own > 2, qt.IsTrue)
			qt.Check(t, requests >= own-1, qt.IsTrue, qt.Commentf("%d requests, %d own calls", requests, own))
		}
	}
	qt.Check(t, float64(total) >= 0.9*rate*length.Seconds(), qt.IsTrue, qt.Commentf("%d", total))
}

// TestReturnedCall guards against calls that were not sent and use up the limit, or that
// may be made several times.
func TestReturnedCall(t *testing.T) {
	l := alone()
	l.RecordLimit(upstream, 1, start)
	at := start + 10*time.Second
	for range 50 {
		qt.Assert(t, l.MayCall("u", at), qt.IsTrue)
		l.Take("u", at)
		l.Return("u", at)
	}
	l.Take("u", at)
	qt.Check(t, l.MayCall("u", at), qt.IsFalse)
}

// TestNews guards against a change that peers do not hear of while many limits are known,
// and against one that has missed it and never hears of it.
func TestNews(t *testing.T) {
	c := qt.New(t)
	l := alone()
	const count = 40
	for i := range count {
		l.RecordLimit(&fleet.Upstream{Instance: fmt.Sprint("u", i), Zone: "a", Started: 1}, 5, start)
	}
	c.Check(l.News(8, false, start), qt.HasLen, 8)
	c.Check(l.News(100, false, start), qt.HasLen, count)
	c.Check(l.News(100, true, start+time.Minute), qt.HasLen, count)
	at := start + 2*time.Minute
	c.Check(l.RecordLimit(&fleet.Upstream{Instance: "u7", Zone: "a", Started: 1}, 5.1, at), qt.IsFalse)
	c.Check(l.RecordLimit(&fleet.Upstream{Instance: "u7", Zone: "a", Started: 1}, 8, at+time.Millisecond), qt.IsTrue)
	at += time.Millisecond
	seen := make(map[string]bool)
	for range count {
		at += 50 * time.Millisecond
		news := l.News(8, false, at)
		c.Assert(len(news), qt.Equals, 1+maxRefreshed)
		c.Assert(news[0].Upstream.Instance, qt.Equals, "u7")
		c.Assert(news[0].Rate, qt.Equals, 8.0)
		for _, n := range news {
			seen[n.Upstream.Instance] = true
		}
	}
	c.Check(seen, qt.HasLen, count)
}
