// Package guard contains panics. A panic in a goroutine or timer that works for one
// request would otherwise end the process, and with it all other requests.
package guard
