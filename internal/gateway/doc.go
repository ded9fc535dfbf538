// Package gateway is one process that carries callers' requests to the
// upstreams of the users' platform.
//
// One goroutine owns the control state: the fleet, the load of each upstream,
// what is believed of their health, and the retry windows. Goroutines that
// carry requests ask it for a place and tell it how the attempt ended; they
// read the routing table from an immutable snapshot. Decisions live in the
// packages below internal/coordination, words of the platform in the folder
// platform.
package gateway
