package setting

import (
	"syscall"
)

// Limits holds what a process may use of its machine. A zero field stands for its
// default.
type Limits struct {
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB int `toml:",omitempty"`
	// MaxDescriptors is the number of descriptors that the process may have open.
	MaxDescriptors int `toml:",omitempty"`
	// MaxConnections is the number of connections that callers may have open.
	MaxConnections int `toml:",omitempty"`
}

const (
	// defaultMemoryMB leaves the budgets of answers and bodies at 64 MB each.
	defaultMemoryMB = 384
	// maxDefaultDescriptors bounds the descriptors that are derived from the limit of
	// the operating system, which may be unlimited.
	maxDefaultDescriptors = 1 << 16
	// fileDescriptors are reserved for files and pipes.
	fileDescriptors = 200
	// minSockets is the least number of descriptors that is divided among the
	// listeners and the connections that the process opens itself.
	minSockets = 64
)

// Parts of the memory and the descriptors. What is left of the memory, about two fifths,
// is for the state of the process, for what messages hold without being counted, and for
// the garbage between two collections.
const (
	inputShare  = 4 // one part in four
	answerShare = 6
	bodyShare   = 6
	// connShare bounds what open connections of callers take by themselves, connBytes
	// each even if they are silent, if the settings state the memory.
	connShare = 6
	connBytes = 20 << 10
	// uncountedMB is what the Go runtime does not count for its soft limit, mostly the
	// binary, and overshootShare the part of the memory by which it may exceed that
	// limit between two collections: one in eight. Heads of many short lines produce
	// the most garbage.
	uncountedMB    = 24
	overshootShare = 8
	// otherSockets is the part of the sockets that callers leave for the store, the
	// peers and the upstreams: one in four.
	otherSockets = 4
	// unknownPeers is the part of the sockets for connections that have not shown yet
	// that they are those of peers, and toolSockets that for each of the listeners for
	// health checks and for metrics.
	unknownPeers, toolSockets = 16, 32
	minListenerSockets        = 16
)

// check adds the faults of the limits.
func (l *Limits) check(c *checker) {
	for _, x := range []struct {
		key   string
		value int
	}{{"MemoryMB", l.MemoryMB}, {"MaxDescriptors", l.MaxDescriptors}, {"MaxConnections", l.MaxConnections}} {
		c.require(x.value >= 0, "Limits", x.key, "must not be negative")
	}
}

// bytes returns one part of a number of parts of the memory.
func (l *Limits) bytes(parts int64) int64 {
	mb := l.MemoryMB
	if mb == 0 {
		mb = defaultMemoryMB
	}
	return int64(mb) << 20 / parts
}

// InputBytes is the memory for what clients and peers have sent and that is not yet a
// request.
func (l *Limits) InputBytes() int64 { return l.bytes(inputShare) }

// AnswerBytes is the memory for answers of upstreams that are held whole.
func (l *Limits) AnswerBytes() int64 { return l.bytes(answerShare) }

// BodyBytes is the memory for bodies of requests.
func (l *Limits) BodyBytes() int64 { return l.bytes(bodyShare) }

// GoMemoryBytes is the soft limit of the memory of the Go runtime, or 0 for none if the
// settings state no memory.
func (l *Limits) GoMemoryBytes() int64 {
	if l.MemoryMB == 0 {
		return 0
	}
	memory := int64(l.MemoryMB) << 20
	return max(memory/2, memory-memory/overshootShare-uncountedMB<<20)
}

// sockets returns the number of descriptors for connections.
func (l *Limits) sockets() int {
	descriptors := l.MaxDescriptors
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	return max(minSockets, descriptors-fileDescriptors)
}

// systemDescriptors returns the limit that the operating system sets.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > maxDefaultDescriptors {
		return maxDefaultDescriptors
	}
	return int(limit.Cur)
}

// CallerConnections is the number of connections that callers may have open.
func (l *Limits) CallerConnections() int {
	if l.MaxConnections > 0 {
		return l.MaxConnections
	}
	sockets := l.sockets()
	conns := sockets - sockets/otherSockets
	if l.MemoryMB > 0 {
		conns = min(conns, int(l.bytes(connShare)/connBytes))
	}
	return conns
}

// UnknownPeerConnections is the number of open connections at the listener of peers that
// have not shown yet that they are those of peers.
func (l *Limits) UnknownPeerConnections() int {
	return max(minListenerSockets, l.sockets()/unknownPeers)
}

// ToolConnections is the number of connections that may be open at the listener for
// health checks, and at that for metrics.
func (l *Limits) ToolConnections() int {
	return max(minListenerSockets, l.sockets()/toolSockets)
}
