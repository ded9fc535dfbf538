// Package gateway runs one gateway process, which forwards callers' requests to
// the upstreams of the users' platform.
//
// A single goroutine, the control loop, owns the control state: the list of
// upstreams, the load and health of each, and the retry windows. Goroutines
// that forward requests ask the control loop for a target and report how each
// attempt ended; they read the routing table from an immutable snapshot. The
// decisions themselves are made by the packages below internal/coordination,
// and the platform's protocols are encoded and decoded by package platform.
package gateway
