package gateway

import (
	"sync"
	"time"
)

const (
	// streamTimeWeight is the weight of the newest stream in the moving average.
	streamTimeWeight = 0.1
	// streamTimeMargin is by how much a stream may exceed the prediction: callers often
	// underestimate the length of their answers.
	streamTimeMargin = 1.5
)

// streamTimes predicts how long streams take by those that have ended. Its zero value
// knows none. It is safe for concurrent use.
type streamTimes struct {
	mu sync.Mutex
	// perToken holds the moving average of the time for each expected output token, by
	// service. Guarded by mu.
	perToken map[string]float64
}

// outputTokens returns the number of output tokens by which the time of a stream is
// predicted, at least 1: the caller's estimate, or the most that it takes.
func (q *request) outputTokens() float64 {
	tokens := q.MaxOutputTokens
	if n := q.ExpectedOutputTokens; n > 0 && (n < tokens || tokens <= 0) {
		tokens = n
	}
	return float64(max(1, tokens))
}

// record records a stream that has ended as a whole after a time.
func (t *streamTimes) record(q *request, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := float64(took) / q.outputTokens()
	mean, known := t.perToken[q.service]
	if !known {
		mean = latest
	}
	if t.perToken == nil {
		t.perToken = make(map[string]float64)
	}
	t.perToken[q.service] = mean + streamTimeWeight*(latest-mean)
}

// longest returns the time that a stream takes at most by the prediction; 0 if none of its
// service has ended yet.
func (t *streamTimes) longest(q *request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(streamTimeMargin * t.perToken[q.service] * q.outputTokens())
}
