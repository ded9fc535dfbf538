// Package readiness decides whether callers should come to a gateway.
//
// A gateway whose knowledge of the keys grows too old must refuse them. Where
// the whole availability zone is cut off from the others, those can still serve
// its callers: the gateway then lets go of them while there is time for the
// balancer to notice, rather than when it must refuse.
package readiness

import "time"

// Times of the balancer, which asks once a second and believes two answers.
const (
	// noticeTime is how long it takes until it sends new connections elsewhere.
	noticeTime = 2200 * time.Millisecond
	// handOverTime is how long before the keys are too old callers are told to
	// open a new connection.
	handOverTime = time.Second
)

// State is what a gateway knows of its own knowledge.
type State struct {
	// Known says that there is a configuration, Age how old the knowledge of it
	// is, and MaxAge up to which age keys are served by it.
	Known       bool
	Age, MaxAge time.Duration
	// CutOff says that gateways of other zones were heard and no longer are.
	CutOff bool
}

// Ready says whether new connections should come here.
func (s State) Ready() bool {
	limit := s.MaxAge
	if s.CutOff {
		limit -= noticeTime
	}
	return s.Known && s.Age < limit
}

// HandsOver says whether callers should open their next connection elsewhere.
func (s State) HandsOver() bool {
	return s.CutOff && s.Known && s.Age >= s.MaxAge-handOverTime
}

// Wait returns how long a caller that is refused since the knowledge is too old
// should wait. usual is the wait where nobody else can serve it either.
func (s State) Wait(usual time.Duration) time.Duration {
	if !s.CutOff || !s.Known {
		return usual
	}
	// The balancer sends it elsewhere once it has noticed.
	unready := s.Age - (s.MaxAge - noticeTime)
	return min(usual, max(0, noticeTime-unready))
}
