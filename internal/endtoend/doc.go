// Package endtoend tests the system as separate processes on loopback: a
// platform, engines, a plain service, the entries that accept the callers'
// requests, and the command line.
package endtoend
