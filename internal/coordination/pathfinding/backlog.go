package pathfinding

import "time"

// Backlog is the time that an engine still needs to read the prompts that were
// sent to it recently. It shows a burst that a [Rate] averages out: when an
// engine is lost, all its streams move to other engines within some ten
// milliseconds. The zero value is an empty backlog.
type Backlog struct {
	remaining time.Duration
	updated   time.Duration
}

// Add adds a prompt that takes the engine the given time to read. now is a time
// since boot.
func (b *Backlog) Add(reading, now time.Duration) {
	b.remaining = b.At(now) + reading
	b.updated = now
}

// At returns the reading time that remains at now, a time since boot.
func (b *Backlog) At(now time.Duration) time.Duration {
	return max(0, b.remaining-max(0, now-b.updated))
}
