package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// attemptHistory is what the attempts of a request have shown. The zero value is that
// of a request without attempts. It may be used by many goroutines: while an attempt
// runs, the control loop may look for the next one.
type attemptHistory struct {
	mu sync.Mutex
	// sent reports whether an attempt has reached an upstream.
	sent bool
	// sentTo holds the upstreams that attempts are sent to, from the assignment of
	// the target until the header of the response.
	sentTo []string
	// handingOver reports whether a running attempt looks for its successor.
	handingOver bool
	// ranOn holds the upstreams, first stages in the case of chains, that may
	// have run the request.
	ranOn map[string]bool
	// firstStage is the first stage of the last attempt, which the next one
	// prefers.
	firstStage string
	// lastEvent is the boot time of the last event; 0 if there was none.
	lastEvent time.Duration
	// attempts counts the targets that were assigned.
	attempts int
	// panicked reports whether a part of the request has panicked, after which it is
	// not known what its attempts have sent.
	panicked bool
}

// recordPanic records that a part of the request has panicked.
func (h *attemptHistory) recordPanic() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.panicked = true
}

// beginSend records that an attempt is to be sent to an upstream, which may run the
// request until its response, or its failure, tells.
func (h *attemptHistory) beginSend(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentTo = append(h.sentTo, instance)
}

// endSend records that the outcome of an attempt that was sent to an upstream is
// recorded.
func (h *attemptHistory) endSend(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.sentTo, instance); i >= 0 {
		h.sentTo = slices.Delete(h.sentTo, i, i+1)
	}
}

// recordRun records that an upstream may have run the request.
func (h *attemptHistory) recordRun(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addRun(instance)
}

// recordResponse records that an upstream has begun to answer.
func (h *attemptHistory) recordResponse(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addRun(instance)
	h.firstStage = instance
}

// addRun adds an upstream that may have run the request. The caller holds mu.
func (h *attemptHistory) addRun(instance string) {
	h.sent = true
	if h.ranOn == nil {
		h.ranOn = make(map[string]bool)
	}
	h.ranOn[instance] = true
}

// recordRefusal records that an upstream has received the request and not run
// it.
func (h *attemptHistory) recordRefusal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = true
}

// recordEvent records that a part of the response is passed on, and returns when the
// previous one was; 0 if there was none.
func (h *attemptHistory) recordEvent(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.lastEvent
	h.lastEvent = now
	return last
}

// setHandingOver records whether a running attempt looks for its successor.
func (h *attemptHistory) setHandingOver(is bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handingOver = is
}

// isHandingOver reports whether a running attempt looks for its successor.
func (h *attemptHistory) isHandingOver() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handingOver
}

// countAttempt counts a target that is assigned, and returns its number.
func (h *attemptHistory) countAttempt() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts++
	return h.attempts
}

// discountAttempt takes back an attempt for which nothing was sent.
func (h *attemptHistory) discountAttempt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts--
}

// history is a summary of the attempts so far. An attempt whose response is awaited
// counts as sent.
type history struct {
	sent       bool
	firstStage string
	lastEvent  time.Duration
	attempts   int
}

// history returns the summary.
func (h *attemptHistory) history() history {
	h.mu.Lock()
	defer h.mu.Unlock()
	return history{sent: h.sent || len(h.sentTo) > 0, firstStage: h.firstStage, lastEvent: h.lastEvent, attempts: h.attempts}
}

// possibleRuns returns the upstreams that may have run the request, those whose
// response is awaited included, each once and in no order.
func (h *attemptHistory) possibleRuns() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.ranOn) == 0 && len(h.sentTo) == 0 {
		return nil
	}
	runs := slices.AppendSeq(make([]string, 0, len(h.ranOn)+len(h.sentTo)), maps.Keys(h.ranOn))
	for _, instance := range h.sentTo {
		if !slices.Contains(runs, instance) {
			runs = append(runs, instance)
		}
	}
	return runs
}

// mayHaveRun reports whether an upstream may have run the request.
func (h *attemptHistory) mayHaveRun() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ranOn) > 0 || h.panicked && h.attempts > 0
}

// upstreamsRun returns the number of upstreams that may have run the request.
func (h *attemptHistory) upstreamsRun() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ranOn)
}
