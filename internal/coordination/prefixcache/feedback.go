package prefixcache

import (
	"time"

	"lovageport.example/internal/state/fleet"
)

// Stage is a stage of a chain that has read a prompt.
type Stage struct {
	Engine Engine
	Layers fleet.Range
	// Expected is what it was expected to cache.
	Expected Estimate
}

// FirstEvent is what the first event of a request shows.
type FirstEvent struct {
	// Took is the time until it came, and Full the predicted time if no engine had
	// cached anything. Gain is how much sooner it comes if all stages still cache
	// what they were expected to.
	Took, Full, Gain time.Duration
}

// Outcome is what a first event shows of the prefixes that were expected.
type Outcome uint8

const (
	// Unknown means that none was expected, or that the time does not tell.
	Unknown Outcome = iota
	// Confirmed means that the event came sooner than without the cache.
	Confirmed
	// Missed means that it came as late as without the cache.
	Missed
)

// Limits on the first events that count as evidence. Smaller gains drown in the
// jitter of decode steps and the network.
const (
	minGain      = 10 * time.Millisecond
	minGainShare = 0.15
)

const (
	// baselineWeight is the weight of the newest ratio in the moving average, which is
	// kept within maxBaseline and its inverse.
	baselineWeight = 0.2
	maxBaseline    = 4.0
	// evictionScore is the score below which an engine has evicted what it read
	// before, too.
	evictionScore = 0.25
)

// RecordFirstEvent records that the stages of a chain have read a prompt of the given
// length with the given prefixes, and judges from the time until its first event
// whether they still cached what was expected of them.
func (c *Cache) RecordFirstEvent(stages []Stage, prefixes []Prefix, tokens int, f FirstEvent, now time.Duration) Outcome {
	if !c.Enabled() || len(stages) == 0 {
		return Unknown
	}
	outcome := c.judge(stages, f, now)
	for _, s := range stages {
		c.recordRead(c.engineFor(s.Engine), s.Layers, prefixes, tokens, now)
	}
	return outcome
}

// judge evaluates the time until a first event.
func (c *Cache) judge(stages []Stage, f FirstEvent, now time.Duration) Outcome {
	first := c.engineFor(stages[0].Engine)
	expecting := 0
	for _, s := range stages {
		if s.Expected.Tokens > 0 {
			expecting++
		}
	}
	if expecting == 0 {
		first.recordBaseline(f)
		return Unknown
	}
	if f.Gain < minGain || f.Gain.Seconds() < minGainShare*f.Full.Seconds() {
		return Unknown
	}
	ratio := 1.0
	if first.baseline > 0 {
		ratio = first.baseline
	}
	score := (f.Full.Seconds()*ratio - f.Took.Seconds()) / (f.Gain.Seconds() * ratio)
	score = min(1, max(0, score))
	weight := min(1, f.Gain.Seconds()/f.Full.Seconds())
	for _, s := range stages {
		if s.Expected.Tokens > 0 {
			c.observe(s, score, weight/float64(expecting), now)
		}
	}
	if score < 0.5 {
		return Missed
	}
	return Confirmed
}

// observe records whether a stage has still cached what was expected: score is 1 if it
// has and 0 if it has not. What is still cached at some age is also cached at lower
// ages, and what is not, is not at higher ones. A prefix that is no longer cached shows
// that those used before it are not either: engines evict what was used longest ago.
func (c *Cache) observe(s Stage, score, weight float64, now time.Duration) {
	e := c.engineFor(s.Engine)
	halfLife := evidenceRetentions * c.Retention
	at := c.ageClass(s.Expected.Age)
	for class := range e.ages {
		switch {
		case class < at:
			e.ages[class].add(score*weight, 0, halfLife, now)
		case class > at:
			e.ages[class].add(0, (1-score)*weight, halfLife, now)
		default:
			e.ages[class].add(score*weight, (1-score)*weight, halfLife, now)
		}
	}
	if score < evictionScore {
		e.evictedUntil = max(e.evictedUntil, s.Expected.used)
	}
}

// recordBaseline records a first event for which nothing was cached.
func (e *engine) recordBaseline(f FirstEvent) {
	if f.Full < minGain || f.Took <= 0 {
		return
	}
	ratio := min(maxBaseline, max(1/maxBaseline, f.Took.Seconds()/f.Full.Seconds()))
	if e.baseline == 0 {
		e.baseline = ratio
		return
	}
	e.baseline += baselineWeight * (ratio - e.baseline)
}
