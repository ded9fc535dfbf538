// Package fleet describes the registered upstreams: their identity and state, and
// for engines the layers that they hold and the capacity of their accelerators.
package fleet
