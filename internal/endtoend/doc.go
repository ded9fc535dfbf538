// Package endtoend tests the system as separate processes on loopback: a
// platform, engines, a plain service, three entries and the command line.
package endtoend
