// Package dispatch decides which request runs where and when.
//
// A [Dispatcher] is driven by calls that carry the time: a request is opened,
// submitted once for each attempt, answered with a [Placement] or a refusal,
// and closed. It owns the load, failures and suspicions of upstreams. It
// starts no goroutine and reads no clock; its calls must not overlap.
package dispatch
