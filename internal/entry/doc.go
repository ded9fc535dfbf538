// Package entry implements the entry process, the gateway that runs on each
// entry VM. It accepts callers' requests and forwards them to engines and plain
// services, serves operators, and exchanges state with the entries on other VMs
// (its peers) and with the platform.
//
// A single goroutine, the control loop, owns the control state. Each request is
// served by a goroutine of its own, which reads an immutable [view] of that
// state and sends the control loop short functions to run. All goroutines of an
// [Entry] stop when the context of [Entry.Run] ends or one of them fails.
package entry
