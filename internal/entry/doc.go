// Package entry is the process on an entry VM: it puts the listeners, the
// control state and the clients of upstreams, peers and platform together.
//
// One goroutine owns the control state (see control); requests are carried by
// goroutines of their own, which read an immutable [view] and send the owner
// short functions to run. Everything that an [Entry] starts ends together when
// the context of [Entry.Run] ends or one part fails.
package entry
