package entry

import (
	"lovageport.example/internal/guard"
	"lovageport.example/internal/logging"
)

// guard returns what contains the panics of goroutines beside the handlers.
func (e *Entry) guard() guard.Guard {
	return guard.Guard{OnPanic: func(request string, p *guard.PanicError) {
		e.metrics.containedPanics.Inc()
		logging.LogContained(e.Log, request, p)
	}}
}

// contain runs f, which works for the request of an ID, or for none if that is "", in a
// goroutine of its own. A panic is logged and counted, and reported as false.
func (e *Entry) contain(request string, f func()) bool { return e.guard().Run(request, f) == nil }
