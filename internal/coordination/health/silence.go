package health

import "time"

// Times of questions about a stream that brings nothing.
const (
	// maxDoubtAfter is how long one may be silent at most before the first
	// question, and lateDoubtAfter how long after several the next one follows.
	maxDoubtAfter  = 500 * time.Millisecond
	lateDoubtAfter = 500 * time.Millisecond
	// crowdedQuiet and sparseQuiet are how long a stage that many or few streams
	// pass must have brought nothing to be asked, and crowd from how many on they
	// are many: their events come by turns.
	crowdedQuiet = 90 * time.Millisecond
	sparseQuiet  = 120 * time.Millisecond
	crowd        = 3
	// maxDoublings is how often the quiet that is allowed doubles.
	maxDoublings = 2
	// minDoubtAfter is the shortest silence that is asked about.
	minDoubtAfter = 80 * time.Millisecond
	// pauseShare and firstShare are the parts of the longest pause and of the
	// time to the first event that a route allows after which there is a
	// question at the latest: the prompt must be read elsewhere within the rest.
	pauseShare = 0.5
	firstShare = 0.3
	// rhythmFactor is how many times the usual pause of a stream is a silence, and
	// leastFactor how many times must pass whatever the route allows: the events
	// of a stream through slow engines are late by themselves.
	rhythmFactor = 3.5
	leastFactor  = 1.5
	// nextDoubtAfter is the time between the first few questions. They cost
	// little: only stages are asked that nobody else has heard of since.
	nextDoubtAfter = 40 * time.Millisecond
	// earlyDoubts is how many questions follow each other so quickly, and
	// middleDoubtAfter the time until the next.
	earlyDoubts      = 4
	middleDoubtAfter = 150 * time.Millisecond
)

// Silence says when the stages of a stream that brings nothing are asked
// whether they are well.
type Silence struct {
	// Objective is the time within which the first event should come, and
	// MaxPause the longest pause after it; 0 if any will do.
	Objective, MaxPause time.Duration
	// Rhythm is the usual time between the events of the stream; 0 if it is not
	// known.
	Rhythm time.Duration
}

// StageQuiet returns how long a stage that a number of streams pass must have
// given no sign of life to be asked whether it is well. The time doubles with
// each answer that it is, up to a bound: the engine is slow, or another one is.
func StageQuiet(streams, answers int) time.Duration {
	quiet := sparseQuiet
	if streams >= crowd {
		quiet = crowdedQuiet
	}
	return quiet << min(answers, maxDoublings)
}

// Next returns how long to wait for the next question, after a number of them
// that brought nothing. begun says that the stream has brought an event.
func (s Silence) Next(begun bool, questions int) time.Duration {
	switch {
	case questions > earlyDoubts:
		return lateDoubtAfter
	case questions == earlyDoubts:
		return middleDoubtAfter
	case questions > 0:
		return max(nextDoubtAfter, s.Rhythm)
	}
	allowed, share := s.Objective, firstShare
	if begun {
		allowed, share = s.MaxPause, pauseShare
	}
	if allowed <= 0 {
		return maxDoubtAfter
	}
	latest := min(maxDoubtAfter, time.Duration(share*float64(allowed)))
	if !begun || s.Rhythm <= 0 {
		return latest
	}
	usual := max(minDoubtAfter, time.Duration(rhythmFactor*float64(s.Rhythm)))
	least := time.Duration(leastFactor * float64(s.Rhythm))
	return min(maxDoubtAfter, max(least, min(latest, usual)))
}
