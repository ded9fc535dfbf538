package health

import "time"

// Times of questions about a stream that brings nothing.
const (
	// maxDoubtAfter is how long one may be silent at most before the first
	// question.
	maxDoubtAfter = 500 * time.Millisecond
	// doubtShare is the part of the time that the route allows after which there
	// is one: the stream must go on elsewhere within the rest.
	doubtShare = 0.75
	// secondDoubtAfter is how long after the first question the second one
	// follows: an engine knows of a stage that does not answer some hundred
	// milliseconds late.
	secondDoubtAfter = 150 * time.Millisecond
)

// Silence says when the upstreams of a stream that brings nothing are asked
// what it waits for.
type Silence struct {
	// Objective is the time within which the first event should come, and
	// MaxPause the longest pause after it; 0 if any will do.
	Objective, MaxPause time.Duration
}

// Next returns how long to wait for the next question, after a number of them
// that brought nothing. begun says that the stream has brought an event.
func (s Silence) Next(begun bool, questions int) time.Duration {
	switch questions {
	case 0:
	case 1:
		return secondDoubtAfter
	default:
		return maxDoubtAfter
	}
	allowed := s.Objective
	if begun {
		allowed = s.MaxPause
	}
	if allowed <= 0 {
		return maxDoubtAfter
	}
	return min(maxDoubtAfter, time.Duration(doubtShare*float64(allowed)))
}
