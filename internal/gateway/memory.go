package gateway

import (
	"sync"

	"lovageport.example/internal/transport/buffer"
)

// What the messages that are held whole may take together, in bytes. The smallest VMs
// have 284 MB. The first [buffer.FreeBytes] of each message do not count.
const (
	// maxAnswerMemory is for the answers of upstreams, and single events of streams.
	maxAnswerMemory = 64 << 20
	// maxBodyMemory is for the bodies of callers' requests.
	maxBodyMemory = 64 << 20
)

// heldMemory is what a request holds of the budgets of the process until it ends. It may
// be used by many goroutines.
type heldMemory struct {
	mu sync.Mutex
	// shares is nil before the first one. released is set once the request has ended.
	// Guarded by mu.
	shares   []*buffer.Share
	released bool
}

// hold holds a share until the request ends.
func (h *heldMemory) hold(share *buffer.Share) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		share.Release()
		return
	}
	h.shares = append(h.shares, share)
}

// release releases what is held, and what will be.
func (h *heldMemory) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	for _, share := range h.shares {
		share.Release()
	}
	h.shares = nil
}
