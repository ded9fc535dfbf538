// Package soak runs real gateways as separate processes on loopback, between
// stand-ins of the platform's store and of upstreams, and injects faults from
// outside: signals to the processes, a store that misbehaves, and links that
// delay, reset or swallow what passes. Callers send requests all the while, over
// connections that they keep until the gateway is gone. What callers, upstreams
// and the store have seen is then held against the promises.
//
// A run is drawn from a seed. One of planned work only (stops, reloads, new
// configurations, upstreams that leave) is held to more: no request is cut, and
// none goes to an upstream that has left. Faults that come on top excuse what
// they may cut, but no wrong answer, no second run and no false refusal.
//
// Gateways call each other directly: cuts between them are not played. They use
// the boot clock alone, so steps of the time of day do not concern them and are
// not played either.
package soak
