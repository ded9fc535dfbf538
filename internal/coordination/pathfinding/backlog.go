package pathfinding

import "time"

// Backlog is the time that an engine still needs to read the prompts that were
// sent to it lately. Rates over a second don't show it: the streams of an engine
// that is lost all go on elsewhere within some ten milliseconds. Its zero value
// is none.
type Backlog struct {
	left time.Duration
	at   time.Duration
}

// Add counts a prompt that takes an engine some time to read.
func (b *Backlog) Add(reading, now time.Duration) {
	b.left = b.At(now) + reading
	b.at = now
}

// At returns what is left as of a boot time.
func (b *Backlog) At(now time.Duration) time.Duration { return max(0, b.left-max(0, now-b.at)) }
