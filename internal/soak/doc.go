// Package soak tests gateways while faults occur. It runs real gateways as
// separate processes on loopback, between a simulated store of the platform
// and simulated upstreams, and injects faults from outside: signals to the
// processes, failures of the store, and proxies that delay, stall or reset
// connections or replace responses by endless ones. Meanwhile callers send
// requests over connections that they keep until the gateway closes them. At
// the end, the package checks what callers, upstreams and the store have seen
// against the guarantees of the gateways.
//
// A seed determines the faults and requests of a run. In a run with planned
// maintenance only (stops, reloads, new configurations, leaving upstreams)
// more is guaranteed: no request is cut off, and none goes to an upstream
// that has left. Faults excuse requests that they may cut off, but no wrong
// response, no second execution of a non-idempotent request and no false
// refusal.
//
// Storms add configurations in series beside signals and leaving upstreams, with
// streams that last for seconds. Standstills add moments in which a gateway or all
// upstreams make no progress, as on machines with little processor time; they excuse
// no cut stream.
//
// Releases add planned replacements of engines beside configurations and signals, with
// bodies in chunks and a small retry allowance. Streams over an engine that has ended
// stall until the gateway orders another chain.
//
// Lapses add outages of the store after which upstreams register anew, some of them with
// gateways that the store turns away for longer. Afterwards each gateway must have all
// upstreams that are registered.
//
// Gateways call each other directly, so network failures between them are not
// simulated. Nor are steps of the wall clock, since gateways use only the
// boot-time clock.
package soak
