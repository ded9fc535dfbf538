// Package dispatch decides which request runs on which upstreams, and when.
//
// The caller of a [Dispatcher] passes the current time to each method. It opens
// a request, submits it once per attempt, receives a [Placement] or a refusal
// for each submission, and closes the request. The Dispatcher keeps track of the
// load and the failures of upstreams and of the requests suspected of crashing
// them. It starts no goroutines and reads no clock, and is not safe for
// concurrent use.
package dispatch
