package gateway

import (
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/drain"
	"lovageport.example/internal/transport/intake"
)

// toolHeadBytes bounds the heads of requests for health checks and metrics.
const toolHeadBytes = 8 << 10

// setBudgets sets what messages and incomplete requests may take together. The first
// [buffer.FreeBytes] of each answer and body, and the first [intake.FreeBytes] of each
// incomplete request, do not count.
func (g *Gateway) setBudgets() {
	l := &g.Settings.Limits
	g.answerMemory.Max, g.bodyMemory.Max, g.inputMemory.Max = l.AnswerBytes(), l.BodyBytes(), l.InputBytes()
}

// limitCallers returns a listener of callers that keeps to the limits.
func (g *Gateway) limitCallers(l net.Listener) *drain.Listener {
	d := drain.NewListener(l)
	d.OnUnanswered = g.newEndLogger()
	d.Memory = &g.inputMemory
	d.MaxConns = g.Settings.Limits.CallerConnections()
	d.OnClose = g.newCloseCounter("callers")
	d.MaxHeadBytes = func() int64 {
		if t := g.routing.Table(); t != nil {
			return int64(t.Limits.MaxHeaderBytes)
		}
		return 0
	}
	return d
}

// limitTool returns a listener for health checks or metrics that keeps to the limits.
func (g *Gateway) limitTool(l net.Listener, name string) *drain.Listener {
	d := drain.NewListener(l)
	d.Memory = &g.inputMemory
	d.MaxConns = g.Settings.Limits.ToolConnections()
	d.OnClose = g.newCloseCounter(name)
	d.MaxHeadBytes = func() int64 { return toolHeadBytes }
	return d
}

// limitPeers returns a listener of peers that keeps to the limits.
func (g *Gateway) limitPeers(l net.Listener) *intake.Listener {
	return &intake.Listener{
		Listener:   l,
		Memory:     &g.inputMemory,
		MaxUnknown: g.Settings.Limits.UnknownPeerConnections(),
		OnClose:    g.newCloseCounter("peers"),
	}
}

// toolServer returns a server for health checks or metrics.
func toolServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: toolHeadBytes, ConnState: drain.Track}
}

// newCloseCounter returns a function that counts the connections of a listener that were
// closed for a reason. It logs them up to a rate, with the number of those left out.
func (g *Gateway) newCloseCounter(listener string) func(intake.Reason) {
	var limit logLimit
	return func(reason intake.Reason) {
		g.metrics.closedConns.WithLabelValues(listener, string(reason)).Inc()
		skipped, ok := limit.allow()
		if !ok {
			return
		}
		g.Log.Warn("connection closed", zap.String("listener", listener), zap.String("reason", string(reason)), zap.Int64("skipped", skipped))
	}
}

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
