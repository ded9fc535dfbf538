package prefixcache

import (
	"math"
	"time"
)

// Evidence that counts before anything has been observed. The settings state that
// engines keep prefixes, so the expectation is high, but a few observations
// outweigh it.
const (
	priorHits   = 2.0
	priorMisses = 0.5
)

// maxEvidence bounds the weight of past observations, so that a change of an
// engine's behavior shows after about as many further ones.
const maxEvidence = 8.0

// evidenceRetentions is the half-life of observations, in retention times.
const evidenceRetentions = 4

// evidence weighs observations of whether a prefix was still cached. The zero value
// has none.
type evidence struct {
	hits, misses float64
	updated      time.Duration
}

// add adds observations of prefixes that were still cached, and that were not.
func (e *evidence) add(hits, misses float64, halfLife, now time.Duration) {
	e.hits, e.misses = e.at(halfLife, now)
	e.updated = now
	e.hits += hits
	e.misses += misses
	if sum := e.hits + e.misses; sum > maxEvidence {
		e.hits *= maxEvidence / sum
		e.misses *= maxEvidence / sum
	}
}

func (e *evidence) at(halfLife, now time.Duration) (hits, misses float64) {
	if e.hits+e.misses == 0 {
		return 0, 0
	}
	factor := math.Exp2(-max(0, now-e.updated).Seconds() / halfLife.Seconds())
	return e.hits * factor, e.misses * factor
}

// probability returns the probability that a prefix is still cached.
func (e *evidence) probability(halfLife, now time.Duration) float64 {
	hits, misses := e.at(halfLife, now)
	return (hits + priorHits) / (hits + misses + priorHits + priorMisses)
}

// ageClasses is the number of classes of ages with evidence of their own. Class 0
// holds ages up to a sixteenth of the retention, and each further class ages up to
// twice as long, so that engines that evict early lose only what is older.
const ageClasses = 5

func (c *Cache) ageClass(age time.Duration) int {
	limit := c.Retention / 16
	for class := range ageClasses - 1 {
		if age <= limit {
			return class
		}
		limit *= 2
	}
	return ageClasses - 1
}
